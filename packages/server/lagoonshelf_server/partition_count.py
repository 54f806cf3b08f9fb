"""Check of the partition count, which must be the same in all processes of a cell."""

import asyncio

from returns.result import Failure, Result, Success

from lagoonshelf_core.errors import Fault, ResultCode
from lagoonshelf_server.store import StoreClient, StoreError

PARTITION_COUNT_KEY = "cell/partitions"
RETRY_INTERVAL_S = 0.3


async def check_partition_count(store: StoreClient, partitions: int) -> Result[None, Fault]:
    """Compare the partition count with the stored one, or store it if the cell is new.

    Retries until the store answers.

    :param partitions: partition count in the settings of this process
    """
    while True:
        try:
            stored = (await store.get(PARTITION_COUNT_KEY)).value
            if stored is not None:
                return _compare(stored, partitions)
            await store.cas(
                PARTITION_COUNT_KEY, str(partitions), 0
            )  # the answer may be lost, so read the key again
        except StoreError:
            await asyncio.sleep(RETRY_INTERVAL_S)


def _compare(stored: str, partitions: int) -> Result[None, Fault]:
    if stored == str(partitions):
        return Success(None)
    text = f"partitions: this process has {partitions}, the cell has {stored}"
    return Failure(Fault(ResultCode.PARTITION_MISMATCH, text))
