"""Optional parts of the scheduler; each is off by default."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SchedulerOptions:
    """Which optional parts of the scheduler are on.

    :param reserves_advice_lanes: some members carry only short requests to the placement policy,
        so that urgent steps do not wait behind long ones
    :param leader_link_mbps: link speed that a host needs to lead the cell as long as another host
        has it, 0 to ignore links
    :param orders_late_by_work: late steps go by receipt and remaining work, not by receipt alone
    :param refuses_overload: jobs that cannot end in time to be of use are refused when they are
        submitted
    :param spreads_outage_retries: Retry-After in an outage of the store follows the age of the
        outage and the slack of the job
    :param forecasts_reserve: the capacity kept for urgent work follows a forecast of its arrivals
    :param models_worker_speed: placement uses the measured speed of each worker
    :param usage_half_life_h: half-life of past use in the order of waiting work, 0 for none
    """

    reserves_advice_lanes: bool = False
    leader_link_mbps: float = 0.0
    orders_late_by_work: bool = False
    refuses_overload: bool = False
    spreads_outage_retries: bool = False
    forecasts_reserve: bool = False
    models_worker_speed: bool = False
    usage_half_life_h: float = 0.0


DEFAULT_OPTIONS = SchedulerOptions()
