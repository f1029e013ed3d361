"""The two benchmark deployments, scaled down in time and size."""

import dataclasses
import enum

KEY_SUFFIX = "-key"
SERVICE_COMPLETE_MS = 2_000.0
# Defaults of the stand-in engine; see EngineProfile.
ENGINE_STEP_MS = 10.0
ENGINE_STEP_PER_REQUEST_MS = 1.0
ENGINE_PREFILL_MS = 40.0
# Fraction of requests whose prompt starts with a prefix that others share.
SHARED_PREFIX_FRACTION = 0.75


class SiteName(enum.StrEnum):
    """Names of the benchmark deployments, which are those of the examples."""

    COOPERATIVE = "cooperative"
    KAURI = "kauri"


@dataclasses.dataclass(frozen=True)
class ClassLoad:
    """A request class, its latency targets and its load.

    Attributes:
        load_fraction: Fraction of the offered tokens; 0 for a plain service.
        median_tokens: Median response length.
        sigma: Standard deviation of the logarithm of the response length.
        targets: Models or services that its requests name; one that is listed
            twice is named twice as often.
        stream_fraction: Fraction of its requests that ask for a stream.
        requests_per_s: Arrival rate of a plain service's requests.
    """

    name: str
    tier: int
    max_wait_ms: float
    load_fraction: float = 0.0
    median_tokens: float = 0.0
    sigma: float = 0.0
    targets: tuple[str, ...] = ()
    stream_fraction: float = 1.0
    first_token_ms: float | None = None
    between_tokens_ms: float | None = None
    complete_ms: float | None = None
    min_share: float = 0.0
    requests_per_s: float = 0.0

    @property
    def is_service(self) -> bool:
        """Whether its requests go to a plain service."""
        return self.requests_per_s > 0


@dataclasses.dataclass(frozen=True)
class Account:
    """A client account, with its fraction of each class's load."""

    name: str
    load_fraction: float

    @property
    def key(self) -> str:
        """The account's API key."""
        return self.name + KEY_SUFFIX


@dataclasses.dataclass(frozen=True)
class Site:
    """A benchmark deployment and its load.

    Attributes:
        capacity: Tokens a second that all engines together compute under
            the scenario `calibration`.
        engines: The models that each engine serves.
        services: Number of endpoints that are plain services.
        slots: Slots of each engine.
        slowdown: Factor on the step and prefill times of all engines.
    """

    name: SiteName
    capacity: float
    vms: int
    engines: tuple[tuple[str, ...], ...]
    services: int
    classes: tuple[ClassLoad, ...]
    accounts: tuple[Account, ...]
    slots: int = 8
    slowdown: float = 1.5

    def find_class(self, name: str) -> ClassLoad:
        """Returns the class called `name`."""
        return next(c for c in self.classes if c.name == name)


# Two large accounts, two medium ones and six small ones.
ACCOUNT_FRACTIONS = (0.3, 0.2, 0.1, 0.1, 0.05, 0.05, 0.05, 0.05, 0.05, 0.05)
ACCOUNTS = tuple(
    Account(f"account-{i + 1}", fraction)
    for i, fraction in enumerate(ACCOUNT_FRACTIONS)
)

COOPERATIVE = Site(
    SiteName.COOPERATIVE,
    capacity=1_450,
    vms=3,
    engines=(("notes",),) * 6,
    services=2,
    accounts=ACCOUNTS,
    classes=(
        ClassLoad(
            "judge-query",
            tier=1,
            max_wait_ms=8_000,
            load_fraction=0.1,
            median_tokens=18,
            sigma=0.6,
            targets=("notes",),
            first_token_ms=1_100,
            between_tokens_ms=37,
            min_share=0.1,
        ),
        ClassLoad(
            "entry",
            tier=1,
            max_wait_ms=5_000,
            targets=("entry",),
            complete_ms=SERVICE_COMPLETE_MS,
            requests_per_s=2.0,
        ),
        ClassLoad(
            "catalogue-note",
            tier=2,
            max_wait_ms=10_000,
            load_fraction=0.15,
            median_tokens=25,
            sigma=0.7,
            targets=("notes",),
            first_token_ms=3_000,
            min_share=0.1,
        ),
        ClassLoad(
            "stand-caption",
            tier=3,
            max_wait_ms=15_000,
            load_fraction=0.75,
            median_tokens=30,
            sigma=0.8,
            targets=("notes",),
            stream_fraction=0.5,
            complete_ms=20_000,
            min_share=0.05,
        ),
    ),
)

KAURI = Site(
    SiteName.KAURI,
    capacity=2_220,
    vms=3,
    engines=(("drafting",),) * 6 + (("drafting", "guidance"),) * 3,
    services=2,
    accounts=ACCOUNTS,
    classes=(
        ClassLoad(
            "family-quote",
            tier=1,
            max_wait_ms=10_000,
            load_fraction=0.1,
            median_tokens=18,
            sigma=0.6,
            targets=("drafting",),
            first_token_ms=1_100,
            between_tokens_ms=37,
            min_share=0.1,
        ),
        ClassLoad(
            "job-desk",
            tier=1,
            max_wait_ms=5_000,
            targets=("jobs",),
            complete_ms=SERVICE_COMPLETE_MS,
            requests_per_s=2.0,
        ),
        ClassLoad(
            "installer-question",
            tier=2,
            max_wait_ms=10_000,
            load_fraction=0.15,
            median_tokens=20,
            sigma=0.7,
            targets=("drafting", "guidance"),
            first_token_ms=2_500,
            min_share=0.1,
        ),
        ClassLoad(
            "site-assessment",
            tier=3,
            max_wait_ms=15_000,
            load_fraction=0.75,
            median_tokens=35,
            sigma=0.9,
            targets=("drafting",),
            stream_fraction=0.5,
            complete_ms=20_000,
            min_share=0.1,
        ),
    ),
)

SITES = {site.name: site for site in (COOPERATIVE, KAURI)}


def model_capacity(site: Site, mean_tokens: float) -> float:
    """Returns the modelled tokens a second of all engines with full slots."""
    step_ms = ENGINE_STEP_MS + site.slots * ENGINE_STEP_PER_REQUEST_MS
    prefill_ms = ENGINE_PREFILL_MS * (1 - SHARED_PREFIX_FRACTION)
    request_ms = mean_tokens * step_ms / site.slots + prefill_ms
    engine_capacity = mean_tokens / (request_ms * site.slowdown / 1_000)
    return engine_capacity * len(site.engines)
