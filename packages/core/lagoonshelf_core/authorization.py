"""Authorization of requests by team key and queue, based on the configuration in force."""

from returns.result import Failure, Result, Success

from lagoonshelf_core.document import Document
from lagoonshelf_core.errors import Fault, ResultCode
from lagoonshelf_core.ids import KeyId, QueueId, TeamId


def authorize_key(document: Document, team: TeamId, key: KeyId) -> Result[None, Fault]:
    """Check that a key id exists and belongs to a team.

    :param key: id of the key that authenticated the request
    """
    entry = document.keys.get(key)
    if entry is None:
        return Failure(Fault(ResultCode.KEY_INVALID, "the key is unknown or withdrawn"))
    if entry.team != team:
        text = f"key {key!r} does not belong to team {team!r}"
        return Failure(Fault(ResultCode.TEAM_FORBIDDEN, text))
    return Success(None)


def authorize_work(
    document: Document, team: TeamId, key: KeyId, queue: QueueId
) -> Result[None, Fault]:
    """Check that a key belongs to a team and that the team may use a queue."""
    checked = authorize_key(document, team, key)
    if isinstance(checked, Failure):
        return checked
    entry = document.queues.get(queue)
    if entry is None:
        return Failure(Fault(ResultCode.BAD_REQUEST, f"queue: {queue!r} does not exist"))
    if entry.team is not None and entry.team != team:
        text = f"queue {queue!r} is not open to team {team!r}"
        return Failure(Fault(ResultCode.TEAM_FORBIDDEN, text))
    return Success(None)
