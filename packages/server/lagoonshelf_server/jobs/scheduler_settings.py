"""Settings of the optional parts of the scheduler, from the environment."""

from collections.abc import Mapping

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from returns.result import Failure, Result, Success

from lagoonshelf_core.errors import Fault, ResultCode
from lagoonshelf_core.jobs.options import SchedulerOptions

SCHEDULER_PREFIX = "LAGOONSHELF_SCHEDULER_"
MAX_HALF_LIFE_H = 24.0 * 366
MAX_LINK_MBPS = 1_000_000.0


class SchedulerSettings(BaseModel):
    """Optional parts of the scheduler; all are off by default."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    reserves_advice_lanes: bool = Field(
        False, description="Keep some members for short requests to the placement policy."
    )
    leader_link_mbps: float = Field(
        0.0,
        ge=0.0,
        le=MAX_LINK_MBPS,
        description="Link speed of hosts that should lead the cell; 0 ignores links.",
        json_schema_extra={"unit": "Mbit/s"},
    )
    orders_late_by_work: bool = Field(
        False, description="Order late steps by receipt and remaining work."
    )
    refuses_overload: bool = Field(
        False, description="Refuse jobs that cannot end in time to be of use."
    )
    spreads_outage_retries: bool = Field(
        False, description="Let Retry-After in a store outage follow its age and the job's slack."
    )
    forecasts_reserve: bool = Field(
        False, description="Keep capacity for urgent work by a forecast of its arrivals."
    )
    models_worker_speed: bool = Field(False, description="Place by the measured speed of workers.")
    usage_half_life_h: float = Field(
        0.0,
        ge=0.0,
        le=MAX_HALF_LIFE_H,
        description="Half-life of past use in the order of waiting work; 0 ignores it.",
        json_schema_extra={"unit": "h"},
    )


def load_scheduler_options(env: Mapping[str, str]) -> Result[SchedulerOptions, Fault]:
    """Return the options from the environment variables that start with the prefix."""
    values = {
        name.removeprefix(SCHEDULER_PREFIX).lower(): text
        for name, text in env.items()
        if name.startswith(SCHEDULER_PREFIX)
    }
    try:
        settings = SchedulerSettings.model_validate(values)
    except ValidationError as exc:
        errors = (
            f"{SCHEDULER_PREFIX}{'.'.join(map(str, row['loc'])).upper()}: {row['msg']}"
            for row in exc.errors()
        )
        return Failure(Fault(ResultCode.BAD_SETTING, "; ".join(errors)))
    return Success(SchedulerOptions(**settings.model_dump()))
