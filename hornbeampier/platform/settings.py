"""The settings file that the platform writes for each node."""

import dataclasses
import math
import pathlib

import yaml

from hornbeampier import clock as clocks
from hornbeampier import errors
from hornbeampier import memory_budget
from hornbeampier.platform import names

DEFAULT_MEMORY_MB = 128


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclasses.dataclass(frozen=True, slots=True)
class DutySettings:
    """Duties that one VM at a time fulfils through the platform's API.

    Attributes:
        api: Address of the platform's API.
        names: The duties, from the platform's list; unknown ones are left out.
        calls_per_s: Calls that the API accepts from all VMs together.
        requires_fence: Whether the API refuses calls with an older token.
        lease_ms: The lease time, within which holders must not alternate.
        usage_window_ms: Length of the windows of usage reports.
        usage_due_ms: Time after the end of a window when its report is due.
    """

    api: Address
    names: tuple[str, ...]
    calls_per_s: float
    requires_fence: bool
    lease_ms: float
    usage_window_ms: float
    usage_due_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class NodeSettings:
    """The settings of a node.

    Attributes:
        vm: The name of this VM.
        host: The IP address of this VM.
        availability_zone: Where this VM is; empty if the platform does not say.
        callers: Where callers connect.
        readiness: Where the load balancer probes readiness.
        control: Address of this VM from which peers fetch records, or None. The
            IP address differs on each VM; the port is the same on all of them.
        seeds: `control` addresses of some VMs; some of them may be down.
        peer_port: UDP port of gossip between VMs, the same on all of them.
        origin_port: UDP port of records of streams, the same on all VMs.
        store: Address of the platform's store.
        heartbeat_ms: Interval at which endpoints write their entries.
        bootstrap: Whether this is the first start of the deployment.
        max_open_files: Limit of open file descriptors.
        memory_bytes: Memory of the VM that the process may use.
        grace_ms: Time from the signal to stop until the process is killed.
        retry_ratio: Retries allowed per request of a service.
        retry_extra: Further retries allowed to all VMs together.
        retry_window_ms: Sliding window in which requests and retries are
            counted.
        duty_port: UDP port for the exchange of usage, the same on all VMs; 0
            if there is no duty.
        duties: Duties of one VM at a time; None if there are none.
    """

    vm: str
    host: str
    availability_zone: str
    callers: Address
    readiness: Address
    control: Address | None
    seeds: tuple[Address, ...]
    peer_port: int
    origin_port: int
    store: Address
    heartbeat_ms: float
    bootstrap: bool
    max_open_files: int
    memory_bytes: int
    grace_ms: float
    retry_ratio: float
    retry_extra: float
    retry_window_ms: float
    duty_port: int = 0
    duties: DutySettings | None = None


def load(path: pathlib.Path) -> NodeSettings:
    """Reads a settings file.

    Raises:
        errors.InvalidFileError: The file cannot be read, a key is missing or
            a value is invalid.
    """
    try:
        fields = yaml.load(path.read_text(), Loader=_loader())
        return _decode(fields)
    except (OSError, yaml.YAMLError) as exc:
        raise errors.InvalidFileError((f"{path}: {exc}",)) from exc
    except KeyError as exc:
        raise errors.InvalidFileError(
            (f"{path}: key {exc} is missing",)
        ) from exc
    except (TypeError, ValueError) as exc:
        raise errors.InvalidFileError((f"{path}: {exc}",)) from exc


def _loader():
    return getattr(yaml, "CSafeLoader", yaml.SafeLoader)


def _decode(fields: dict) -> NodeSettings:
    listen = fields["listen"]
    bounds = fields["bounds"]
    control = listen.get("control")
    peer_port, origin_port = _first_ports(fields["portRange"])
    duties = _decode_duties(fields)
    return NodeSettings(
        vm=str(fields["nodeId"]),
        host=str(fields["ip"]),
        availability_zone=str(fields.get("zone") or ""),
        callers=parse_address(listen["front"]),
        readiness=parse_address(listen["readyAddr"]),
        control=parse_address(control) if control else None,
        seeds=tuple(parse_address(a) for a in fields.get("seeds") or ()),
        peer_port=peer_port,
        origin_port=origin_port,
        store=parse_address(fields["platform"]["address"]),
        heartbeat_ms=float(fields["heartbeatMs"]),
        bootstrap=bool(fields.get("bootstrap")),
        max_open_files=int(fields["limits"]["maxFds"]),
        memory_bytes=_memory_bytes(fields["limits"]),
        grace_ms=float(bounds["graceS"]) * clocks.MS_PER_SECOND,
        retry_ratio=float(bounds["retryBudgetRatio"]),
        retry_extra=float(bounds["budgetExtra"]),
        retry_window_ms=float(bounds["budgetWindowS"]) * clocks.MS_PER_SECOND,
        duty_port=origin_port + 1 if duties is not None else 0,
        duties=duties,
    )


def _decode_duties(fields: dict) -> DutySettings | None:
    """Returns the duties that the settings name, or None without any."""
    api = fields.get("cloudApi") or {}
    duties = tuple(d for d in api.get("duties") or () if d in names.DUTIES)
    if not duties:
        return None
    _, last_port = (int(port) for port in fields["portRange"])
    if last_port < _first_ports(fields["portRange"])[1] + 1:
        raise ValueError("portRange needs three ports for duties")
    bounds = fields["bounds"]
    return DutySettings(
        api=parse_address(api["address"]),
        names=duties,
        calls_per_s=_positive("dutyPerS", api.get("dutyPerS", 1.0)),
        requires_fence=bool(bounds.get("requireFence")),
        lease_ms=_positive("leaseMs", bounds["leaseMs"]),
        usage_window_ms=_seconds("reportWindowS", bounds),
        usage_due_ms=_seconds("usageLateS", bounds),
    )


def _memory_bytes(limits: dict) -> int:
    """Returns the memory of the VM, which older platforms do not give."""
    megabytes = limits.get(names.MEMORY_LIMIT, DEFAULT_MEMORY_MB)
    return int(_positive(names.MEMORY_LIMIT, megabytes) * memory_budget.MIB)


def _seconds(key: str, bounds: dict) -> float:
    """Returns a time in ms that a bound gives in seconds."""
    return _positive(key, bounds[key]) * clocks.MS_PER_SECOND


def _positive(key: str, value: object) -> float:
    number = float(value)
    if not 0 < number < math.inf:
        raise ValueError(f"{key} must be positive, not {value!r}")
    return number


def _first_ports(port_range: list) -> tuple[int, int]:
    """Returns the first two ports of a range that is given by its ends."""
    first, last = (int(port) for port in port_range)
    if last <= first:
        raise ValueError("portRange needs two ports")
    return first, first + 1


def parse_address(text: str) -> Address:
    """Parses IP:PORT; raises ValueError if the text is malformed."""
    host, separator, port = str(text).rpartition(":")
    if not separator or not host:
        raise ValueError(f"{text!r} is not IP:PORT")
    return Address(host, int(port))
