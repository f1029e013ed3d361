"""Domain types: configuration, endpoints and prompts.

They do not depend on the formats of the platform.
"""

import dataclasses
import enum

# Id and start time of an endpoint's process, which keeps them at a new address.
ProcessId = tuple[str, int]

BITS_PER_BYTE = 8
# Bits transferred in one millisecond at 1 Mbit/s.
BITS_PER_MBPS_MS = 1_000.0


class RequestSemantics(enum.StrEnum):
    """How the requests of a route may be retried.

    Attributes:
        IDEMPOTENT: A request may run more than once.
        ONCE: A request may run at most once.
        STREAM: The response is a stream of events; it may be resumed at another
            endpoint if the route is resumable.
    """

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedService:
    """A service and its weight in a route's traffic split."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """How requests with one host and path prefix are handled.

    Attributes:
        timeout_ms: Maximum time to the end of the response.
        latency_target_ms: Time within which a response, or the first event of
            a stream, is on time.
        inter_event_target_ms: Time within which the next event of a stream is
            on time.
        tier: Urgency of the route's requests; 0 is the most urgent.
        max_attempts: Maximum number of endpoints that a request is sent to.
            Unreachable endpoints do not count.
        anonymous: Whether requests without a valid key are accepted.
        resumable: Whether an interrupted stream may be resumed at another
            endpoint.
    """

    name: str
    host: str
    path_prefix: str
    semantics: RequestSemantics
    traffic_split: tuple[WeightedService, ...]
    timeout_ms: float
    latency_target_ms: float
    inter_event_target_ms: float
    tier: int
    max_attempts: int
    anonymous: bool
    resumable: bool

    @property
    def services(self) -> set[str]:
        """The services that its requests may go to."""
        return {s.service for s in self.traffic_split if s.weight > 0}

    @property
    def idempotent(self) -> bool:
        """Whether a request may safely run more than once."""
        return self.semantics is RequestSemantics.IDEMPOTENT or (
            self.semantics is RequestSemantics.STREAM and self.resumable
        )


@dataclasses.dataclass(frozen=True, slots=True)
class EngineTraits:
    """Properties that all engines of a service have in common.

    Attributes:
        slots: Maximum number of requests that an engine runs at once.
        kv_tokens: Capacity of an engine's KV cache, in tokens.
        kv_bytes_per_token: Size of one token in the KV cache.
        link_mbps: Rate at which engines fetch cached segments from each other;
            0 if they cannot.
        tokens_per_event: Number of tokens in one event of a stream.
    """

    slots: int
    kv_tokens: int
    kv_bytes_per_token: float
    link_mbps: float
    tokens_per_event: float

    def kv_transfer_ms(self, tokens: float) -> float:
        """Returns the transfer time of cached tokens from another engine."""
        bits = tokens * self.kv_bytes_per_token * BITS_PER_BYTE
        return bits / (self.link_mbps * BITS_PER_MBPS_MS)


@dataclasses.dataclass(frozen=True, slots=True)
class Autoscale:
    """Bounds and prices of the endpoints that may be ordered for a service.

    Attributes:
        min_per_zone: Fewest endpoints in an availability zone, both kinds
            together.
        max_per_zone: Most endpoints in an availability zone, both kinds
            together.
        boot_ms: Time from an order until a new endpoint serves.
        spot_price: Price of a spot endpoint as a fraction of that of a lasting
            one; None if there are no spot endpoints.
        zone_prices: Price of a lasting endpoint by availability zone.
    """

    min_per_zone: int
    max_per_zone: int
    boot_ms: float
    spot_price: float | None
    zone_prices: dict[str, float]


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A group of endpoints that serve the same requests.

    Attributes:
        max_connections: Connections that an endpoint accepts in total.
        engine_traits: Traits of its engines; None for a plain service.
        autoscale: How many endpoints may be ordered; None if none may.
    """

    name: str
    health_path: str
    max_connections: int
    engine_traits: EngineTraits | None
    autoscale: Autoscale | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ClientAccount:
    """A client account, to which the API key of a caller belongs.

    Attributes:
        tier: Urgency of its requests, which takes precedence over the tier of
            the route; 0 is the most urgent. None ranks after all others.
    """

    name: str
    tier: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits on the size of callers' requests and on the time to send them."""

    header_bytes: int
    body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


@dataclasses.dataclass(frozen=True)
class Configuration:
    """One version of the operators' configuration.

    Attributes:
        accounts: Client accounts by API key; None if no key is required.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    accounts: dict[str, ClientAccount] | None
    limits: Limits


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """One incarnation of an endpoint.

    Attributes:
        leaving: Whether it is draining and takes no new requests.
        warmup_ms: How long the endpoint stays slow after its start.
        software_version: Version of the software that it runs; several may
            serve side by side.
        started_ms: Start time of the process in Unix ms, which distinguishes
            incarnations with the same id.
        sequence: Number of the entry among those that the process wrote;
            entries that differ only in it are equal.
        spot: Whether the platform may reclaim the endpoint at short notice.
        leaves_in_ms: Time from the entry until the endpoint is reclaimed; None
            if no reclaim was announced.
    """

    id: str
    service: str
    host: str
    port: int
    availability_zone: str
    slots: int
    leaving: bool
    warmup_ms: float
    started_ms: int
    software_version: str = ""
    sequence: int = dataclasses.field(default=0, compare=False)
    spot: bool = False
    leaves_in_ms: float | None = dataclasses.field(default=None, compare=False)

    @property
    def incarnation(self) -> tuple[str, int, str, int]:
        """Identifies the process; constant for its lifetime."""
        return (self.id, self.started_ms, self.host, self.port)

    @property
    def process_id(self) -> ProcessId:
        """Identifies the process, whatever its address."""
        return (self.id, self.started_ms)


@dataclasses.dataclass(frozen=True, slots=True)
class PromptSegment:
    """A run of tokens in a prompt; segments with equal ids are identical."""

    id: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Prompt:
    """The prompt of a generation request and the number of tokens to generate.

    Attributes:
        max_output_tokens: Maximum number of generated tokens.
        expected_output_tokens: The caller's estimate of the number of generated
            tokens, or None.
        segments: The segments in order; empty if the caller declared none.
    """

    model: str
    input_tokens: int
    max_output_tokens: int
    expected_output_tokens: int | None
    segments: tuple[PromptSegment, ...]

    @property
    def shared_segments(self) -> tuple[PromptSegment, ...]:
        """The segments that other prompts may share: all but the last."""
        return self.segments[:-1]
