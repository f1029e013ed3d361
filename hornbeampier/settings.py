"""The settings of one VM, read from a TOML file."""

import pathlib
from typing import Annotated
from typing import Literal

import pydantic

from hornbeampier import memory_budget
from hornbeampier import toml
from hornbeampier import vm_memory

Port = Annotated[int, pydantic.Field(ge=0, le=65535)]
PositiveMs = Annotated[float, pydantic.Field(gt=0)]
PROGRAM = vm_memory.ProgramMemory(
    idle_bytes=72 * memory_budget.MIB, largest_bytes=96 * memory_budget.MIB
)
LogLevel = Literal["debug", "info", "warning", "error"]


class _Section(pydantic.BaseModel):
    """An immutable section of the settings that rejects unknown keys."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class ListenAddress(_Section):
    """The address of a listener; port 0 lets the system choose a port."""

    host: str = "127.0.0.1"
    port: Port = 0


class CallerSettings(_Section):
    """The listener for callers, with its limits.

    Attributes:
        read_timeout_ms: Maximum time to receive the body of a request.
        memory_mb: Memory that the process may use, in MiB. What it does not
            need for itself bounds what it holds for callers.
    """

    host: str = "127.0.0.1"
    port: Port = 8080
    max_connections: int = pydantic.Field(default=2000, gt=0)
    max_body_bytes: int = pydantic.Field(default=1_048_576, gt=0)
    read_timeout_ms: PositiveMs = 10_000
    memory_mb: int = pydantic.Field(default=256, gt=0)

    @pydantic.model_validator(mode="after")
    def _check_memory(self) -> "CallerSettings":
        _ = self.held_bytes
        return self

    @property
    def held_bytes(self) -> int:
        """What the process may hold for callers.

        Raises:
            ValueError: The memory does not suffice for the process.
        """
        return vm_memory.for_vm(
            self.memory_mb * memory_budget.MIB,
            PROGRAM,
            self.max_body_bytes,
        )


class PlatformSettings(_Section):
    """The platform's log service and VM list.

    Attributes:
        timeout_ms: Timeout of a call to either of them, and of a claim.
        vm_list_interval_ms: Time between two reads of the VM list.
        snapshot_age_ms: Age of the log's newest snapshot of the configuration
            at which the VM appends another.
    """

    log_host: str = "127.0.0.1"
    log_port: Port
    vm_list_host: str = "127.0.0.1"
    vm_list_port: Port
    timeout_ms: PositiveMs = 2_000
    vm_list_interval_ms: PositiveMs = 1_000
    snapshot_age_ms: PositiveMs = 6 * 3_600_000


class PeerSettings(_Section):
    """The messages among the peers and the listeners for them.

    Attributes:
        hint_interval_ms: Time between two hints to each peer.
    """

    host: str = "127.0.0.1"
    hint_port: Port = 0
    catch_up_port: Port = 0
    hint_interval_ms: PositiveMs = 500


class DrainSettings(_Section):
    """The time limits of a graceful shutdown.

    Attributes:
        notice_ms: Time during which the VM reports that it is not ready and
            still accepts requests.
        timeout_ms: Maximum time to finish the open requests.
    """

    notice_ms: PositiveMs = 3_000
    timeout_ms: PositiveMs = 120_000


class LogSettings(_Section):
    """The level and format of the process's log lines."""

    level: LogLevel = "info"
    json_lines: bool = True


class VmSettings(_Section):
    """All settings of one entry VM."""

    vm: str = pydantic.Field(min_length=1)
    availability_zone: str = pydantic.Field(min_length=1)
    callers: CallerSettings = CallerSettings()
    admin: ListenAddress = ListenAddress()
    platform: PlatformSettings
    peers: PeerSettings = PeerSettings()
    drain: DrainSettings = DrainSettings()
    logs: LogSettings = LogSettings()


def load(path: pathlib.Path) -> VmSettings:
    """Reads and validates a settings file.

    Raises:
        errors.InvalidFileError: The file is unreadable or invalid.
    """
    return toml.load(path, VmSettings)
