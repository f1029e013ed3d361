"""What operators declare and endpoints announce, in the project's own words."""

import dataclasses
import enum

BITS_PER_BYTE = 8
# Bits that a rate of 1 Mbit/s carries in a millisecond.
BITS_PER_MBPS_MS = 1_000.0


class Repeat(enum.StrEnum):
    """What may be repeated of a route's requests."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """A service's part of a route's requests."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """How the requests of one host and path prefix are handled.

    Attributes:
        max_attempts: Most endpoints that one request may be sent to.
        timeout_ms: Longest time until the request has its final answer.
        target_ms: Time to the answer, or to a stream's first event, that
            counts as on time.
        pause_target_ms: Longest pause between events that counts as on time.
        tier: Rank of the route's requests; 0 is the most urgent.
        resumable: Whether a broken stream may go on at another endpoint.
    """

    name: str
    host: str
    path_prefix: str
    repeat: Repeat
    shares: tuple[Share, ...]
    timeout_ms: float
    target_ms: float
    pause_target_ms: float
    tier: int
    max_attempts: int
    anonymous: bool
    resumable: bool

    @property
    def idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self.repeat is Repeat.IDEMPOTENT or (
            self.repeat is Repeat.STREAM and self.resumable
        )


@dataclasses.dataclass(frozen=True, slots=True)
class EngineTraits:
    """What the engines of a model service have in common.

    Attributes:
        kv_tokens: Tokens that fit into an engine's KV cache.
        kv_bytes_per_token: Size of a token in the KV cache.
        link_mbps: Rate at which engines fetch cached parts from each other;
            0 if they cannot.
        tokens_per_event: Tokens that one event of a stream holds.
    """

    slots: int
    kv_tokens: int
    kv_bytes_per_token: float
    link_mbps: float
    tokens_per_event: float

    def fetch_ms(self, tokens: float) -> float:
        """Returns the time to fetch cached tokens from another engine."""
        bits = tokens * self.kv_bytes_per_token * BITS_PER_BYTE
        return bits / (self.link_mbps * BITS_PER_MBPS_MS)


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A group of endpoints that serve the same requests.

    Attributes:
        max_connections: Connections that an endpoint accepts from all callers.
        engine: Set for services whose endpoints are model engines.
    """

    name: str
    health_path: str
    max_connections: int
    engine: EngineTraits | None


@dataclasses.dataclass(frozen=True, slots=True)
class ClientAccount:
    """A client account; its tier, if set, replaces that of the route."""

    name: str
    tier: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Bounds on what a caller may send and how long it may take."""

    header_bytes: int
    body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


@dataclasses.dataclass(frozen=True)
class Configuration:
    """One version of all that operators declare.

    Attributes:
        accounts: Client accounts by key; None if no keys are asked for.
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
        started_ms: Start of the process, Unix ms; tells incarnations with one
            id apart.
        cold_ms: How long the endpoint stays slow after its start.
    """

    id: str
    service: str
    host: str
    port: int
    availability_zone: str
    slots: int
    leaving: bool
    cold_ms: float
    started_ms: int

    @property
    def incarnation(self) -> tuple[str, int, str, int]:
        """What stays the same as long as the process lives."""
        return (self.id, self.started_ms, self.host, self.port)


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt; equal ids mean equal tokens."""

    id: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Prompt:
    """The size of a generation and the parts of its prompt, in order.

    Attributes:
        output_tokens: Most tokens that may be generated.
        expected_tokens: The caller's estimate of the tokens generated, or None.
    """

    model: str
    input_tokens: int
    output_tokens: int
    expected_tokens: int | None
    parts: tuple[PromptPart, ...]

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """The parts that other requests may share."""
        return self.parts[:-1]
