"""Open-loop load: a seeded plan of requests with their arrival times."""

from collections.abc import Iterator
import dataclasses
import json
import math
import random

from bench import scenarios
from bench import sites

MAX_TOKENS = 400
PREFIX_CHARS = 260


@dataclasses.dataclass(frozen=True)
class PlannedRequest:
    """One planned request; `at_ms` is its arrival since the run's start."""

    at_ms: float
    class_name: str
    account: sites.Account
    target: str
    tokens: int
    stream: bool
    prompt: str

    @property
    def is_service(self) -> bool:
        """Whether the request goes to a plain service."""
        return self.tokens == 0

    def body(self) -> bytes:
        """Returns the body of a chat request."""
        message = {"role": "user", "content": self.prompt}
        fields = {
            "model": self.target,
            "stream": self.stream,
            "messages": [message],
        }
        return json.dumps(fields).encode()


def mean_tokens(load: sites.ClassLoad, sigma_factor: float = 1.0) -> float:
    """Returns the mean response length, before it is cut to `MAX_TOKENS`."""
    sigma = load.sigma * sigma_factor
    return load.median_tokens * math.exp(sigma**2 / 2)


def mean_response_tokens(site: sites.Site) -> float:
    """Returns the mean response length over all requests to models."""
    chat_classes = [c for c in site.classes if not c.is_service]
    request_rate = sum(c.load_fraction / mean_tokens(c) for c in chat_classes)
    return sum(c.load_fraction for c in chat_classes) / request_rate


def plan(
    site: sites.Site,
    profile: scenarios.Profile,
    capacity: float,
    duration_ms: float,
    seed: int,
) -> list[PlannedRequest]:
    """Returns the requests of a run in order of arrival.

    Args:
        site: The deployment.
        profile: The scenario's load.
        capacity: Tokens a second that fully loaded engines compute.
        duration_ms: Length of the arrival window.
        seed: Seed of the random numbers; equal seeds give equal plans.
    """
    requests = []
    for load in site.classes:
        rng = random.Random(f"{seed}/{load.name}")
        for account in site.accounts:
            requests += _plan_account(
                _ArrivalProcess(site, load, account, profile),
                capacity,
                duration_ms,
                rng,
            )
    return sorted(requests, key=lambda r: r.at_ms)


@dataclasses.dataclass(frozen=True)
class _ArrivalProcess:
    """The arrivals of one account's requests in one class."""

    site: sites.Site
    load: sites.ClassLoad
    account: sites.Account
    profile: scenarios.Profile

    def rate(self, capacity: float, at_ms: float, duration_ms: float) -> float:
        """Returns the arrival rate in requests a second at `at_ms`."""
        rate = self.load.requests_per_s * self.account.load_fraction
        if not self.load.is_service:
            tokens = (
                capacity * self.load.load_fraction * self.account.load_fraction
            )
            rate = tokens / mean_tokens(self.load)
            rate *= scenarios.load_at(self.profile, at_ms, duration_ms)
        if self.account is self.site.accounts[0]:
            rate *= self.profile.account_factor
        return rate


def _plan_account(
    arrivals: _ArrivalProcess,
    capacity: float,
    duration_ms: float,
    rng: random.Random,
) -> Iterator[PlannedRequest]:
    """Yields Poisson arrivals at the peak rate, thinned to the current one."""
    peak_rate = max(
        arrivals.rate(capacity, at_ms, duration_ms)
        for at_ms in (0.0, duration_ms / 2)
    )
    at_ms = 0.0
    while True:
        at_ms += rng.expovariate(peak_rate) * scenarios.MS_PER_SECOND
        if at_ms >= duration_ms:
            return
        req = _plan_request(arrivals, at_ms, rng)
        if rng.random() * peak_rate <= arrivals.rate(
            capacity, at_ms, duration_ms
        ):
            yield req


def _plan_request(
    arrivals: _ArrivalProcess, at_ms: float, rng: random.Random
) -> PlannedRequest:
    load = arrivals.load
    tokens = 0
    if not load.is_service:
        # Adjusts mu so that a wider spread leaves the mean unchanged.
        sigma = load.sigma * arrivals.profile.sigma_factor
        mu = math.log(mean_tokens(load)) - sigma**2 / 2
        tokens = max(1, min(MAX_TOKENS, round(rng.lognormvariate(mu, sigma))))
    return PlannedRequest(
        at_ms,
        load.name,
        arrivals.account,
        rng.choice(load.targets),
        tokens,
        rng.random() < load.stream_fraction,
        _prompt(arrivals, tokens, rng),
    )


def _prompt(arrivals: _ArrivalProcess, tokens: int, rng: random.Random) -> str:
    nonce = f"{rng.getrandbits(64):016x}"
    shared_prefix = f"{arrivals.account.name} {arrivals.load.name} ".ljust(
        PREFIX_CHARS, "."
    )
    if rng.random() < sites.SHARED_PREFIX_FRACTION:
        return f"{shared_prefix} {nonce} tokens={tokens}"
    return f"{nonce} {shared_prefix} tokens={tokens}"
