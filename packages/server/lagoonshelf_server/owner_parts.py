"""Construction of an owner's grant manager, hosting and delegation."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass
from typing import TYPE_CHECKING

from lagoonshelf_core.clock import Clock
from lagoonshelf_core.grants import ZERO_AMOUNT, Amount, KnownLimit
from lagoonshelf_core.ids import MemberId, PartitionId, TeamId
from lagoonshelf_core.journal import Entry
from lagoonshelf_core.model import Task
from lagoonshelf_core.records import Outcome
from lagoonshelf_server.bridge import Bridge
from lagoonshelf_server.config_sync import ConfigSync
from lagoonshelf_server.delegated_task import DelegationHooks
from lagoonshelf_server.delegation import Delegation
from lagoonshelf_server.grant_manager import GrantHooks, GrantManager
from lagoonshelf_server.hosting import Hosting, HostingHooks
from lagoonshelf_server.messages import GrantAsk, TaskMeta
from lagoonshelf_server.partition_calls import PartitionCalls
from lagoonshelf_server.peers import PeerLostError
from lagoonshelf_server.settings import Settings
from lagoonshelf_server.store import StoreClient

if TYPE_CHECKING:
    from lagoonshelf_server.owner import Owner


@dataclass(frozen=True, slots=True)
class OwnerHooks:
    """Callbacks of an owner for its grant manager and delegation.

    :param journal: make entries durable
    :param on_started: record the confirmed start of a task
    :param on_intent_failed: handle a task whose intent could not be journaled
    :param requeue: queue a task again that was not started
    :param store_outcome: store the outcome of a task
    :param adopt: return the task of a report, ``None`` if it is settled or superseded
    :param digest_of: return the content hash of a task's request
    :param request_pass: request a scheduling pass
    :param is_lost: return whether the owner has closed
    """

    journal: Callable[[list[Entry]], Awaitable[None]]
    on_started: Callable[[Task], None]
    on_intent_failed: Callable[[Task], None]
    requeue: Callable[[Task], None]
    store_outcome: Callable[[Task, Outcome], Awaitable[None]]
    adopt: Callable[[TaskMeta], Task | None]
    digest_of: Callable[[Task], str]
    request_pass: Callable[[], None]
    is_lost: Callable[[], bool]


def make_grants(
    owner: Owner,
    owner_hooks: OwnerHooks,
    cfg: Settings,
    clock: Clock,
    bridge: Bridge,
    store: StoreClient,
    config: ConfigSync,
    calls: PartitionCalls,
) -> GrantManager:
    """Return the grant manager of a partition."""

    async def request_grant(partition: PartitionId, body: GrantAsk) -> None:
        with suppress(PeerLostError):  # requested again while the grant is too small
            await calls.call(partition, "grantAsk", body)

    hooks = GrantHooks(
        limit_of=lambda team: known_limit(config, team),
        teams=lambda: [TeamId(team) for team in config.document.teams],
        may_act=owner.may_act,
        is_inventory_known=lambda: owner.hosting.is_inventory_known(),
        tasks=lambda: owner.scheduler.tasks.values(),
        request_grant=request_grant,
        stop=lambda stops: owner.dispatch.execute(stops),
        request_pass=owner_hooks.request_pass,
        spawn=bridge.spawn,
    )
    return GrantManager(owner.partition_id, cfg.partitions, clock, store, hooks)


def make_hosting(owner: Owner, clock: Clock, calls: PartitionCalls) -> Hosting:
    """Return the hosting of an owner, which runs tasks of other partitions."""
    hooks = HostingHooks(
        epoch=lambda: owner.epoch,
        is_active=owner.may_start,
        dispatch=lambda: owner.dispatch,
        place=owner.place,
        call=calls.call,
    )
    return Hosting(owner.partition_id, clock, owner.scheduler, hooks)


def make_delegation(
    owner: Owner,
    owner_hooks: OwnerHooks,
    cfg: Settings,
    clock: Clock,
    bridge: Bridge,
    calls: PartitionCalls,
) -> Delegation:
    """Return the delegation of an owner, which runs its tasks in other partitions."""
    hooks = DelegationHooks(
        epoch=lambda: owner.epoch,
        is_lost=owner_hooks.is_lost,
        may_act=owner.may_act,
        is_active=owner.may_start,
        journal=owner_hooks.journal,
        on_started=owner_hooks.on_started,
        on_intent_failed=owner_hooks.on_intent_failed,
        requeue=owner_hooks.requeue,
        store_outcome=owner_hooks.store_outcome,
        adopt=owner_hooks.adopt,
        lacks_grant=lambda task: owner.grants.lacks_grant(task),
        digest_of=owner_hooks.digest_of,
        spawn=bridge.spawn,
    )
    member = MemberId(cfg.member)
    return Delegation(
        owner.partition_id, cfg.partitions, member, clock, owner.scheduler, calls, hooks
    )


def known_limit(config: ConfigSync, team: TeamId) -> KnownLimit | None:
    """Return a team's limit, zero for a removed team, ``None`` before the first revision."""
    if config.revision == 0:
        return None
    entry = config.document.teams.get(team)
    amount = Amount(entry.limit_tasks, entry.limit_cpu_milli) if entry else ZERO_AMOUNT
    return KnownLimit(amount, config.revision)
