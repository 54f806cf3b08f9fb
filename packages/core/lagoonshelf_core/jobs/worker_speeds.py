"""Model of the speed of each worker, learnt from the progress and the ends of its runs.

Each stretch of a run that a report shows compares the share of the task that was done with the
share that is expected of its kind of task in that time. The sums over the stretches of a worker,
with a prior in favour of 1, are its speed.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from math import log, sqrt
from statistics import median

from lagoonshelf_core.ids import QueueId, WorkerId
from lagoonshelf_core.jobs.config import PoolId
from lagoonshelf_core.jobs.progress import FULL_PERCENT, Run, RunPhase
from lagoonshelf_core.jobs.workers import Worker

MIN_SPEED = 0.1
MAX_SPEED = 10.0
# Evidence is counted in runs: 1 is what one whole run at normal speed shows. Workers differ by
# more than the estimates of single runs, so the prior weighs less than one run.
PRIOR_RUNS = 0.5
ESTIMATE_VARIANCE = 0.04
# Older evidence is scaled down beyond this amount, and halves in this time.
MAX_WORKER_RUNS = 24.0
EVIDENCE_HALF_LIFE_MS = 30_000
# A kind of task says nothing of workers before this much is known of it; it keeps the evidence of
# about the last MAX_KIND_RUNS runs.
MIN_KIND_RUNS = 6.0
MAX_KIND_RUNS = 200.0
VARIANCE_WEIGHT = 0.1
MAX_KINDS = 1_000
# Stands in for an estimate of 0.
UNKNOWN_ESTIMATE_MS = 1_000
# A stretch is long enough that whole percents are no large error.
MIN_STRETCH_MS = 400
MIN_EXPECTED_SHARE = 0.03
# Ratio of adjacent speed classes, and bounds of the classes. Classes keep small differences from
# deciding between workers, which are packed densely within a class.
CLASS_RATIO = 1.25
MIN_CLASS = -4
MAX_CLASS = 2
REFRESH_INTERVAL_MS = 1_000
# A worker whose runs progress by less than this share of what is expected may have become slow.
SLOW_RATIO = 0.4
# Half-life of the recent progress by which a worker that has become slow is found.
RECENT_HALF_LIFE_MS = 500
# A run of a kind whose run times vary more than this is compared with its own progress so far, and
# counts only once that is at least the share.
MAX_RECENT_VARIANCE = 0.25
MIN_OWN_SHARE = 0.1
MAX_RECENT_RATIO = 2.0
# Runs after which the speed of a pool is known, and its bounds: it is a mean over the kinds, whose
# estimates may all be wrong in one direction.
MIN_POOL_RUNS = 20.0
MIN_POOL_RATE = 0.5
MAX_POOL_RATE = 2.0
# Weight of the model's run time beside a run's own progress, in runs.
MODEL_WEIGHT = 0.1

_KindKey = tuple[QueueId, int, bool]


@dataclass(slots=True, eq=False)
class Recent:
    """Progress of the last second or so compared with the expected one.

    :param run_ms: run time observed, halved in ``RECENT_HALF_LIFE_MS``; a single run
        never adds up to more than that time divided by ln 2
    :param done_ms: the same, each part multiplied by the ratio of actual to expected progress
    :param at_ms: time of the last addition
    """

    run_ms: float = 0.0
    done_ms: float = 0.0
    at_ms: int = 0

    @property
    def ratio(self) -> float:
        """Return the ratio of actual to expected progress."""
        return self.done_ms / self.run_ms if self.run_ms else 1.0

    def add(self, duration_ms: int, ratio: float, now_ms: int) -> None:
        """Add a stretch of a run that ends now."""
        weight = self.weight(now_ms)
        counted_ms = (1 - 0.5 ** (duration_ms / RECENT_HALF_LIFE_MS)) * RECENT_HALF_LIFE_MS
        counted_ms /= log(2)
        self.run_ms = self.run_ms * weight + counted_ms
        self.done_ms = self.done_ms * weight + counted_ms * ratio
        self.at_ms = now_ms

    def weight(self, now_ms: int) -> float:
        """Return what is left of the sums at a later time."""
        return 0.5 ** ((now_ms - self.at_ms) / RECENT_HALF_LIFE_MS)


@dataclass(slots=True, eq=False)
class WorkerSpeed:
    """What is known of one worker.

    :param born_ms: start of its incarnation
    :param expected: runs that its observed run time is worth at speed 1
    :param done: runs, in shares, that were done in this time
    :param scale: mean of its pool, which may differ from 1 while the kinds are learnt
    :param pace: share of this speed at which it works now, below 1 only while it is marked slow
    :param mark_ms: length of its last mark as slow, 0 if it had none
    :param marked_ms: start of that mark
    :param marked_until_ms: end of that mark if the worker has no runs to judge by
    """

    pool: PoolId
    born_ms: int
    expected: float = 0.0
    done: float = 0.0
    scale: float = 1.0
    recent: Recent = field(default_factory=Recent)
    pace: float = 1.0
    mark_ms: int = 0
    marked_ms: int = 0
    marked_until_ms: int = 0

    @property
    def speed(self) -> float:
        """Return the estimated speed relative to the mean of the pool."""
        share = self.done / self.scale + PRIOR_RUNS
        return min(max(share / (self.expected + PRIOR_RUNS), MIN_SPEED), MAX_SPEED)

    def add(self, expected: float, done: float) -> None:
        """Add the evidence of one stretch."""
        self.expected += expected
        self.done += done
        if self.expected > MAX_WORKER_RUNS:
            self._scale(MAX_WORKER_RUNS / self.expected)

    def decay(self, elapsed_ms: int) -> None:
        """Scale the evidence down for time that has passed."""
        self._scale(0.5 ** (elapsed_ms / EVIDENCE_HALF_LIFE_MS))

    def _scale(self, factor: float) -> None:
        self.expected *= factor
        self.done *= factor

    def speed_class(self) -> int:
        """Return the class of the speed, nearer to 0 by its standard error."""
        error = sqrt(ESTIMATE_VARIANCE / (self.expected + PRIOR_RUNS))
        speed = self.speed
        certain = max(1.0, speed - error) if speed > 1.0 else min(1.0, speed + error)
        return min(max(round(log(certain) / log(CLASS_RATIO)), MIN_CLASS), MAX_CLASS)


@dataclass(slots=True, eq=False)
class _Kind:
    """Run times of the tasks of one step of a queue's jobs, compared with their estimates.

    :param estimated: run time of a worker of speed 1, in estimates
    :param done: runs, in shares, that were done in this time
    :param variance: of the ratio of actual to expected progress
    """

    pool: PoolId
    estimated: float = 0.0
    done: float = 0.0
    variance: float = ESTIMATE_VARIANCE

    @property
    def is_known(self) -> bool:
        return self.done >= MIN_KIND_RUNS

    @property
    def rate(self) -> float:
        """Return the estimate divided by the usual run time."""
        return self.done / self.estimated if self.is_known else 1.0

    def add(self, estimated: float, done: float) -> None:
        self.estimated += estimated
        self.done += done
        if self.done > MAX_KIND_RUNS:
            self.estimated *= MAX_KIND_RUNS / self.done
            self.done = MAX_KIND_RUNS

    def add_ratio(self, ratio: float, share: float) -> None:
        deviation = (min(ratio, MAX_RECENT_RATIO) - 1.0) ** 2 - self.variance
        self.variance += VARIANCE_WEIGHT * min(1.0, share) * deviation


@dataclass(slots=True, eq=False)
class RunTrack:
    """Progress of one run.

    :param expected_ms: run time by the model when the run was added
    :param is_observed: its progress tells of the worker. That of a gang does not, which is as
        slow as its slowest member, nor that of a run away from its data or on a cold worker.
    :param first_ms: time of the first report, None before
    :param mark_percent: progress at the start of the present stretch
    :param mark_ms: start of the present stretch, None while there is none
    :param saved_percent: progress when the last checkpoint was first reported
    """

    kind: _Kind
    worker: WorkerSpeed
    expected_ms: float
    is_observed: bool
    first_percent: int = 0
    first_ms: int | None = None
    mark_percent: int = 0
    mark_ms: int | None = None
    saved_percent: int = 0

    def own_share(self, duration_ms: int) -> float:
        """Return which share is done in a time at the pace up to the mark, 0 when not known.

        A worker that is marked slow has slowed it already.
        """
        done = (self.mark_percent - self.first_percent) / FULL_PERCENT
        if done < MIN_OWN_SHARE or self.worker.pace < 1.0:
            return 0.0
        return done * duration_ms / (self.mark_ms - self.first_ms)


@dataclass(frozen=True, slots=True)
class PoolSpeeds:
    """Speeds of the workers of a pool of which something is known.

    :param rate: estimates divided by the usual run times, as a mean over the kinds of task
    """

    rate: float
    slowest: float
    middle: float
    fastest: float


class WorkerSpeeds:
    """Speeds of the workers and of the kinds of task; a new leader starts without any."""

    def __init__(self) -> None:
        """Initialize with all workers at speed 1.

        ``marked`` has the workers that are marked slow, ``moved_runs`` counts the runs that were
        moved from them since the count was last reported.
        """
        self._kinds: dict[_KindKey, _Kind] = {}
        self._workers: dict[WorkerId, WorkerSpeed] = {}
        self._scales: dict[PoolId, float] = {}
        self.pool_recents: dict[PoolId, Recent] = {}
        self.pools: dict[PoolId, PoolSpeeds] = {}
        self.marked: dict[WorkerId, Worker] = {}
        self.moved_runs = 0
        self._suspects: set[WorkerId] = set()
        self._refreshed_ms = 0

    def get(self, worker: Worker) -> WorkerSpeed:
        """Return what is known of a worker."""
        known, info = self._workers.get(worker.id), worker.info
        if known is None or known.born_ms != info.born_ms:
            # What is known of an earlier incarnation need not hold for this one.
            self.marked.pop(info.id, None)
            worker.speed_class, worker.is_slow = 0, False
            known = WorkerSpeed(info.pool, info.born_ms, scale=self._scales.get(info.pool, 1.0))
            self._workers[info.id] = known
        return known

    def take_suspects(self) -> set[WorkerId]:
        """Return the workers whose runs have made little progress since the last call."""
        suspects, self._suspects = self._suspects, set()
        return suspects

    def track(self, worker: Worker, run: Run) -> None:
        """Begin to follow a run on a worker."""
        if run.task is None or run.is_service or run.is_filler:
            return
        step = run.task.step
        spec = step.spec
        known = self.get(worker)
        kind = self._kind((step.job.spec.queue, step.index, spec.estimate_ms > 0), known.pool)
        estimate_ms = spec.estimate_ms or UNKNOWN_ESTIMATE_MS
        expected_ms = max(1.0, estimate_ms / (kind.rate * known.speed))
        is_far = bool(spec.rack) and worker.info.rack != spec.rack
        is_cold = worker.is_cold(run.started_ms)
        is_observed = not (spec.is_gang or spec.same_rack or is_far or is_cold)
        run.track = RunTrack(kind, known, expected_ms, is_observed)

    def observe(self, run: Run, checkpoint: str, now_ms: int) -> None:
        """Observe a reported progress of a run.

        :param checkpoint: checkpoint that was reported with it, not set in the run yet
        """
        track = run.track
        if track is None:
            return
        percent = run.progress_percent
        if checkpoint != run.checkpoint:
            track.saved_percent = percent
        if track.first_ms is None or percent < track.first_percent:
            track.first_percent, track.first_ms = percent, now_ms
        is_full_pace = run.phase is RunPhase.RUNNING and run.pace_percent >= FULL_PERCENT
        if not track.is_observed or not is_full_pace:
            track.mark_ms = None
            return
        if track.mark_ms is None or percent < track.mark_percent:
            track.mark_percent, track.mark_ms = percent, now_ms
            return
        duration_ms = now_ms - track.mark_ms
        if duration_ms >= MIN_STRETCH_MS:
            self._add_stretch(run, track, duration_ms, percent, now_ms, is_end=False)

    def observe_done(self, run: Run, now_ms: int) -> None:
        """Observe the end of a run that is done."""
        track = run.track
        if track is None or not track.is_observed or run.pace_percent < FULL_PERCENT:
            return
        if track.mark_ms is None:
            # The progress with which a resumed or unverified run began is not known.
            if run.is_unverified or not run.confirmed_ms or run.task.checkpoint:
                return
            track.mark_ms = run.confirmed_ms
        duration_ms = now_ms - track.mark_ms
        if duration_ms > 0:
            self._add_stretch(run, track, duration_ms, FULL_PERCENT, now_ms, is_end=True)

    def _add_stretch(
        self,
        run: Run,
        track: RunTrack,
        duration_ms: int,
        percent: int,
        now_ms: int,
        *,
        is_end: bool,
    ) -> None:
        kind, worker = track.kind, track.worker
        estimated = duration_ms / (run.task.step.spec.estimate_ms or UNKNOWN_ESTIMATE_MS)
        speed = worker.speed
        expected = estimated * kind.rate
        done = (min(percent, FULL_PERCENT) - track.mark_percent) / FULL_PERCENT
        if max(expected * speed, done) < MIN_EXPECTED_SHARE and not is_end:
            return
        predicted = expected * speed
        if kind.variance > MAX_RECENT_VARIANCE:
            predicted = track.own_share(duration_ms)
        track.mark_percent, track.mark_ms = percent, now_ms
        is_known = kind.is_known
        is_normal = worker.pace >= 1.0
        if is_normal:
            kind.add(estimated * speed, done)
        if not is_known:
            return
        if predicted:
            self._add_recent(run, duration_ms, done / predicted, now_ms)
        if is_normal:
            kind.add_ratio(done / (expected * speed), expected)
            weight = min(1.0, ESTIMATE_VARIANCE / max(kind.variance, ESTIMATE_VARIANCE))
            worker.add(expected * weight, done * weight)

    def _add_recent(self, run: Run, duration_ms: int, ratio: float, now_ms: int) -> None:
        worker = run.track.worker
        ratio = min(ratio, MAX_RECENT_RATIO)
        worker.recent.add(duration_ms, ratio, now_ms)
        self.pool_recents.setdefault(worker.pool, Recent()).add(duration_ms, ratio, now_ms)
        if worker.recent.ratio < SLOW_RATIO:
            self._suspects.add(run.worker)

    def _kind(self, key: _KindKey, pool: PoolId) -> _Kind:
        kind = self._kinds.get(key)
        if kind is None:
            if len(self._kinds) >= MAX_KINDS:
                self._kinds.pop(next(iter(self._kinds)))
            kind = self._kinds[key] = _Kind(pool)
        return kind

    def refresh(self, workers: Mapping[WorkerId, Worker], now_ms: int) -> None:
        """Update the speeds relative to the pools and their classes, once per interval."""
        elapsed_ms = now_ms - self._refreshed_ms
        if elapsed_ms < REFRESH_INTERVAL_MS:
            return
        self._refreshed_ms = now_ms
        by_pool: dict[PoolId, list[tuple[Worker, WorkerSpeed]]] = {}
        for name in list(self._workers):
            worker = workers.get(name)
            if worker is None:
                del self._workers[name]
                self.marked.pop(name, None)
            else:
                by_pool.setdefault(worker.info.pool, []).append((worker, self.get(worker)))
        self.pools = {}
        for pool, rows in by_pool.items():
            mean = sum(known.speed for _, known in rows) / len(rows)
            scale = min(max(self._scales.get(pool, 1.0) * mean, MIN_SPEED), MAX_SPEED)
            self._scales[pool] = scale
            for worker, known in rows:
                known.scale = scale
                known.decay(elapsed_ms)
                worker.speed_class = known.speed_class()
            speeds = [known.speed for _, known in rows]
            rate = self._pool_rate(pool)
            self.pools[pool] = PoolSpeeds(rate, min(speeds), median(speeds), max(speeds))

    def _pool_rate(self, pool: PoolId) -> float:
        kinds = [kind for kind in self._kinds.values() if kind.pool == pool and kind.is_known]
        done = sum(kind.done for kind in kinds)
        if done < MIN_POOL_RUNS:
            return 1.0
        rate = done / sum(kind.estimated for kind in kinds)
        return min(max(rate, MIN_POOL_RATE), MAX_POOL_RATE)

    def pool_rate(self, pool: PoolId) -> float:
        """Return the estimates of a pool's tasks divided by their usual run times."""
        known = self.pools.get(pool)
        return 1.0 if known is None else known.rate


def remaining_share(percent: int) -> float:
    """Return the share of a task that is left at a progress."""
    return 1.0 - min(percent, FULL_PERCENT) / FULL_PERCENT


def remaining_ms(run: Run, now_ms: int) -> float | None:
    """Return how long a run is expected to last yet, None when it is not followed."""
    track = run.track
    if track is None:
        return None
    worker_pace = track.worker.pace
    left = remaining_share(run.progress_percent)
    if worker_pace < 1.0:
        return left * track.expected_ms / worker_pace
    if track.first_ms is None:
        return max(0.0, track.expected_ms - (now_ms - run.started_ms))
    done = (run.progress_percent - track.first_percent) / FULL_PERCENT
    spent_ms = run.progressed_ms - track.first_ms
    total_ms = (spent_ms + MODEL_WEIGHT * track.expected_ms) / (done + MODEL_WEIGHT)
    return max(0.0, left * total_ms - (now_ms - run.progressed_ms))
