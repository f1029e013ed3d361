"""Stand-in for the platform: the log service and the VM list over HTTP."""

import dataclasses
import re
import urllib.parse

import gevent
from gevent import event
import msgspec

from hornbeampier import clock
from hornbeampier import wsgi
from hornbeampier.coordination import records

HELD_STREAM_POLL_MS = 10.0
DEFAULT_RETENTION_MS = 7 * 24 * 3_600_000.0
MAX_RECORD_BYTES = 2 * 1024 * 1024
STREAM_PATH = re.compile(r"^/streams/([A-Za-z0-9_.-]+)/records$")
VM_PATH = re.compile(r"^/vms/([A-Za-z0-9_.-]+)$")


class Faults(msgspec.Struct):
    """Faults that a test switches on.

    Attributes:
        log_down: The log responds to every call with 503.
        vm_list_down: The VM list responds to every call with 503.
        lose_append_answers: How many of the next appends take effect and then
            lose their connection.
        hang_appends: How many of the next appends neither take effect nor get a
            response.
        vm_list_lag_ms: Age of the VM list that is served.
        faulty_stream: The stream whose appends have faults; empty for all.
        late_appends: How many of the next appends lose their connection and
            take effect only at the next `POST /land`.
        refuse_appends: The log responds to every append with 503.
        held_stream: Long polls of this stream wait until the fault ends.
    """

    log_down: bool = False
    vm_list_down: bool = False
    lose_append_answers: int = 0
    hang_appends: int = 0
    vm_list_lag_ms: float = 0
    faulty_stream: str = ""
    late_appends: int = 0
    refuse_appends: bool = False
    held_stream: str = ""


@dataclasses.dataclass
class _Stream:
    """The records of one stream that were not trimmed."""

    records: list[records.LogRecord]
    next: int = 0
    appended: event.Event = dataclasses.field(default_factory=event.Event)

    @property
    def first(self) -> int:
        return self.records[0].offset if self.records else self.next


class Platform:
    """The state behind the stand-in's HTTP interface."""

    def __init__(
        self,
        clock: clock.Clock,
        retention_ms: float = DEFAULT_RETENTION_MS,
    ):
        self._clock = clock
        self._retention_ms = retention_ms
        self._streams: dict[str, _Stream] = {}
        self._vms: dict[str, records.ListedVm] = {}
        self._vm_list_history: list[
            tuple[float, tuple[records.ListedVm, ...]]
        ] = []
        self._late_appends: list[tuple[str, str]] = []
        self.faults = Faults()

    def delay_append(self, name: str, data: str) -> None:
        """Delays an append until `apply_late_appends`."""
        self._late_appends.append((name, data))

    def apply_late_appends(self) -> None:
        """Applies the delayed appends."""
        late_appends, self._late_appends = self._late_appends, []
        for name, data in late_appends:
            self.append(name, data)

    def append(self, name: str, data: str) -> int:
        """Appends a record and returns its offset."""
        stream = self._stream(name)
        record = records.LogRecord(stream.next, self._clock.unix(), data)
        stream.records.append(record)
        stream.next += 1
        stream.appended.set()
        stream.appended.clear()
        return record.offset

    def read(
        self, name: str, offset: int, limit: int, wait_ms: float
    ) -> records.ReadResponse:
        """Reads up to `limit` records from `offset` on."""
        stream = self._stream(name)
        if offset >= stream.next and wait_ms > 0:
            stream.appended.wait(wait_ms / clock.MS_PER_SECOND)
        skip = max(0, offset - stream.first)
        selected = tuple(stream.records[skip : skip + limit])
        next_offset = (
            selected[-1].offset + 1 if selected else max(offset, stream.first)
        )
        return records.ReadResponse(stream.first, next_offset, selected)

    def stream_end(self, name: str) -> int:
        """Returns the offset that the next record of a stream gets."""
        return self._stream(name).next

    def trim(self, name: str, before: int) -> None:
        """Drops the records below the offset `before`."""
        stream = self._stream(name)
        stream.records = [r for r in stream.records if r.offset >= before]

    def put_vm(self, vm: records.ListedVm) -> None:
        """Adds a VM to the list or replaces it."""
        self._vms[vm.name] = vm
        self._record_vm_list()

    def remove_vm(self, name: str) -> None:
        """Removes a VM from the list."""
        self._vms.pop(name, None)
        self._record_vm_list()

    def list_vms(self) -> tuple[records.ListedVm, ...]:
        """Returns the list as it was `vm_list_lag_ms` ago."""
        as_of_ms = self._clock.now() - self.faults.vm_list_lag_ms
        past_lists = [
            vms for ms, vms in self._vm_list_history if ms <= as_of_ms
        ]
        return past_lists[-1] if past_lists else ()

    def _record_vm_list(self) -> None:
        self._vm_list_history.append(
            (self._clock.now(), tuple(self._vms.values()))
        )

    def _stream(self, name: str) -> _Stream:
        stream = self._streams.setdefault(name, _Stream([]))
        oldest_ms = self._clock.unix() - self._retention_ms
        while stream.records and stream.records[0].at_ms < oldest_ms:
            stream.records.pop(0)
        return stream


class PlatformApp:
    """The WSGI application in front of a `Platform`."""

    def __init__(self, platform: Platform):
        self._platform = platform

    def __call__(self, environ, start_response):
        """Serves one request."""
        path = environ["PATH_INFO"]
        if path == "/faults":
            return self._set_faults(environ, start_response)
        if path == "/land":
            self._platform.apply_late_appends()
            return wsgi.json_response(start_response, 200, {})
        if match := STREAM_PATH.match(path):
            return self._serve_log(match[1], environ, start_response)
        if path == "/vms" or path.startswith("/vms/"):
            return self._serve_vms(path, environ, start_response)
        if match := re.match(r"^/forget/([A-Za-z0-9_.-]+)/(\d+)$", path):
            self._platform.trim(match[1], int(match[2]))
            return wsgi.json_response(start_response, 200, {})
        return wsgi.json_response(start_response, 404, {})

    def _set_faults(self, environ, start_response):
        self._platform.faults = msgspec.json.decode(
            wsgi.read_body(environ), type=Faults
        )
        return wsgi.json_response(start_response, 200, {})

    def _serve_log(self, name, environ, start_response):
        if self._platform.faults.log_down:
            return wsgi.json_response(start_response, 503, {})
        if environ["REQUEST_METHOD"] == "POST":
            return self._append(name, environ, start_response)
        query = urllib.parse.parse_qs(environ["QUERY_STRING"])
        offset = int(query.get("from", ["0"])[0])
        limit = int(query.get("limit", ["500"])[0])
        wait_ms = float(query.get("wait_ms", ["0"])[0])
        response = self._platform.read(name, offset, limit, wait_ms)
        while wait_ms and self._platform.faults.held_stream == name:
            gevent.sleep(HELD_STREAM_POLL_MS / clock.MS_PER_SECOND)
        if self._platform.faults.log_down:
            return wsgi.json_response(start_response, 503, {})
        status = 410 if offset < response.first else 200
        return wsgi.json_response(start_response, status, response)

    def _append(self, name, environ, start_response):
        faults = self._platform.faults
        data = wsgi.read_body(environ).decode()
        if len(data) > MAX_RECORD_BYTES:
            return wsgi.json_response(start_response, 413, {})
        if faults.faulty_stream not in ("", name):
            faults = Faults()
        if faults.hang_appends > 0:
            faults.hang_appends -= 1
            event.Event().wait()
        if faults.late_appends > 0:
            faults.late_appends -= 1
            self._platform.delay_append(name, data)
            raise wsgi.DropConnectionError("append delayed by a fault")
        if faults.refuse_appends:
            return wsgi.json_response(start_response, 503, {})
        offset = self._platform.append(name, data)
        if faults.lose_append_answers > 0:
            faults.lose_append_answers -= 1
            raise wsgi.DropConnectionError("response dropped by a fault")
        return wsgi.json_response(
            start_response, 200, records.AppendResponse(offset)
        )

    def _serve_vms(self, path, environ, start_response):
        if self._platform.faults.vm_list_down:
            return wsgi.json_response(start_response, 503, {})
        method = environ["REQUEST_METHOD"]
        match = VM_PATH.match(path)
        if method == "GET":
            response = records.VmListResponse(self._platform.list_vms())
            return wsgi.json_response(start_response, 200, response)
        if method == "PUT" and match:
            body = wsgi.read_body(environ)
            vm = msgspec.json.decode(body, type=records.ListedVm)
            self._platform.put_vm(vm)
            return wsgi.json_response(start_response, 200, {})
        if method == "DELETE" and match:
            self._platform.remove_vm(match[1])
            return wsgi.json_response(start_response, 200, {})
        return wsgi.json_response(start_response, 405, {})
