"""Client and poller of the platform's VM list."""

from collections.abc import Callable

import msgspec
import structlog

from hornbeampier import application
from hornbeampier import clock
from hornbeampier import errors
from hornbeampier import http_client
from hornbeampier.coordination import records

VmListener = Callable[[tuple[records.ListedVm, ...]], None]


class VmListClient:
    """Reads the VM list over HTTP; see docs/platform.md."""

    def __init__(self, host: str, port: int, timeout_ms: float):
        self._client = http_client.HttpClient(host, port, timeout_ms)

    def read(self) -> tuple[records.ListedVm, ...]:
        """Returns the listed VMs.

        Raises:
            errors.PlatformError: The list could not be read.
        """
        try:
            status, body = self._client.call(
                http_client.OutgoingRequest("GET", "/vms")
            )
        except errors.AttemptError as exc:
            raise errors.PlatformError(str(exc)) from exc
        if status != 200:
            raise errors.PlatformError(
                f"the VM list responded with status {status}"
            )
        try:
            return msgspec.json.decode(body, type=records.VmListResponse).vms
        except errors.DECODE_ERRORS as exc:
            raise errors.PlatformError("unreadable VM list") from exc

    def close(self) -> None:
        """Closes idle connections."""
        self._client.close()


class VmListPoller(application.TaskComponent):
    """Polls the VM list and passes it to its listeners."""

    def __init__(
        self, client: VmListClient, clock: clock.Clock, interval_ms: float
    ):
        super().__init__()
        self._client = client
        self._clock = clock
        self._interval_ms = interval_ms
        self._log = structlog.get_logger(task="vm_list")
        self._listeners: list[VmListener] = []
        self.vms: tuple[records.ListedVm, ...] = ()

    def subscribe(self, listener: VmListener) -> None:
        """Calls `listener` with the list after each successful poll."""
        self._listeners.append(listener)

    def run(self) -> None:
        """Polls until killed; a failed poll leaves the list as it is."""
        while True:
            self.poll()
            self._clock.sleep(self._interval_ms)

    def poll(self) -> None:
        """Reads the list once."""
        try:
            self.vms = self._client.read()
        except errors.PlatformError as exc:
            self._log.warning("vm_list_unavailable", error=str(exc))
            return
        for listener in self._listeners:
            listener(self.vms)

    def stop(self) -> None:
        """Stops polling and closes the connection."""
        super().stop()
        self._client.close()
