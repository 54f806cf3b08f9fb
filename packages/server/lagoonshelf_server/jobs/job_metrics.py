"""Prometheus metrics of the server process for multi-step jobs."""

from collections import Counter as Tally

from aioprometheus import Counter, Gauge, Histogram

from lagoonshelf_core.jobs.progress import Run, RunEnd
from lagoonshelf_core.jobs.worker_speeds import WorkerSpeeds

# Upper bounds of the latency buckets; latency objectives of clients are between 250 ms and 30 s.
BUCKETS_MS = [5, 10, 25, 50, 100, 250, 500, 1_000, 2_500, 5_000, 10_000, 30_000]

requests = Counter("lagoonshelf_requests_total", "Callers' requests by method and status.")
request_ms = Histogram(
    "lagoonshelf_request_ms", "Time to answer a caller by method.", buckets=BUCKETS_MS
)
store_calls = Counter("lagoonshelf_job_store_calls_total", "Store calls by call and result.")
store_ms = Histogram(
    "lagoonshelf_store_ms", "Time of answered store calls by call.", buckets=BUCKETS_MS
)
advice_ms = Histogram("lagoonshelf_advice_ms", "Time to get advice.", buckets=BUCKETS_MS)
first_start_ms = Histogram(
    "lagoonshelf_first_start_ms",
    "Time from receipt of a job to its first start by queue.",
    buckets=BUCKETS_MS,
)
start_ms = Histogram(
    "lagoonshelf_start_ms", "Time from the choice of a worker to its answer.", buckets=BUCKETS_MS
)
job_ms = Histogram(
    "lagoonshelf_job_ms", "Time from receipt of a job to its end by state.", buckets=BUCKETS_MS
)
run_ends = Counter("lagoonshelf_run_ends_total", "Ends of runs by how they ended.")
worker_losses = Counter(
    "lagoonshelf_worker_losses_total", "Workers that lost their runs by how they were lost."
)
given_up_tasks = Counter(
    "lagoonshelf_given_up_tasks_total", "Tasks that were given up as they crash their workers."
)
wasted_core_ms = Counter(
    "lagoonshelf_wasted_core_ms_total", "Core-milliseconds of runs that did not end well, by end."
)
open_steps = Gauge("lagoonshelf_open_steps", "Steps that wait for room by band.")
usage_is_known = Gauge(
    "lagoonshelf_usage_is_known", "1 while this process knows the past use of the teams."
)
team_use = Gauge("lagoonshelf_team_use_core_ms", "Decayed use by team in core-milliseconds.")
team_entitlement = Gauge(
    "lagoonshelf_team_entitlement_core_ms",
    "Use that a team is entitled to among the teams that wait.",
)
team_penalty = Gauge(
    "lagoonshelf_team_penalty_ms", "Longest time by which a team's waiting steps are held back."
)
live_jobs = Gauge("lagoonshelf_live_jobs", "Jobs that have not ended.")
config_version = Gauge("lagoonshelf_config_version", "Version of the configuration in force.")
config_age_ms = Gauge("lagoonshelf_config_age_ms", "Time since the configuration was read.")
config_use_age_ms = Histogram(
    "lagoonshelf_config_use_age_ms",
    "Time since the configuration by which a request was answered had been confirmed.",
    buckets=BUCKETS_MS,
)
submissions_use_age_ms = Histogram(
    "lagoonshelf_submissions_use_age_ms",
    "Time since the jobs and cancellations by which tasks are started had been confirmed.",
    buckets=BUCKETS_MS,
)
config_watch_failures = Counter(
    "lagoonshelf_config_watch_failures_total", "Watches of the configuration that failed."
)
loop_late_ms = Histogram(
    "lagoonshelf_loop_late_ms", "Delay of a short timer of the event loop.", buckets=BUCKETS_MS
)
worker_speed = Gauge(
    "lagoonshelf_worker_speed", "Speed of the slowest, median and fastest worker by pool."
)
slow_workers = Gauge("lagoonshelf_slow_workers", "Workers that are marked slow by pool.")
moved_runs = Counter("lagoonshelf_moved_runs_total", "Runs stopped as their worker was slow.")
evacuated_domains = Gauge("lagoonshelf_evacuated_domains", "Failure domains that are evacuated.")
evacuated_workers = Gauge("lagoonshelf_evacuated_workers", "Workers in evacuated domains.")
evacuated_runs = Gauge("lagoonshelf_evacuated_runs", "Runs on workers in evacuated domains.")
evacuations_age_ms = Gauge(
    "lagoonshelf_evacuations_age_ms", "Time since the evacuated domains were certainly current."
)
refusals = Counter(
    "lagoonshelf_refusals_total", "Jobs refused as they could not end in time, by queue."
)
memory_refusals = Counter(
    "lagoonshelf_memory_refusals_total",
    "Jobs refused as the memory for jobs is in use, by whether it is the share of their team.",
)
job_bytes = Gauge("lagoonshelf_job_bytes", "Estimated memory of the jobs at the leader.")
max_job_bytes = Gauge("lagoonshelf_max_job_bytes", "Memory that jobs at the leader may take.")
deferred_jobs = Gauge(
    "lagoonshelf_deferred_jobs",
    "Jobs that wait in the store until the leader has memory for them.",
)
forecast_wait_ms = Gauge(
    "lagoonshelf_forecast_wait_ms", "Expected time until a new job would start, by queue."
)
reserve_milli = Gauge(
    "lagoonshelf_reserve_milli", "CPU kept free for urgent work by pool, in thousandths."
)
is_leader = Gauge("lagoonshelf_is_holder", "1 while this process holds the cell.")


def count_store_call(call: str, result: str, took_ms: int) -> None:
    """Count a call to the store.

    :param result: status of the answer, or the reason why there was none
    :param took_ms: time until the answer
    """
    store_calls.inc({"call": call, "result": result})
    if call != "watch":
        store_ms.observe({"call": call}, took_ms)


def report_speeds(speeds: WorkerSpeeds) -> None:
    """Report the speeds of the workers as the leader knows them."""
    marked = Tally(worker.info.pool for worker in speeds.marked.values())
    for pool, known in speeds.pools.items():
        worker_speed.set({"pool": pool, "of": "slowest"}, known.slowest)
        worker_speed.set({"pool": pool, "of": "median"}, known.middle)
        worker_speed.set({"pool": pool, "of": "fastest"}, known.fastest)
        slow_workers.set({"pool": pool}, marked[pool])
    moved_runs.add({}, speeds.moved_runs)
    speeds.moved_runs = 0


def count_run_end(run: Run, end: RunEnd, now_ms: int) -> None:
    """Count the end of a run, and its core-milliseconds if it did not end well."""
    run_ends.inc({"how": end.value})
    if end is not RunEnd.DONE:
        core_ms = run.size.cpu_milli * (now_ms - run.started_ms) / 1000
        wasted_core_ms.add({"how": end.value}, core_ms)
