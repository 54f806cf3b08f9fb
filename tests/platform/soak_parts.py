"""Optional parts in the soak: evacuations, refusals for load, executors of unequal speed."""

import asyncio
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from random import Random
from time import monotonic

from tests.platform.standin.cluster import Cluster
from tests.platform.standin.executors import RunRecord

# Share of the seeds in which the parts are on.
PARTS_SHARE = 0.5
EVACUATE_MS = 3_000
EVACUATION_PREFIX = "op/evacuate/"
DOMAINS = ("z1", "z2")
# A quarter of the workers of one site work at about half the speed of the others.
SPEEDS = (0.55, 1.2, 1.2, 1.2)
OPTIONS = (
    "ORDERS_LATE_BY_WORK",
    "REFUSES_OVERLOAD",
    "FORECASTS_RESERVE",
    "SPREADS_OUTAGE_RETRIES",
    "MODELS_WORKER_SPEED",
)
USAGE_HALF_LIFE_H = "0.01"
MAX_EVACUATIONS = 3


@dataclass(slots=True)
class Evacuation:
    """An evacuation of a failure domain; ``removed_s`` is 0 while it lasts."""

    domain: str
    requested_s: float
    removed_s: float = 0.0


def switch_on(cluster: Cluster) -> None:
    """Let the processes and executors of a cluster that has not started use all parts."""
    cluster.bounds = {"evacuate_ms": EVACUATE_MS}
    cluster.env = {f"LAGOONSHELF_SCHEDULER_{name}": "true" for name in OPTIONS}
    cluster.env["LAGOONSHELF_SCHEDULER_USAGE_HALF_LIFE_H"] = USAGE_HALF_LIFE_H
    for number, executor in enumerate(cluster.executors):
        executor.domain = DOMAINS[number % len(DOMAINS)]
        executor.speed = SPEEDS[number % len(SPEEDS)]


async def evacuate(cluster: Cluster, rng: Random, evacuations: list[Evacuation]) -> None:
    """Evacuate domains for some seconds each; two may overlap, and one may not exist."""
    for _ in range(rng.randrange(1, MAX_EVACUATIONS + 1)):
        await asyncio.sleep(rng.uniform(0.5, 3.0))
        domain = rng.choice((*DOMAINS, *DOMAINS, "nowhere"))
        if any(row.domain == domain and not row.removed_s for row in evacuations):
            continue
        cluster.store.put(f"{EVACUATION_PREFIX}{domain}", {})
        evacuations.append(Evacuation(domain, monotonic()))
        if rng.random() < 0.3:
            continue
        await asyncio.sleep(rng.uniform(1.0, 6.0))
        restore(cluster, evacuations)
    await asyncio.sleep(rng.uniform(1.0, 6.0))
    restore(cluster, evacuations)


def restore(cluster: Cluster, evacuations: Iterable[Evacuation]) -> None:
    """End all evacuations."""
    for row in evacuations:
        if not row.removed_s:
            row.removed_s = monotonic()
            cluster.store.delete(f"{EVACUATION_PREFIX}{row.domain}")


def starts_in_evacuated_domains(
    history: Iterable[RunRecord],
    domains: Mapping[str, str],
    evacuations: Iterable[Evacuation],
    disturbances: Mapping[int, list[float]],
    touch_s: float,
) -> list[str]:
    """Return the starts in domains that had been evacuated, by leaders in touch.

    :param domains: domain of each executor
    :param disturbances: by fencing token, in order, when its leader or the store was disturbed
    :param touch_s: time without disturbance after which a leader is in touch
    """
    violations = []
    for record in history:
        sent_s = record.started_s - record.late_s
        domain = domains.get(record.executor.partition("+")[0])
        before = [at_s for at_s in disturbances.get(record.fencing_token, ()) if at_s <= sent_s]
        if before and sent_s - before[-1] < touch_s:
            continue
        violations += [
            f"started in an evacuated domain: {record.task} on {record.executor}, "
            f"{sent_s - row.requested_s:.2f} s after the request"
            for row in evacuations
            if row.domain == domain
            and sent_s > row.requested_s + EVACUATE_MS / 1000
            and (not row.removed_s or sent_s < row.removed_s)
        ]
    return violations
