"""Scenarios: the load over time and the faults of a run."""

import dataclasses
import enum

MS_PER_SECOND = 1_000.0


class Scenario(enum.StrEnum):
    """Names of the scenarios, as given on the command line."""

    STEADY = "steady"
    BURST = "burst"
    SWAMP = "swamp"
    HEAVY_TAIL = "heavy-tail"
    STRAGGLER = "straggler"
    CRASH = "crash"
    OUTAGE = "outage"
    LAG = "lag"
    ROLLING = "rolling"
    CALIBRATION = "calibration"


@dataclasses.dataclass(frozen=True)
class Profile:
    """The load and the faults of a scenario.

    Attributes:
        load: Offered tokens as a fraction of the capacity.
        peak: The same in the middle third of the run.
        account_factor: Factor on the load of the first account.
        sigma_factor: Factor on the spread of the response lengths.
        slowdown: Factor on the step and prefill times of the first engine.
        report_lag_ms: Age of the engines' load reports.
        crash: Kill the last engine halfway through and restart it.
        outage: Let the platform refuse all calls in the middle third.
        rolling: Replace all VMs one by one.
    """

    load: float = 0.7
    peak: float = 0.7
    account_factor: float = 1.0
    sigma_factor: float = 1.0
    slowdown: float = 1.0
    report_lag_ms: float = 0.0
    crash: bool = False
    outage: bool = False
    rolling: bool = False


PROFILES = {
    Scenario.STEADY: Profile(),
    Scenario.BURST: Profile(peak=3.0),
    Scenario.SWAMP: Profile(account_factor=5.0),
    Scenario.HEAVY_TAIL: Profile(sigma_factor=1.6),
    Scenario.STRAGGLER: Profile(slowdown=10.0),
    Scenario.CRASH: Profile(crash=True),
    Scenario.OUTAGE: Profile(outage=True),
    Scenario.LAG: Profile(report_lag_ms=2_000.0),
    Scenario.ROLLING: Profile(rolling=True),
    Scenario.CALIBRATION: Profile(load=1.5, peak=1.5),
}


def combine(names: str) -> Profile:
    """Returns the combined profile of scenarios joined by `+`."""
    changes = {}
    for name in names.split("+"):
        for field, value in dataclasses.asdict(
            PROFILES[Scenario(name)]
        ).items():
            if value != getattr(Profile(), field):
                changes[field] = value
    return Profile(**changes)


def load_at(profile: Profile, at_ms: float, duration_ms: float) -> float:
    """Returns the offered load at `at_ms`, as a fraction of the capacity."""
    in_middle = duration_ms / 3 <= at_ms < duration_ms * 2 / 3
    return profile.peak if in_middle else profile.load
