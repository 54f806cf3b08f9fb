"""Base of tests that lead a cell with a fake store and fake workers."""

import asyncio
import unittest
from collections.abc import Callable, Mapping, Sequence
from unittest.mock import patch

from lagoonshelf_core.clock import Clock
from lagoonshelf_core.ids import MemberId
from lagoonshelf_core.jobs.options import DEFAULT_OPTIONS
from lagoonshelf_core.jobs.spec import JobSpec, encode_job
from lagoonshelf_server.jobs import worker_session
from lagoonshelf_server.jobs.config_view import ConfigView
from lagoonshelf_server.jobs.keys import ENDED_PREFIX, LEADER_KEY, PROGRESS_PREFIX, job_key
from lagoonshelf_server.jobs.leader import Leader, Ports
from lagoonshelf_server.jobs.leader_lease import LeaderLease
from lagoonshelf_server.jobs.ports import Committed, Conflict, Put, StoreUnavailableError
from tests.support.job_fakes import FakeCodec, FakeStore, FakeWorkers, eventually
from tests.support.jobs import config, worker_info

WORKERS = 3


class TermTestCase(unittest.IsolatedAsyncioTestCase):
    """Terms of one or two processes with three workers."""

    options = DEFAULT_OPTIONS

    async def asyncSetUp(self) -> None:
        self.clock = Clock()
        self.store, self.codec = FakeStore(), FakeCodec()
        self.workers = FakeWorkers(self.clock)
        self.tasks: list[asyncio.Task] = []
        for number in range(WORKERS):
            info = worker_info(number)
            name = info.id.encode()
            self.codec.infos[name] = info
            self.workers.add(info)
            self.store.put(f"workers/{info.id}", name)
        short = patch.object(worker_session, "LONG_POLL_MS", 50)
        short.start()
        self.addCleanup(short.stop)

    async def asyncTearDown(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def _starts_of(self, spec: JobSpec) -> int:
        return sum(task.startswith(spec.id) for _, task, _ in self.workers.started)

    async def _term(self, member: str, *, evacuate_ms: int | None = None) -> Leader:
        """Start a term that replaces any other."""
        lease = LeaderLease(self.store, self.clock, MemberId(member), member)
        await lease._refresh()
        lease.predecessor_is_dead = True
        await lease._write({LEADER_KEY: lease.revision})
        cfg = ConfigView(self.store, self.codec, self.clock)
        cfg.current = config()
        cfg.confirmed_ms = self.clock.now_ms()
        ports = Ports(self.store, self.workers, self.codec)
        leader = Leader(ports, lease, cfg, self.clock, self.options)
        leader.lease, leader.config_view = lease, cfg
        leader.evacuate_ms = evacuate_ms
        self.config_poll = asyncio.ensure_future(cfg.poll())
        self.tasks.append(self.config_poll)
        for coro in (lease.renew(), leader.run()):
            self.tasks.append(asyncio.ensure_future(coro))
        await eventually(lambda: leader.is_ready)
        return leader

    def _store(self, spec: JobSpec) -> None:
        self.store.put(job_key(spec.id), encode_job(spec))

    def _entries(self) -> list:
        return list(self.workers.workers.values())

    def _hold_records(self) -> Callable[[], None]:
        """Keep progress from being recorded until the returned function is called."""
        commit, is_held = self.store.commit, True

        async def hold_progress(
            conditions: dict, puts: Sequence[Put] = (), deletes: Sequence[str] = (), **limits: int
        ) -> Committed | Conflict | None:
            while is_held and any(put.key.startswith(PROGRESS_PREFIX) for put in puts):
                await asyncio.sleep(0.01)
            return await commit(conditions, puts, deletes, **limits)

        def release() -> None:
            nonlocal is_held
            is_held = False

        self.store.commit = hold_progress
        return release

    def _fail_progress_writes(self) -> None:
        """Let the store turn away the progress of jobs, and take all else."""
        original = self.store.commit

        async def commit(
            conditions: Mapping[str, int],
            puts: Sequence[Put] = (),
            deletes: Sequence[str] = (),
            *,
            timeout_ms: int | None = None,
        ) -> Committed | Conflict | None:
            if any(put.key.startswith((PROGRESS_PREFIX, ENDED_PREFIX)) for put in puts):
                raise StoreUnavailableError("turned away")
            return await original(conditions, puts, deletes, timeout_ms=timeout_ms)

        self.store.commit = commit

    def _restore_progress_writes(self) -> None:
        del self.store.commit
