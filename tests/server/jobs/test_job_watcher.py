"""Tests of what a leader knows of jobs and cancellations when it starts tasks."""

import asyncio
from collections.abc import Sequence
from unittest.mock import patch

from lagoonshelf_core.jobs.early_cancellations import EARLY_CANCELLATION_MS
from lagoonshelf_core.jobs.progress import JobState
from lagoonshelf_core.jobs.spec import JobSpec
from lagoonshelf_server.jobs import job_watcher
from lagoonshelf_server.jobs import leader as leader_module
from lagoonshelf_server.jobs.dispatcher import START_TIMEOUTS_MS
from lagoonshelf_server.jobs.job_api import JobApi, LeaderClient, WriteOutcome
from lagoonshelf_server.jobs.keys import (
    SUBMISSION_PREFIX,
    USED_WORKERS,
    cancel_key,
    ended_key,
    job_key,
)
from lagoonshelf_server.jobs.leader import Leader
from lagoonshelf_server.jobs.ports import (
    Change,
    Committed,
    Conflict,
    Page,
    Put,
    StoreRevision,
    StoreUnavailableError,
)
from tests.support.job_fakes import PausableClock, eventually
from tests.support.jobs import make_job, make_step
from tests.support.terms import TermTestCase

# `cancel_ms` of the platform's sites: nothing of a job is started later than this after its
# cancellation was acknowledged.
CANCEL_MS = 3_000
# Longer than a pass takes to start what it may.
PASS_S = 0.3
# Renewals of the leader lease while time passes, each well before the lease ends.
RENEWALS = 6


class CancellationTest(TermTestCase):
    """Terms on a store whose watch of jobs and cancellations may be silent or fail."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.clock = PausableClock()
        self.workers.clock = self.store.clock = self.clock
        self.is_silent = self.is_failing = self.is_waiting_silent = False
        often = patch.object(leader_module, "CANCELLATION_CHECK_INTERVAL_S", 0.05)
        often.start()
        self.addCleanup(often.stop)
        self._watch = self.store.watch
        self.store.watch = self._watch_unless_disturbed

    async def _watch_unless_disturbed(
        self, prefix: str, after: int, wait_ms: int
    ) -> tuple[list[Change], StoreRevision]:
        while prefix == SUBMISSION_PREFIX and (
            self.is_silent or (self.is_waiting_silent and wait_ms > job_watcher.POLL_MS)
        ):
            await asyncio.sleep(0.01)
        if prefix == SUBMISSION_PREFIX and self.is_failing:
            await asyncio.sleep(0.01)
            raise StoreUnavailableError("watch: status 503")
        return await self._watch(prefix, after, wait_ms)

    async def test_a_job_cancelled_during_a_takeover_is_not_started_later(self) -> None:
        """Guards against starts by a reading of the store that was made long before.

        The cancellation was stored after the takeover had read the jobs, and the first answer of
        the watch is late.
        """
        spec = make_job(make_step(2))
        self._store(spec)
        commit = self.store.commit

        async def slow_commit(
            conditions: dict, puts: Sequence[Put] = (), deletes: Sequence[str] = (), **limits: int
        ) -> Committed | Conflict | None:
            if any(put.key == USED_WORKERS for put in puts):
                self.store.put(cancel_key(spec.id), b"{}")
                self.clock.skipped_ms += CANCEL_MS
            return await commit(conditions, puts, deletes, **limits)

        self.store.commit = slow_commit
        self.is_silent = True
        leader = await self._term("m1")
        await self._run_passes(leader)
        self.assertEqual(self.workers.started, [])
        self.is_silent = False
        await eventually(lambda: leader.state(spec.id) is JobState.CANCELLED)
        self.assertEqual(self.workers.started, [])

    async def test_nothing_is_started_while_cancellations_may_be_unknown(self) -> None:
        """Guards against starts of a leader that has heard nothing of the store for long.

        A start may be under way for as long as its command may take. Nobody can cancel a job in an
        outage that all members see; a store that is slow for all is no such outage.
        """
        leader = await self._term("m1")
        self.is_silent = True
        await asyncio.sleep(PASS_S)
        spec, other = make_job(), make_job()
        self._store(spec)
        self._store(other)
        self.store.put(cancel_key(spec.id), b"{}")
        self.clock.skipped_ms += CANCEL_MS - max(START_TIMEOUTS_MS)
        for job in (spec, other):
            self._announce(leader, job.id)
        leader.is_store_troubled = lambda: True
        await self._run_passes(leader)
        self.assertEqual(self.workers.started, [])
        self.is_silent = False
        await eventually(lambda: self._starts_of(other) == 1)
        await eventually(lambda: leader.state(spec.id) is JobState.CANCELLED)
        self.assertEqual(self._starts_of(spec), 0)
        self.is_silent = True
        await asyncio.sleep(PASS_S)
        leader.is_store_down = lambda: True
        self.clock.skipped_ms += CANCEL_MS
        third = make_job()
        self._store(third)
        self._announce(leader, third.id)
        await self._run_passes(leader)
        self.assertEqual(self._starts_of(third), 1)

    async def test_a_silent_watch_does_not_keep_work_from_being_started(self) -> None:
        """Guards against a leader that waits for a watch whose connection was lost."""
        leader = await self._term("m1")
        self.is_waiting_silent = True
        await asyncio.sleep(PASS_S)
        spec = make_job()
        self._store(spec)
        self.clock.skipped_ms += CANCEL_MS
        await self._run_passes(leader)
        self.assertEqual(self._starts_of(spec), 1)

    async def test_a_start_that_waited_is_not_sent_to_a_job_that_may_be_cancelled(self) -> None:
        """Guards against a start that waits for its record while its job is cancelled."""
        leader = await self._term("m1")
        release = self._hold_records()
        spec = make_job()
        self._store(spec)
        await eventually(lambda: any(worker.runs for worker in leader.cell.workers.values()))
        self.is_silent = True
        self.store.put(cancel_key(spec.id), b"{}")
        for _ in range(RENEWALS):
            self.clock.skipped_ms += CANCEL_MS // RENEWALS
            await eventually(lambda: leader.lease.renewed_ms >= self.clock.now_ms() - 100)
        release()
        await self._run_passes(leader)
        self.assertEqual(self.workers.started, [])

    async def test_a_start_that_waited_is_not_sent_by_an_old_configuration(self) -> None:
        """Guards against a start that waits for its record while a limit is lowered."""
        leader = await self._term("m1")
        release = self._hold_records()
        self._store(make_job())
        await eventually(lambda: any(worker.runs for worker in leader.cell.workers.values()))
        self.config_poll.cancel()
        leader.config_view.confirmed_ms -= 60_000
        release()
        await asyncio.sleep(PASS_S)
        self.assertEqual(self.workers.started, [])

    async def test_a_cancellation_that_is_announced_before_its_job_is_kept(self) -> None:
        """Guards against a leader that confirms a cancellation and then starts the job."""
        leader = await self._term("m1")
        self.is_silent = True
        spec = make_job()
        self._store(spec)
        self.store.put(cancel_key(spec.id), b"{}")
        leader.cancel(spec.id)
        self._announce(leader, spec.id)
        await eventually(lambda: leader.state(spec.id) is JobState.CANCELLED)
        self.assertEqual(self.workers.started, [])

    async def test_a_cancellation_that_is_announced_during_a_takeover_is_kept(self) -> None:
        """Guards against a takeover that loses what it is told before it is complete."""
        spec = make_job()
        self._store(spec)
        self.is_silent = True
        restore = Leader._restore

        async def restore_later(leader: Leader, *args: object) -> None:
            self.store.put(cancel_key(spec.id), b"{}")
            leader.cancel(spec.id)
            await restore(leader, *args)

        with patch.object(Leader, "_restore", restore_later):
            leader = await self._term("m1")
        await eventually(lambda: leader.state(spec.id) is JobState.CANCELLED)
        self.assertEqual(self.workers.started, [])

    async def test_a_cancelled_job_is_not_started_after_a_loss_of_history(self) -> None:
        """Guards against a reading that meets the cancellation before its job.

        The store lists keys in their order, in which cancellations come first.
        """
        with patch.object(job_watcher, "WATCH_PAUSE_S", 0.01):
            leader = await self._term("m1")
            self.is_failing = True
            await asyncio.sleep(0.1)
            spec = make_job()
            self._store(spec)
            self.store.put(cancel_key(spec.id), b"{}")
            self.store.compact()
            self.is_failing = False
            await eventually(lambda: spec.id in leader.cell.jobs)
            await eventually(lambda: leader.state(spec.id) is JobState.CANCELLED)
        self.assertEqual(self.workers.started, [])

    async def test_a_job_that_is_stored_after_its_cancellation_is_not_started(self) -> None:
        """Guards against a job that runs although its client was told that there is none.

        The write of the job was under way, and took effect after the answer to DELETE.
        """
        leader = await self._term("m1")
        early, late, last = make_job(), make_job(), make_job()
        for spec in (early, late, last):
            self.assertIs(await self._api().cancel(spec.id, 1_000), WriteOutcome.UNKNOWN_JOB)
        self._store(early)
        await eventually(lambda: leader.state(early.id) is JobState.CANCELLED)
        self._store(late)
        second = await self._term("m2")
        await eventually(lambda: second.state(late.id) is JobState.CANCELLED)
        self._store(last)
        await eventually(lambda: second.state(last.id) is JobState.CANCELLED)
        self.assertEqual(self.workers.started, [])

    async def test_a_cancelled_job_that_was_forgotten_is_not_started_again(self) -> None:
        """Guards against a process that was paused between storing a job and announcing it.

        Meanwhile the job was cancelled, ended, and its records were swept.
        """
        leader = await self._term("m1")
        spec = make_job()
        self._store(spec)
        record = self.store.items[job_key(spec.id)]
        self.store.put(cancel_key(spec.id), b"{}")
        await eventually(lambda: ended_key(spec.id) in self.store.items)
        started = self._starts_of(spec)
        leader._forget_ended_job(spec.id)
        self.store._delete(ended_key(spec.id))
        leader.accept(job_watcher.read_job(record), record.created)
        await self._run_passes(leader)
        self.assertEqual(self._starts_of(spec), started)

    async def test_a_job_that_is_cancelled_again_is_not_started(self) -> None:
        """Guards against a second answer "unknown job" that holds only as long as the first."""
        leader = await self._term("m1")
        spec = make_job()
        await self._cancel_unknown(leader, spec)
        self.clock.skipped_ms += EARLY_CANCELLATION_MS - 1_000
        self.assertIs(await self._api().cancel(spec.id, 1_000), WriteOutcome.UNKNOWN_JOB)
        leader.cancel(spec.id)
        self.clock.skipped_ms += 2_000
        await asyncio.sleep(PASS_S)
        self._store(spec)
        await eventually(lambda: spec.id in leader.cell.jobs)
        await self._run_passes(leader)
        self.assertEqual(self._starts_of(spec), 0)

    async def test_a_successor_does_not_cancel_a_job_that_runs(self) -> None:
        """Guards against a leader that forgets a cancellation before its record is deleted.

        A job is handed in later than 150 s after the cancellation and before the next sweep.
        """
        leader = await self._term("m1")
        spec = make_job()
        await self._cancel_unknown(leader, spec)
        self.clock.skipped_ms += EARLY_CANCELLATION_MS
        await asyncio.sleep(PASS_S)
        self._store(spec)
        await eventually(lambda: leader.state(spec.id) in (JobState.RUNNING, JobState.CANCELLED))
        state = leader.state(spec.id)
        await self._term("m2")
        await asyncio.sleep(PASS_S)
        self.assertIs(await self._api().state(spec.id), state)

    async def test_an_acknowledged_cancellation_does_not_depend_on_its_announcement(self) -> None:
        """Guards against an acknowledgement by a record that the leader has seen and forgotten."""
        leader = await self._term("m1")
        spec = make_job()
        await self._cancel_unknown(leader, spec)
        self.clock.skipped_ms += EARLY_CANCELLATION_MS
        await asyncio.sleep(PASS_S)
        self._store(spec)
        await eventually(lambda: spec.id in leader.cell.jobs)
        self.assertIs(await self._api().cancel(spec.id, 1_000), WriteOutcome.STORED)
        await eventually(lambda: leader.state(spec.id) is JobState.CANCELLED)

    async def _cancel_unknown(self, leader: Leader, spec: JobSpec) -> None:
        """Cancel a job that is not stored, and wait until the leader knows of it."""
        self.assertIs(await self._api().cancel(spec.id, 1_000), WriteOutcome.UNKNOWN_JOB)
        await eventually(lambda: spec.id in leader._early_cancellations._added_ms)

    async def _run_passes(self, leader: Leader) -> None:
        """Let a leader that has renewed its lease and read the configuration start what it may."""
        await eventually(leader.may_answer)
        await eventually(leader.config_view.is_fresh)
        leader.request_pass()
        await asyncio.sleep(PASS_S)

    def _announce(self, leader: Leader, job: str) -> None:
        """Announce a stored job as the process that stored it does."""
        item = self.store.items[job_key(job)]
        leader.accept(job_watcher.read_job(item), item.created)

    def _api(self) -> JobApi:
        async def unreachable(*args: object) -> None:
            raise ConnectionError("no leader")

        client = LeaderClient(unreachable, unreachable, unreachable, unreachable)
        return JobApi(self.store, self.clock, client)


class RereadTest(TermTestCase):
    """A leader that has to read all submissions again."""

    async def test_all_pages_are_read_after_a_lost_history(self) -> None:
        """Guards against jobs of the later pages that nobody starts."""
        self.store.page_items = 5
        leader = await self._term("m1")
        specs = [make_job() for _ in range(12)]
        for spec in specs:
            self._store(spec)
        self.store.compact()
        await eventually(lambda: all(spec.id in leader.cell.jobs for spec in specs))

    async def test_a_failed_page_does_not_end_the_reading(self) -> None:
        """Guards against a reading that counts as complete without its last page."""
        self.store.page_items = 5
        leader = await self._term("m1")
        original, calls = self.store.read_page, 0

        async def read_page(prefix: str, after: str, *, stale: bool = False) -> Page:
            nonlocal calls
            calls += prefix == SUBMISSION_PREFIX
            if prefix == SUBMISSION_PREFIX and calls in (2, 4):
                raise StoreUnavailableError("no response")
            return await original(prefix, after, stale=stale)

        self.store.read_page = read_page
        specs = [make_job() for _ in range(12)]
        for spec in specs:
            self._store(spec)
        self.store.compact()
        await eventually(lambda: all(spec.id in leader.cell.jobs for spec in specs))
        self.assertGreater(calls, 4)
