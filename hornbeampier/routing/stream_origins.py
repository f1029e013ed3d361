"""Where streams began, for callers that take them up at any VM.

A VM records the streams that it begins. It also holds records of other VMs'
streams: their callers mostly come back because their own VM is gone.
"""

from collections.abc import Callable
import dataclasses
import hashlib
from typing import Protocol

from hornbeampier import clock as clocks
from hornbeampier.routing import domain

# Size of the digest of a request's id under which its stream is recorded.
KEY_BYTES = 8
# Maximum number of recorded streams; the oldest records are dropped first.
MAX_STREAMS = 20_000
# Maximum time for which a stream is recorded.
MAX_RETENTION_MS = 600_000.0


# Begins the version of streams that an unread process began. No entry names
# such a version, so VMs that do not know it refuse to go on with the streams.
UNREAD_PREFIX = "\0unread/"


@dataclasses.dataclass(frozen=True, slots=True)
class Origin:
    """A software version of a service, at which streams began.

    That of a process whose entry has not been read stands for itself.
    """

    service: str
    version: str

    @property
    def unread_process(self) -> domain.ProcessId | None:
        """The process if its entry had not been read, else None."""
        if not self.version.startswith(UNREAD_PREFIX):
            return None
        started_ms, _, endpoint_id = self.version.removeprefix(
            UNREAD_PREFIX
        ).partition("/")
        return endpoint_id, int(started_ms) if started_ms.isdecimal() else 0


@dataclasses.dataclass(frozen=True, slots=True)
class RecordedStream:
    """The record of a stream.

    Attributes:
        key: Digest of the id of the request that brought its first event.
        expires_ms: When its caller has given up, on the monotonic clock.
        process: The endpoint's process that began it, or by whose entry the
            origin is known; None if the VM that began the stream did not tell.
    """

    key: bytes
    origin: Origin
    expires_ms: float
    process: domain.ProcessId | None = None


def of_endpoint(endpoint: domain.Endpoint) -> Origin:
    """Returns the origin of streams that begin at an endpoint."""
    return Origin(endpoint.service, endpoint.software_version)


def of_unread_process(service: str, process: domain.ProcessId) -> Origin:
    """Returns the origin of streams at a process without a known entry."""
    endpoint_id, started_ms = process
    return Origin(service, f"{UNREAD_PREFIX}{started_ms}/{endpoint_id}")


def digest_id(request_id: str) -> bytes:
    """Returns the key under which a request's stream is recorded."""
    return hashlib.blake2b(request_id.encode(), digest_size=KEY_BYTES).digest()


class StreamOrigins:
    """The records of streams, by key."""

    def __init__(self, clock: clocks.Clock):
        self._clock = clock
        self._streams: dict[bytes, RecordedStream] = {}

    def __len__(self) -> int:
        return len(self._streams)

    def record(self, stream: RecordedStream) -> None:
        """Records a stream; one that is known keeps its origin."""
        if stream.key in self._streams:
            return
        self._streams[stream.key] = stream
        if len(self._streams) > MAX_STREAMS:
            del self._streams[next(iter(self._streams))]

    def find(self, key: bytes) -> Origin | None:
        """Returns where a stream began, or None if it is not recorded."""
        stream = self.find_stream(key)
        return None if stream is None else stream.origin

    def find_stream(self, key: bytes) -> RecordedStream | None:
        """Returns the record of a stream, or None."""
        stream = self._streams.get(key)
        if stream is None or stream.expires_ms <= self._clock.now():
            return None
        return stream

    def expire(self) -> None:
        """Drops the streams whose callers have given up."""
        now_ms = self._clock.now()
        expired = [
            key
            for key, stream in self._streams.items()
            if stream.expires_ms <= now_ms
        ]
        for key in expired:
            del self._streams[key]


def bound_retention(caller_timeout_ms: float) -> float:
    """Returns for how long a stream is recorded whose caller waits so long."""
    return min(caller_timeout_ms, MAX_RETENTION_MS)


@dataclasses.dataclass(frozen=True, slots=True)
class LookupResult:
    """What other VMs told about the origin of a stream.

    Attributes:
        origin: Where it began, or None if none of them knows.
        replies: Number of VMs that replied.
        is_complete: Whether all VMs that were asked replied, or enough of them.
        process: See `RecordedStream`.
    """

    origin: Origin | None = None
    replies: int = 0
    is_complete: bool = True
    process: domain.ProcessId | None = None


class Directory(Protocol):
    """The records of streams that other VMs hold."""

    def record(self, stream: RecordedStream, is_ambiguous: bool) -> None:
        """Records a stream that this VM is about to begin.

        Args:
            stream: The stream.
            is_ambiguous: Whether streams may begin at several origins, so that
                other VMs need the record.
        """
        ...

    def lookup(
        self, key: bytes | None, is_unambiguous: Callable[[], bool]
    ) -> LookupResult:
        """Asks other VMs where a stream began.

        Args:
            key: The stream; None to ask only which versions served.
            is_unambiguous: Whether streams have only one possible origin. It is
                asked after each reply, as replies tell of more origins.
        """
        ...

    def expire(self) -> None:
        """Drops the records of streams whose callers have given up."""
        ...

    def announce_all(self, is_needed: bool) -> None:
        """Sets whether other VMs need the records of all streams.

        They do while the store cannot confirm that one origin is possible.
        """
        ...


class LocalDirectory:
    """The directory of a VM without peers."""

    def __init__(self, origins: StreamOrigins):
        self._origins = origins

    def record(self, stream: RecordedStream, is_ambiguous: bool) -> None:
        """Records a stream on this VM."""
        del is_ambiguous
        self._origins.record(stream)

    def lookup(
        self, key: bytes | None, is_unambiguous: Callable[[], bool]
    ) -> LookupResult:
        """Returns that nobody was asked."""
        del key, is_unambiguous
        return LookupResult()

    def expire(self) -> None:
        """Drops the records of streams whose callers have given up."""
        self._origins.expire()

    def announce_all(self, is_needed: bool) -> None:
        """Does nothing, as no other VM needs records."""
        del is_needed
