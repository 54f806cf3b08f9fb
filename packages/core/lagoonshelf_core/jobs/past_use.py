"""Past use of the cell by each team, and how it changes the order of waiting steps."""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from math import inf, isfinite, log

from lagoonshelf_core.ids import TeamId, WorkerId
from lagoonshelf_core.jobs.config import CellConfig, PoolId, Queue
from lagoonshelf_core.jobs.options import SchedulerOptions
from lagoonshelf_core.jobs.progress import Run, RunEnd, StepRun
from lagoonshelf_core.jobs.ranking import Rank, hold_back, objective_ms
from lagoonshelf_core.jobs.spec import StepSpec
from lagoonshelf_core.jobs.workers import Worker, allocation_of
from lagoonshelf_core.resources import ZERO_RESOURCES, Resources

# Longest time by which the order of a team's steps is shifted, whatever their objectives.
MAX_PENALTY_MS = 30_000
# A team at this multiple of its entitlement is held back by MAX_PENALTY_MS.
FULL_PENALTY_RATIO = 2.0
# Use of less than the whole cell for this long orders nothing: a burst after a quiet night is no
# heavy use, whatever the share of its team in the little that was used.
MIN_HISTORY_MS = 600_000
# The same as a share of the half-life, if that is less; more would never be reached, as the use of
# a full cell is that of 1.4 half-lives.
MIN_HISTORY_SHARE = 0.25
# Teams whose use is kept, those with the most use; the record of so many fits into one value.
MAX_TEAMS = 10_000
# Use that has decayed below this is forgotten; less than any run adds between two charges.
MIN_USE_CORE_MS = 0.001
# Use above this is not of a cell; two centuries of 10,000 cores are less.
MAX_USE_CORE_MS = 1e17
# Weight of a team that the configuration no longer has.
DEFAULT_WEIGHT = 1.0
MS_PER_H = 3_600_000


@dataclass(frozen=True, slots=True)
class Standing:
    """Use of a team compared with that of the teams that wait, itself included.

    :param penalty_ms: time by which the order of its waiting steps is shifted at most
    """

    use_core_ms: float
    entitled_core_ms: float
    penalty_ms: float


class PastUse:
    """Use of each team in core-milliseconds, with exponential decay.

    The use of a run is its dominant share of its pool, in cores of the pool. Amounts are kept as
    of a reference time, so that charges and refunds add up exactly, whenever they are made.
    """

    def __init__(self, half_life_ms: float) -> None:
        """Create without use; it is not known until the record of earlier terms is added."""
        self.is_known = False
        self._half_life_ms = half_life_ms
        self._use: dict[TeamId, float] = {}
        self._reference_ms = 0
        # Time until which the runs in progress are charged.
        self._charged_ms = 0
        self._pools: dict[PoolId, Resources] = {}

    def add_record(self, use: Mapping[TeamId, float], age_ms: float, now_ms: int) -> None:
        """Add the use of earlier terms, which is known from now on.

        :param age_ms: time since the record was written; at most one half-life of it counts
        """
        self._rebase(now_ms)
        kept = self._decay(min(max(age_ms, 0.0), self._half_life_ms))
        for team, core_ms in use.items():
            self._use[team] = self._use.get(team, 0.0) + core_ms * kept
        self._drop_excess()
        self.is_known = True

    def use_core_ms(self, now_ms: int) -> dict[TeamId, float]:
        """Return the use of each team."""
        kept = self._decay(now_ms - self._reference_ms)
        return {team: core_ms * kept for team, core_ms in self._use.items()}

    def charge(self, workers: Mapping[WorkerId, Worker], now_ms: int) -> None:
        """Charge the runs in progress for the time since the last charge.

        A service has no end at which it could be charged.
        """
        self._rebase(now_ms)
        self._measure_pools(workers)
        # Runs of one step have one size: those in progress all the time are charged together.
        alike: Counter[tuple[StepRun, PoolId]] = Counter()
        for worker in workers.values():
            pool = worker.info.pool
            for run in worker.runs.values():
                if not run.confirmed_ms or run.task is None:
                    continue
                if run.confirmed_ms > self._charged_ms:
                    self._add(run.task.step, pool, run.confirmed_ms, now_ms)
                else:
                    alike[run.task.step, pool] += 1
        for (step, pool), count in alike.items():
            self._add(step, pool, self._charged_ms, now_ms, count)
        self._charged_ms = now_ms
        self._drop_excess()

    def charge_end(
        self, workers: Mapping[WorkerId, Worker], run: Run, end: RunEnd, now_ms: int
    ) -> None:
        """Charge a run that ends, or refund it if the cell and not its team caused the end."""
        worker = workers.get(run.worker)
        if worker is None or run.task is None or not run.confirmed_ms:
            return
        if now_ms - self._reference_ms > self._half_life_ms:
            self._rebase(now_ms)
        step, pool = run.task.step, worker.info.pool
        if pool not in self._pools:
            self._measure_pools(workers)
        if is_refunded(run, end):
            self._add(step, pool, self._charged_ms, min(run.confirmed_ms, self._charged_ms))
        else:
            self._add(step, pool, max(run.confirmed_ms, self._charged_ms), now_ms)

    def standings(
        self, waiting: Iterable[TeamId], cfg: CellConfig, now_ms: int
    ) -> dict[TeamId, Standing]:
        """Return the standing of all teams, of one without waiting work as if it had some.

        Only teams that wait are compared: what absent teams have used changes no order.
        """
        if not self.is_known:
            return {}
        use, competing = self.use_core_ms(now_ms), set(waiting)
        total = sum(use.get(team, 0.0) for team in competing)
        weights = sum(_weight(cfg, team) for team in competing)
        cores = sum(pool.cpu_milli for pool in self._pools.values()) / 1000
        floor = cores * min(MIN_HISTORY_MS, self._half_life_ms * MIN_HISTORY_SHARE)
        found = {}
        for team in competing.union(use, cfg.teams):
            own, weight = use.get(team, 0.0), _weight(cfg, team)
            is_other = team not in competing
            all_weights = weights + is_other * weight
            share = weight / all_weights if all_weights > 0 else 1.0
            entitled = max(total + is_other * own, floor) * share
            found[team] = Standing(own, entitled, _penalty_ms(own, entitled))
        return found

    def _add(
        self, step: StepRun, pool: PoolId, start_ms: int, end_ms: int, run_count: int = 1
    ) -> None:
        """Add the use of runs of a step between two times; subtract it if the end is earlier."""
        scale = self._half_life_ms / log(2.0)
        start = self._decay(self._reference_ms - start_ms)
        weighted_ms = scale * (self._decay(self._reference_ms - end_ms) - start)
        amount = run_count * self._cores(step.spec, pool) * weighted_ms
        team = step.job.spec.team
        self._use[team] = max(0.0, self._use.get(team, 0.0) + amount)

    def _cores(self, spec: StepSpec, pool: PoolId) -> float:
        size = allocation_of(spec.size, spec.is_filler)
        capacity = self._pools.get(pool, ZERO_RESOURCES)
        if not capacity.cpu_milli:
            return size.cpu_milli / 1000
        return size.dominant_share(capacity) * capacity.cpu_milli / 1000

    def _measure_pools(self, workers: Mapping[WorkerId, Worker]) -> None:
        pools: dict[PoolId, Resources] = {}
        for worker in workers.values():
            if worker.is_listed:
                info = worker.info
                pools[info.pool] = pools.get(info.pool, ZERO_RESOURCES) + info.capacity
        # A pool that has lost all its workers keeps its measure for the ends of their runs.
        self._pools = {**self._pools, **pools} if len(pools) < len(self._pools) else pools

    def _decay(self, age_ms: float) -> float:
        return 2.0 ** (-age_ms / self._half_life_ms)

    def _rebase(self, now_ms: int) -> None:
        self._use = self.use_core_ms(now_ms)
        self._reference_ms = now_ms

    def _drop_excess(self) -> None:
        use = {team: core_ms for team, core_ms in self._use.items() if core_ms >= MIN_USE_CORE_MS}
        if len(use) > MAX_TEAMS:
            use = dict(sorted(use.items(), key=lambda row: -row[1])[:MAX_TEAMS])
        self._use = use


def past_use_of(options: SchedulerOptions) -> PastUse | None:
    """Return the past use as the options ask for it, ``None`` if they do not."""
    half_life_ms = options.usage_half_life_h * MS_PER_H
    return PastUse(half_life_ms) if half_life_ms > 0 else None


def is_refunded(run: Run, end: RunEnd) -> bool:
    """Return whether the cell and not the team bears the use of a run that has ended.

    The cell bears runs that it lost with a worker or stopped for its own reasons, unless their
    progress is kept, they were at work as a service, or they may be what crashed the worker.
    """
    task = run.task
    if end not in (RunEnd.LAPSED, RunEnd.STOPPED) or task is None:
        return False
    if task.job.is_final or task.is_suspect or run.checkpoint or run.has_served:
        return False
    if task.is_done and not run.is_duplicate:
        return False
    return not (task.step.spec.is_gang and run.attempt in task.step.failed_attempts)


def order_by_past_use(
    past_use: PastUse, cfg: CellConfig, ranked: list[tuple[Rank, StepRun, Queue]], now_ms: int
) -> list[tuple[Rank, StepRun, Queue]]:
    """Return ranked steps with those of teams above their entitlement held back.

    No team is held back for longer than the shortest objective of its waiting jobs: late work is
    of use for two objectives more. The bound is one for all its jobs, which keep their order.
    """
    objectives: dict[TeamId, float] = {}
    for _, step, queue in ranked:
        team = step.job.spec.team
        objectives[team] = min(objectives.get(team, inf), objective_ms(step, queue))
    if len(objectives) < 2:
        return ranked
    penalties = {
        team: min(standing.penalty_ms, max(0.0, objectives.get(team, 0.0)))
        for team, standing in past_use.standings(objectives, cfg, now_ms).items()
    }
    return [
        (hold_back(found, penalties.get(step.job.spec.team, 0.0)), step, queue)
        for found, step, queue in ranked
    ]


def _weight(cfg: CellConfig, name: TeamId) -> float:
    team = cfg.teams.get(name)
    if team is None:
        return DEFAULT_WEIGHT
    return team.weight if isfinite(team.weight) and team.weight > 0 else 0.0


def _penalty_ms(use: float, entitled: float) -> float:
    if use <= entitled:
        return 0.0
    if entitled <= 0:
        return float(MAX_PENALTY_MS)
    excess = (use / entitled - 1.0) / (FULL_PENALTY_RATIO - 1.0)
    return MAX_PENALTY_MS * min(1.0, excess)
