"""The number of partitions, which must be the same on all processes of a cell."""

import asyncio

from returns.result import Failure, Result, Success

from lagoonshelf_core.errors import Fault, ResultCode
from lagoonshelf_server.store import StoreClient, StoreError

KEY = "cell/partitions"
RETRY_S = 0.3


async def check_partitions(store: StoreClient, partitions: int) -> Result[None, Fault]:
    """Write the number at the first start of the cell, or compare; wait for the store.

    :param partitions: number in the settings of this process
    """
    while True:
        try:
            held = (await store.get(KEY)).value
            if held is not None:
                return _compare(held, partitions)
            await store.cas(KEY, str(partitions), 0)  # its answer may be lost: read again
        except StoreError:
            await asyncio.sleep(RETRY_S)


def _compare(held: str, partitions: int) -> Result[None, Fault]:
    if held == str(partitions):
        return Success(None)
    text = f"partitions: this process has {partitions}, the cell has {held}"
    return Failure(Fault(ResultCode.PARTITION_MISMATCH, text))
