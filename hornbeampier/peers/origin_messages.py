"""Wire types of the records of streams; fields are encoded by position."""

from collections.abc import Iterable
import math

import msgspec

from hornbeampier import bounds
from hornbeampier import errors
from hornbeampier.routing import origin_history
from hornbeampier.routing import route_history
from hornbeampier.routing import stream_origins

# Maximum number of streams in one datagram.
MAX_STREAMS = 20
# Maximum number of rows of earlier routes in a reply. A VM with more of them
# proves nothing to others.
MAX_ROWS = 200


class StreamEntry(msgspec.Struct, array_like=True, frozen=True):
    """A stream, by the digest of the request that brought its first event.

    Attributes:
        remaining_ms: Time until its caller gives up.
        process: See `stream_origins.RecordedStream`; None from VMs whose
            release lacks the field.
    """

    key: bounds.Digest
    remaining_ms: bounds.Integer
    process: tuple[str, bounds.Number] | None = None


class OriginEntry(msgspec.Struct, array_like=True, frozen=True):
    """A software version of a service."""

    service: str
    version: str


class StreamsOfOrigin(msgspec.Struct, array_like=True, frozen=True):
    """Streams that began at one software version."""

    origin: OriginEntry
    streams: tuple[StreamEntry, ...]


class OriginAge(msgspec.Struct, array_like=True, frozen=True):
    """A version at which streams may have begun.

    Attributes:
        age_ms: Time since it served last; 0 if it does.
    """

    origin: OriginEntry
    age_ms: bounds.Integer


class RouteRow(msgspec.Struct, array_like=True, frozen=True):
    """A route of an earlier configuration.

    Attributes:
        services: Where its streams went; None if there was no such route.
    """

    host: str
    path_prefix: str
    services: tuple[str, ...] | None


class EarlierRoutes(msgspec.Struct, array_like=True, frozen=True):
    """The routes that differed in an earlier configuration.

    Attributes:
        age_ms: Time since it was in force.
    """

    rows: tuple[RouteRow, ...]
    age_ms: bounds.Count


class RouteReport(msgspec.Struct, array_like=True, frozen=True):
    """What a VM knows of earlier routes.

    Attributes:
        version: The configuration in force, from which `earlier` differ.
        covered_ms: Time up to now in which no other configuration was in force.
        longest_ms: For how long streams last, by the routes that it knows.
    """

    version: bounds.Integer
    covered_ms: bounds.Count
    longest_ms: bounds.Count
    earlier: tuple[EarlierRoutes, ...]


class Announcement(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """Records of streams, for a VM that is to hold them."""

    groups: tuple[StreamsOfOrigin, ...]


class Lookup(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """Asks a VM where a stream began.

    Attributes:
        number: Repeated in the reply.
        key: The stream; None to ask only for the versions that served.
    """

    number: int
    key: bounds.Digest | None


class LookupReply(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """The reply to a `Lookup`.

    Attributes:
        origin: Where the stream began; None if the VM does not know.
        ages: All versions at which streams may have begun, as the VM knows.
        covered_ms: Time up to now in which no other version served; 0 from VMs
            whose release lacks the field.
        routes: None from VMs whose release lacks the field.
        process: That of the stream's record; None from VMs whose release lacks
            the field.
    """

    number: int
    origin: OriginEntry | None
    ages: tuple[OriginAge, ...]
    covered_ms: bounds.Count = 0
    routes: RouteReport | None = None
    process: tuple[str, bounds.Number] | None = None


Message = Announcement | Lookup | LookupReply
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Returns a message as a datagram."""
    return _encoder.encode(message)


def decode(data: bytes) -> Message:
    """Returns the message in a datagram.

    Raises:
        errors.PeerError: The datagram is not a valid message.
    """
    try:
        return _decoder.decode(data)
    except errors.DECODE_ERRORS as exc:
        raise errors.PeerError(f"invalid datagram on origins: {exc}") from exc


def to_entry(origin: stream_origins.Origin) -> OriginEntry:
    """Returns the wire type of an origin."""
    return OriginEntry(origin.service, origin.version)


def of_entry(entry: OriginEntry) -> stream_origins.Origin:
    """Returns the origin in an entry."""
    return stream_origins.Origin(entry.service, entry.version)


def to_ages(ages_ms: origin_history.OriginAges) -> tuple[OriginAge, ...]:
    """Returns the wire type of the ages of origins."""
    return tuple(
        OriginAge(to_entry(origin), round(age_ms))
        for origin, age_ms in ages_ms.items()
    )


def of_ages(ages: Iterable[OriginAge]) -> origin_history.OriginAges:
    """Returns the ages of origins; one that is negative counts as 0."""
    return {of_entry(age.origin): max(0.0, age.age_ms) for age in ages}


def to_covered(covered_ms: float) -> int:
    """Returns a covered time; none needs more than records are retained."""
    return int(min(covered_ms, stream_origins.MAX_RETENTION_MS))


def to_routes(report: route_history.RouteReport) -> RouteReport:
    """Returns the wire type of what a VM knows of earlier routes."""
    retained_ms = (
        stream_origins.MAX_RETENTION_MS + route_history.CONFIGURATION_LAG_MS
    )
    covered_ms = int(min(report.covered_ms, retained_ms))
    longest_ms = math.ceil(report.longest_ms)
    if sum(len(e.rows) for e in report.earlier) > MAX_ROWS:
        return RouteReport(report.version, 0, longest_ms, ())
    return RouteReport(
        report.version,
        covered_ms,
        longest_ms,
        tuple(
            EarlierRoutes(_to_rows(earlier.rows), int(earlier.age_ms))
            for earlier in report.earlier
        ),
    )


def of_routes(report: RouteReport) -> route_history.RouteReport:
    """Returns what a VM knows of earlier routes; times are not negative."""
    return route_history.RouteReport(
        report.version,
        max(0.0, report.covered_ms),
        max(0.0, report.longest_ms),
        tuple(
            route_history.EarlierRoutes(
                _of_rows(earlier.rows), max(0.0, earlier.age_ms)
            )
            for earlier in report.earlier
        ),
    )


def _to_rows(rows: route_history.Rows) -> tuple[RouteRow, ...]:
    return tuple(
        RouteRow(host, prefix, None if services is None else tuple(services))
        for (host, prefix), services in rows.items()
    )


def _of_rows(rows: tuple[RouteRow, ...]) -> route_history.Rows:
    return {
        (row.host, row.path_prefix): (
            None if row.services is None else frozenset(row.services)
        )
        for row in rows
    }


def to_announcements(
    streams: list[stream_origins.RecordedStream], now_ms: float
) -> list[Announcement]:
    """Returns the messages that announce some streams to one VM."""
    return [
        _to_announcement(streams[start : start + MAX_STREAMS], now_ms)
        for start in range(0, len(streams), MAX_STREAMS)
    ]


def _to_announcement(
    streams: list[stream_origins.RecordedStream], now_ms: float
) -> Announcement:
    entries: dict[stream_origins.Origin, list[StreamEntry]] = {}
    for stream in streams:
        remaining_ms = max(0, round(stream.expires_ms - now_ms))
        entry = StreamEntry(stream.key, remaining_ms, stream.process)
        entries.setdefault(stream.origin, []).append(entry)
    return Announcement(
        tuple(
            StreamsOfOrigin(to_entry(origin), tuple(group))
            for origin, group in entries.items()
        )
    )
