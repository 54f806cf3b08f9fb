"""Tests of a leader term with a fake store and fake workers."""

import asyncio
from dataclasses import replace
from unittest.mock import patch

from lagoonshelf_core.jobs.config import AdviceTiming
from lagoonshelf_core.jobs.progress import JobState, RunEnd
from lagoonshelf_core.jobs.spec import JobSpec
from lagoonshelf_core.resources import Resources
from lagoonshelf_server.jobs.job_api import JobApi, LeaderClient
from lagoonshelf_server.jobs.keys import cancel_key, progress_key
from lagoonshelf_server.jobs.leader import Leader
from lagoonshelf_server.jobs.leader_lease import LEASE_TTL_MS, MAX_OUTAGE_MS
from lagoonshelf_server.jobs.ports import Item, Listing, StopOutcome, StoreRevision, WorkerReply
from tests.support.job_fakes import eventually
from tests.support.jobs import ADVISED, SMALL, config, make_job, make_step, worker_info
from tests.support.terms import WORKERS, TermTestCase


class LeaderTest(TermTestCase):
    """Terms of one or two processes with three workers."""

    async def test_a_stored_job_runs_without_an_announcement(self) -> None:
        """Guards against a lost job when the accepting process dies before its announcement."""
        leader = await self._term("m1")
        spec = make_job(make_step(2))
        self._store(spec)
        await eventually(lambda: len(self.workers.started) == 2)
        self.workers.end_all()
        await eventually(lambda: leader.state(spec.id) is JobState.COMPLETE)

    async def test_a_leader_starts_nothing_by_an_old_configuration(self) -> None:
        """Guards against starts above a limit that has been lowered.

        The leader renews its lease, but cannot read the configuration. In an outage that all
        members see it goes on, since nobody can change the configuration then; a store that is
        slow for all is no such outage.
        """
        leader = await self._term("m1")
        self.config_poll.cancel()
        leader.config_view.confirmed_ms -= 60_000
        spec = make_job(make_step(2))
        self._store(spec)
        await eventually(lambda: leader.state(spec.id) is not None)
        await asyncio.sleep(0.1)
        self.assertEqual(self.workers.started, [])
        leader.is_store_troubled = lambda: True
        leader.request_pass()
        await asyncio.sleep(0.1)
        self.assertEqual(self.workers.started, [])
        leader.is_store_down = lambda: True
        leader.request_pass()
        await eventually(lambda: len(self.workers.started) == 2)

    async def test_a_lost_history_is_not_asked_for_again_and_again(self) -> None:
        """Guards against a flood of calls while stale copies are older than the history.

        The watch of the registry began from a stale copy, whose revision was lost again.
        """
        await self._term("m1")
        await asyncio.sleep(0.1)
        original, calls = self.store.read_all, 0

        async def read_all(prefix: str, *, stale: bool = False) -> tuple[list[Item], int]:
            nonlocal calls
            calls += 1
            items, revision = await original(prefix)
            return items, 1 if stale else revision

        self.store.read_all = read_all
        self.store.compact()
        await asyncio.sleep(0.3)
        self.assertLessEqual(calls, 4)
        info = worker_info(WORKERS)
        self.codec.infos[b"new"] = info
        self.workers.add(info)
        self.store.put(f"workers/{info.id}", b"new")
        spec = make_job(*(make_step(40) for _ in range(2)))
        self._store(spec)
        await eventually(lambda: any(name == info.id for name, _, _ in self.workers.started))

    async def test_an_end_is_acknowledged_only_when_it_is_durable(self) -> None:
        """Guards against running a task twice when it ends during a store outage.

        An end acknowledged before it was durable was lost (andinas, trouble-1).
        """
        leader = await self._term("m1")
        spec = make_job()
        self._store(spec)
        await eventually(lambda: leader.state(spec.id) is JobState.RUNNING)
        self.store.is_down = True
        self.workers.end_all()
        await asyncio.sleep(0.5)
        self.assertEqual([w.acked_end for w in self.workers.workers.values()], [0] * WORKERS)
        self.assertIs(leader.state(spec.id), JobState.RUNNING)
        self.store.is_down = False
        await eventually(lambda: leader.state(spec.id) is JobState.COMPLETE)
        await eventually(lambda: sum(w.acked_end for w in self.workers.workers.values()) == 1)

    async def test_a_successor_runs_nothing_twice(self) -> None:
        """Guards against a successor that restarts running, unacknowledged or finished tasks."""
        first = await self._term("m1")
        spec = make_job(make_step(6))
        self._store(spec)
        await eventually(lambda: len(self.workers.started) == 6)
        name, task, attempt = self.workers.started[0]
        self.workers.end(name, task, attempt)
        await eventually(lambda: not self.workers.workers[name].ended)
        self.store.is_down = True
        name, task, attempt = self.workers.started[1]
        self.workers.end(name, task, attempt)
        await asyncio.sleep(0.05)
        self.store.is_down = False
        second = await self._term("m2")
        await eventually(lambda: not first.lease.is_held)
        await eventually(lambda: spec.id in second.cell.jobs)
        self.workers.end_all()
        await eventually(lambda: second.state(spec.id) is JobState.COMPLETE)
        self.assertEqual(len(self.workers.started), 6)

    async def test_a_replaced_leader_starts_nothing(self) -> None:
        """Guards against starts of a former leader, whose fencing token workers refuse."""
        first = await self._term("m1")
        second = await self._term("m2")
        await eventually(lambda: all(w.token == second.lease.revision for w in self._entries()))
        first.accept(make_job(), StoreRevision(self.store.revision))
        first.request_pass()
        await asyncio.sleep(0.1)
        self.assertFalse(first.lease.is_held)
        self.assertEqual(self.workers.started, [])

    async def test_an_unanswered_start_is_sent_again(self) -> None:
        """Guards against a second run when the unanswered start command arrives late."""
        await self._term("m1")
        for entry in self._entries():
            entry.lose_starts = 1
        spec = make_job()
        self._store(spec)
        await eventually(lambda: len(self.workers.started) == 1)
        self.workers.deliver_late_starts()
        self.assertEqual(len(self.workers.started), 1)

    async def test_a_refusal_after_an_unanswered_start_is_followed_by_a_stop(self) -> None:
        """Guards against running a task twice.

        The unanswered start may take effect seconds after the refused one.
        """
        leader = await self._term("m1")
        spec = make_job()
        for entry in self._entries():
            entry.lose_starts = 1
            entry.refuse_starts = 1
        self._store(spec)
        await eventually(lambda: len(self.workers.started) == 1, 6.0)
        self.workers.deliver_late_starts()
        self.assertEqual(len(self.workers.started), 1)
        self.workers.end_all()
        await eventually(lambda: leader.state(spec.id) is JobState.COMPLETE)

    async def test_a_start_that_is_never_answered_is_stopped(self) -> None:
        """Guards against starting a task elsewhere before the worker has confirmed the stop."""
        leader = await self._term("m1")
        spec = make_job()
        for entry in self._entries():
            entry.lose_starts = 3
        self._store(spec)
        await eventually(lambda: len(self.workers.started) == 1, 6.0)
        self.workers.deliver_late_starts()
        self.assertEqual(len(self.workers.started), 1)
        self.workers.end_all()
        await eventually(lambda: leader.state(spec.id) is JobState.COMPLETE)

    async def test_tasks_of_a_lost_worker_wait_for_the_end_of_its_lease(self) -> None:
        """Guards against running tasks twice when an unreachable worker still runs them."""
        await self._term("m1")
        spec = make_job()
        self._store(spec)
        await eventually(lambda: len(self.workers.started) == 1)
        self.workers.workers[self.workers.started[0][0]].is_silent = True
        await asyncio.sleep(1.0)
        self.assertEqual(len(self.workers.started), 1)
        await eventually(lambda: len(self.workers.started) == 2, 10.0)

    async def test_a_lost_worker_blocks_only_inherited_work(self) -> None:
        """Guards against blocking new jobs while the lease of a lost worker lasts.

        Jobs of the predecessor wait, as it may have started them there without a record
        (trouble-3).
        """
        await self._term("m1")
        running, waiting = make_job(), make_job()
        self._store(running)
        await eventually(lambda: len(self.workers.started) == 1)
        self.workers.workers[self.workers.started[0][0]].is_silent = True
        self._store(waiting)
        second = await self._term("m2")
        await eventually(lambda: waiting.id in second.cell.jobs)
        fresh = make_job()
        self._store(fresh)
        await eventually(lambda: self._starts_of(fresh) == 1)
        await asyncio.sleep(0.5)
        self.assertEqual(self._starts_of(running), 1, "its lease has not lapsed")
        await eventually(lambda: self._starts_of(waiting) == 1, 10.0)

    async def test_a_leader_that_was_cut_off_lets_the_leases_of_its_workers_lapse(self) -> None:
        """Guards against runs that last beyond the time after which a successor starts them again.

        The leader is cut off from the store and from all members, and still reaches a worker which
        the successor does not reach. In an outage that all members see nobody can succeed it.
        """
        leader = await self._term("m1")
        spec = make_job()
        self._store(spec)
        await eventually(lambda: len(self.workers.started) == 1)
        renewals: list[int | None] = []
        original = self.workers.list_runs

        async def list_runs(*args: object) -> Listing:
            renewals.append(args[3])
            return await original(*args)

        self.workers.list_runs = list_runs
        self.store.is_down = True
        leader.lease.renewed_ms -= MAX_OUTAGE_MS
        await asyncio.sleep(0.2)
        renewals.clear()
        await eventually(lambda: len(renewals) >= 3)
        self.assertEqual({end for end in renewals if end is not None}, set())
        leader.lease.is_outage = lambda: True
        await eventually(lambda: any(end is not None for end in renewals))

    async def test_a_state_is_returned_only_once_it_is_durable(self) -> None:
        """Guards against states that go back when a successor takes over (soak seed 118)."""
        leader = await self._term("m1")
        spec = make_job()
        self._store(spec)
        await eventually(lambda: spec.id in leader.cell.jobs)
        leader.is_store_troubled = lambda: True
        self.store.is_down = True
        await eventually(lambda: leader.cell.jobs[spec.id].state is JobState.RUNNING)
        self.assertIs(leader.state(spec.id), JobState.QUEUED)
        self.store.is_down = False
        await eventually(lambda: leader.state(spec.id) is JobState.RUNNING)

    async def test_a_process_that_was_paused_does_not_answer_for_the_cell(self) -> None:
        """Guards against outdated states when another process leads since the pause.

        A job was returned as cancelled, then as running (soak seed 18).
        """
        leader = await self._term("m1")
        self.assertTrue(leader.may_answer())
        leader.lease.renewed_ms -= LEASE_TTL_MS
        self.assertFalse(leader.may_answer())

    async def test_a_start_is_recorded_before_it_is_sent(self) -> None:
        """Guards against starts that a successor does not know of.

        A start waits for a store that does not answer, except if it fails for all members.
        """
        leader = await self._term("m1")
        original, held = self.store.commit, asyncio.Event()

        async def commit(*args: object, **kwargs: object) -> object:
            await held.wait()
            return await original(*args, **kwargs)

        self.store.commit = commit
        leader.accept(make_job(), StoreRevision(self.store.revision + 1))
        await asyncio.sleep(0.4)
        self.assertEqual(self.workers.started, [])
        leader.is_store_troubled = lambda: True
        await eventually(lambda: len(self.workers.started) == 1)
        held.set()

    async def test_a_start_on_its_way_is_withdrawn_when_its_worker_shrinks(self) -> None:
        """Guards against overfilling a worker that shrank after it was chosen."""
        leader = await self._term("m1")
        original, held = self.store.commit, asyncio.Event()

        async def commit(*args: object, **kwargs: object) -> object:
            await held.wait()
            return await original(*args, **kwargs)

        self.store.commit = commit
        spec = make_job(make_step(16))
        leader.accept(spec, StoreRevision(self.store.revision + 1))
        await eventually(lambda: any(w.runs for w in leader.cell.workers.values()))
        chosen = next(w for w in leader.cell.workers.values() if w.runs)
        self.assertEqual(len(chosen.runs), 16)
        shrunk = replace(chosen.info, capacity=Resources(8_000, 131_072))
        self.codec.infos[b"shrunk"] = shrunk
        self.store.put(f"workers/{chosen.id}", b"shrunk")
        await eventually(lambda: chosen.info == shrunk)
        held.set()
        await eventually(lambda: self._starts_of(spec) == 16)
        on_chosen = [task for name, task, _ in self.workers.started if name == chosen.id]
        self.assertLessEqual(len(on_chosen), 2)

    async def test_a_start_on_its_way_is_withdrawn_when_its_worker_drains(self) -> None:
        """Guards against starts on a worker that was heard to be draining after it was chosen.

        The start waits for its record, which may take longer than a draining may stay unheeded.
        """
        leader = await self._term("m1")
        original, held = self.store.commit, asyncio.Event()

        async def commit(*args: object, **kwargs: object) -> object:
            await held.wait()
            return await original(*args, **kwargs)

        self.store.commit = commit
        spec = make_job(make_step(2))
        leader.accept(spec, StoreRevision(self.store.revision + 1))
        await eventually(lambda: any(w.runs for w in leader.cell.workers.values()))
        chosen = next(w for w in leader.cell.workers.values() if w.runs)
        draining = replace(chosen.info, is_draining=True)
        self.codec.infos[b"draining"] = draining
        self.store.put(f"workers/{chosen.id}", b"draining")
        await eventually(lambda: chosen.info == draining)
        held.set()
        await eventually(lambda: self._starts_of(spec) == 2)
        self.assertNotIn(chosen.id, {name for name, _, _ in self.workers.started})

    async def _plan_held_starts(self, leader: Leader) -> tuple[JobSpec, asyncio.Event]:
        """Return a job whose three starts wait for their record, and what lets them go."""
        original, held = self.store.commit, asyncio.Event()

        async def commit(*args: object, **kwargs: object) -> object:
            await held.wait()
            return await original(*args, **kwargs)

        self.store.commit = commit
        spec = make_job(make_step(3))
        leader.accept(spec, StoreRevision(self.store.revision + 1))
        workers = leader.cell.workers.values()
        await eventually(lambda: sum(len(w.runs) for w in workers) == 3)
        return spec, held

    async def test_a_start_on_its_way_is_withdrawn_when_the_limit_is_lowered(self) -> None:
        """Guards against starts beyond a limit that is in force since they were planned."""
        leader = await self._term("m1")
        spec, held = await self._plan_held_starts(leader)
        leader.config_view.current = config(SMALL)
        leader.request_pass()
        await eventually(lambda: leader.cell.cfg is leader.config_view.current)
        held.set()
        await eventually(lambda: self._starts_of(spec) == 1)
        await asyncio.sleep(0.2)
        self.assertEqual(self._starts_of(spec), 1)
        self.workers.end_all()
        await eventually(lambda: self._starts_of(spec) == 2)

    async def test_a_start_on_its_way_waits_for_a_configuration_that_is_too_old(self) -> None:
        """Guards against starts that were planned by a limit which may have been lowered since."""
        leader = await self._term("m1")
        spec, held = await self._plan_held_starts(leader)
        self.config_poll.cancel()
        leader.config_view.confirmed_ms -= 60_000
        held.set()
        await asyncio.sleep(0.3)
        self.assertEqual(self._starts_of(spec), 0)
        leader.config_view.confirmed_ms = self.clock.now_ms()
        await eventually(lambda: self._starts_of(spec) == 3)

    async def test_a_start_is_not_sent_with_a_permit_that_has_expired(self) -> None:
        """Guards against refused starts whose record, or turn, came too late for their permit."""
        leader = await self._term("m1")
        cfg = config()
        timing = AdviceTiming(1, 0, 300)
        cfg.queues[ADVISED] = replace(cfg.queues[ADVISED], advice=timing)
        leader.config_view.current = cfg
        permits = []

        async def advise(step: str, workers: tuple[str, ...]) -> dict[str, str]:
            permits.append(f"permit-{len(permits)}")
            return dict.fromkeys(workers, permits[-1])

        leader.advice_router.record_heartbeat("m1", advise)
        original, held = self.store.commit, asyncio.Event()

        async def commit(*args: object, **kwargs: object) -> object:
            await held.wait()
            return await original(*args, **kwargs)

        self.store.commit = commit
        with patch.object(self.workers, "start", wraps=self.workers.start) as start:
            spec = make_job(queue=ADVISED)
            leader.accept(spec, StoreRevision(self.store.revision + 1))
            await eventually(lambda: any(w.runs for w in leader.cell.workers.values()))
            await asyncio.sleep(0.4)
            held.set()
            leader.advice_router.record_heartbeat("m1", advise)
            await eventually(lambda: len(self.workers.started) == 1)
        self.assertNotEqual(start.call_args_list[0].args[1].permit, permits[0])

    async def test_a_worker_is_not_filled_by_a_capacity_that_may_be_outdated(self) -> None:
        """Guards against filling workers that may have shrunk while they could not report it.

        Neither in an outage of the store nor right after it, before a worker has reported again.
        """
        leader = await self._term("m1")
        leader.cell.max_capacity_age_ms = 150
        await asyncio.sleep(0.2)
        self.store.is_down = True
        await asyncio.sleep(0.2)
        self.store.is_down = False
        spec = make_job(make_step(3))
        leader.accept(spec, StoreRevision(self.store.revision + 1))
        await asyncio.sleep(0.3)
        self.assertEqual(self.workers.started, [])
        self.store.put("workers/w001", b"w001")
        await eventually(lambda: len(self.workers.started) == 3)
        self.assertEqual({name for name, _, _ in self.workers.started}, {"w001"})

    async def test_a_worker_that_refuses_for_want_of_room_is_not_blamed(self) -> None:
        """Guards against the quarantine of workers that guard a capacity which has shrunk.

        They are asked again when they have reported themselves, not in each pass before.
        """
        leader = await self._term("m1")
        for entry in self._entries():
            entry.refuse_starts = 1_000
        specs = [make_job(), make_job(), make_job()]
        for spec in specs:
            self._store(spec)
        await eventually(lambda: all(w.is_full for w in leader.cell.workers.values()))
        await asyncio.sleep(0.2)
        refused = sum(1_000 - entry.refuse_starts for entry in self._entries())
        self.assertLessEqual(refused, WORKERS * len(specs))
        for entry in self._entries():
            entry.refuse_starts = 0
        for number in range(WORKERS):
            name = worker_info(number).id
            self.store.put(f"workers/{name}", name.encode())
        await eventually(lambda: len(self.workers.started) == len(specs))

    async def test_tasks_of_a_replaced_worker_start_again_at_once(self) -> None:
        """Guards against waiting for the lease of a worker that was replaced.

        Another incarnation answers at its address (andinas, trouble-3).
        """
        await self._term("m1")
        spec = make_job()
        self._store(spec)
        await eventually(lambda: len(self.workers.started) == 1)
        self.workers.workers[self.workers.started[0][0]].is_replaced = True
        await eventually(lambda: len(self.workers.started) == 2, 1.5)

    async def test_a_restarted_worker_keeps_the_ends_that_nobody_has_read(self) -> None:
        """Guards against tasks that are done and run again.

        A worker that restarted under its id counts its ends anew. Those numbered up to the last
        one that was acknowledged to its former incarnation were forgotten with the first call.
        """
        leader = await self._term("m1")
        spec = make_job()
        self._store(spec)
        await eventually(lambda: len(self.workers.started) == 1)
        self.workers.end_all()
        name = self.workers.started[0][0]
        await eventually(lambda: self.workers.workers[name].acked_end == 1)
        self.workers.workers[name].is_silent = True
        session = leader._fleet.sessions[name]
        await eventually(lambda: session.failures)
        info = leader.cell.workers[name].info
        restarted = self.workers.add(replace(info, born_ms=info.born_ms + 1_000))
        await eventually(lambda: restarted.token)
        await asyncio.sleep(0.1)
        self.assertEqual(restarted.acked_end, 0)

    async def test_a_suspect_is_started_once_by_a_call(self) -> None:
        """Guards against a start call that is repeated at the next incarnation of a worker.

        A task that crashes its workers would crash the second one under the same attempt.
        """
        leader = await self._term("m1")
        spec = make_job()
        self._store(spec)
        await eventually(lambda: len(self.workers.started) == 1)
        self.workers.workers[self.workers.started[0][0]].is_replaced = True
        for entry in self._entries():
            entry.lose_starts = 10
        job = leader.cell.jobs[spec.id]
        await eventually(lambda: job.find_task(0, 0, 0).is_suspect)
        await eventually(lambda: any(entry.late_starts for entry in self._entries()))
        await asyncio.sleep(0.3)
        attempts = [start.attempt for entry in self._entries() for start in entry.late_starts]
        self.assertEqual(len(attempts), len(set(attempts)), attempts)

    async def test_a_start_of_a_suspect_is_withdrawn_if_it_cannot_be_recorded(self) -> None:
        """Guards against a start in an outage of which a successor cannot count the crash."""
        leader = await self._term("m1")
        spec = make_job()
        self._store(spec)
        await eventually(lambda: len(self.workers.started) == 1)
        original, held = self.store.commit, asyncio.Event()

        async def commit(*args: object, **kwargs: object) -> object:
            await held.wait()
            return await original(*args, **kwargs)

        self.store.commit = commit
        self.workers.workers[self.workers.started[0][0]].is_replaced = True
        job = leader.cell.jobs[spec.id]
        await eventually(lambda: job.find_task(0, 0, 0).is_suspect)
        leader.is_store_troubled = lambda: True
        await asyncio.sleep(0.4)
        self.assertEqual(len(self.workers.started), 1)
        leader.is_store_troubled = lambda: False
        held.set()
        await eventually(lambda: len(self.workers.started) == 2)

    async def test_a_worker_that_has_left_is_not_used_by_a_successor(self) -> None:
        """Guards against a worker that left while the leader was replaced.

        The record of workers that may have runs still names it.
        """
        await self._term("m1")
        left = "w000"
        self.store._delete(f"workers/{left}")
        await self._term("m2")
        for _ in range(6):
            self._store(make_job(make_step(3)))
        await eventually(lambda: len(self.workers.started) == 18)
        self.assertNotIn(left, {name for name, _, _ in self.workers.started})

    async def test_an_unreadable_progress_record_stops_only_its_job(self) -> None:
        """Guards against a failed takeover, and against rerunning tasks with unknown progress."""
        garbled, sound = make_job(), make_job()
        self._store(garbled)
        self._store(sound)
        self.store.put(progress_key(garbled.id), b'{"state":"running"}')
        leader = await self._term("m1")
        await eventually(lambda: self._starts_of(sound) == 1)
        self.workers.end_all()
        await eventually(lambda: leader.state(sound.id) is JobState.COMPLETE)
        self.assertEqual(self._starts_of(garbled), 0)
        self.assertTrue(leader.lease.is_held)

    async def test_a_cancelled_job_is_stopped(self) -> None:
        """Guards against missing a cancellation that is only in the store."""
        leader = await self._term("m1")
        spec = make_job(make_step(3))
        self._store(spec)
        await eventually(lambda: len(self.workers.started) == 3)
        self.store.put(cancel_key(spec.id), b"{}")
        await eventually(lambda: not any(w.running for w in self._entries()))
        await eventually(lambda: leader.state(spec.id) is JobState.CANCELLED)

    async def test_a_stop_that_is_refused_is_repeated(self) -> None:
        """Guards against a cancelled task that runs on as its worker was unhealthy once."""
        leader = await self._term("m1")
        spec = make_job()
        self._store(spec)
        await eventually(lambda: len(self.workers.started) == 1)
        stop, refusals = self.workers.stop, 2

        async def refuse_first(*args: object) -> WorkerReply:
            nonlocal refusals
            refusals -= 1
            if refusals >= 0:
                return WorkerReply(StopOutcome.REFUSED, self.clock.now_ms())
            return await stop(*args)

        self.workers.stop = refuse_first
        self.store.put(cancel_key(spec.id), b"{}")
        await eventually(lambda: not any(w.running for w in self._entries()))
        await eventually(lambda: leader.state(spec.id) is JobState.CANCELLED)

    async def test_a_stop_that_is_not_answered_is_logged_once(self) -> None:
        """Guards against logs full of stops that a crashed worker does not answer."""
        leader = await self._term("m1")
        spec = make_job()
        self._store(spec)
        await eventually(lambda: len(self.workers.started) == 1)
        self.workers.workers[self.workers.started[0][0]].is_silent = True
        with patch.object(leader.cell, "note", wraps=leader.cell.note) as note:
            self.store.put(cancel_key(spec.id), b"{}")
            await asyncio.sleep(1.2)
        messages = [call.args[0] for call in note.call_args_list]
        self.assertEqual(messages.count("stop not answered"), 1)

    async def test_jobs_are_found_after_the_store_compacted_its_history(self) -> None:
        """Guards against missed jobs when a watch fails because its revision was compacted."""
        await self._term("m1")
        self.store.compact()
        self._store(make_job())
        await eventually(lambda: len(self.workers.started) == 1)

    async def test_a_task_that_fails_too_often_fails_its_job(self) -> None:
        """Guards against attempts beyond the limit, also by a successor."""
        first = await self._term("m1")
        spec = make_job()
        self._store(spec)
        for attempts in range(1, 4):
            await eventually(lambda n=attempts: len(self.workers.started) == n)
            self.workers.end_all(RunEnd.FAILED)
        await eventually(lambda: first.state(spec.id) is JobState.FAILED)
        second = await self._term("m2")
        await asyncio.sleep(0.1)
        self.assertIs(await self._state_at(second, spec), JobState.FAILED)
        self.assertEqual(len(self.workers.started), 3)

    async def _state_at(self, leader: Leader, spec: JobSpec) -> JobState | None:
        """Return the state of a job that a client is told."""

        async def state(job: str) -> JobState | None:
            return leader.state(job)

        async def announce(*args: object) -> None:
            raise ConnectionError

        return await JobApi(
            self.store, self.clock, LeaderClient(announce, announce, state, announce)
        ).state(spec.id)
