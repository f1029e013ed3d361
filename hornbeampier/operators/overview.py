"""The state of a deployment, collected from the reports of its VMs."""

import gevent
import msgspec

from hornbeampier import errors
from hornbeampier import http_client
from hornbeampier.coordination import records
from hornbeampier.operators import report

REPORT_TIMEOUT_MS = 2_000.0
# A healthy VM reads the log more often than this.
MAX_LOG_AGE_MS = 5_000.0


class VmOverview(msgspec.Struct, frozen=True):
    """One listed VM.

    Attributes:
        report: The VM's report, or None if it did not respond.
        behind: Whether another VM has a newer configuration in force.
    """

    name: str
    state: records.VmState
    report: report.VmReport | None
    behind: bool = False


class ClassOverview(msgspec.Struct, frozen=True):
    """One request class, summed over all VMs.

    Attributes:
        attainment: Fraction of served and refused requests that met their
            latency targets, or None if there were no such requests.
    """

    name: str
    waiting: int
    served: int
    refused: int
    cancelled: int
    attainment: float | None


class Overview(msgspec.Struct, frozen=True):
    """The state of a deployment."""

    vms: tuple[VmOverview, ...]
    classes: tuple[ClassOverview, ...]
    useful_tokens: int
    wasted_tokens: int


def collect(vms: tuple[records.ListedVm, ...]) -> Overview:
    """Fetches the reports of all VMs that run the router, concurrently."""
    router_vms = [vm for vm in vms if vm.runs_router]
    tasks = [gevent.spawn(_fetch_report, vm) for vm in router_vms]
    gevent.joinall(tasks)
    rows = _mark_behind([task.value for task in tasks])
    reports = [row.report for row in rows if row.report]
    return Overview(
        rows,
        tuple(_sum_classes(reports)),
        sum(r.useful_tokens for r in reports),
        sum(r.wasted_tokens for r in reports),
    )


def render_json(overview: Overview) -> str:
    """Returns the overview as JSON."""
    return msgspec.json.format(msgspec.json.encode(overview), indent=2).decode()


def render(overview: Overview) -> str:
    """Returns the overview as text tables."""
    lines = ["VM               STATE    READY  VERSION  OPEN"]
    lines += [_vm_line(row) for row in overview.vms]
    lines += ["", "CLASS            WAITING  SERVED  REFUSED  ATTAINMENT"]
    lines += [_class_line(row) for row in overview.classes]
    lines += ["", "ENDPOINT         STATES           IN FLIGHT"]
    lines += list(_endpoint_lines(overview))
    lines += ["", _goodput_line(overview)]
    return "\n".join(lines)


def _goodput_line(overview: Overview) -> str:
    """Summarizes goodput and wasted tokens."""
    served = sum(row.served for row in overview.classes)
    total = overview.useful_tokens + overview.wasted_tokens
    fraction = overview.wasted_tokens / total if total else 0.0
    return (
        f"goodput {served} answers, useful tokens {overview.useful_tokens}, "
        f"wasted tokens {overview.wasted_tokens} ({fraction:.1%})"
    )


def _mark_behind(rows: list[VmOverview]) -> tuple[VmOverview, ...]:
    newest = max((r.report.version for r in rows if r.report), default=0)
    return tuple(
        msgspec.structs.replace(
            row, behind=row.report is not None and row.report.version < newest
        )
        for row in rows
    )


def _fetch_report(vm: records.ListedVm) -> VmOverview:
    client = http_client.HttpClient(vm.host, vm.admin_port, REPORT_TIMEOUT_MS)
    try:
        status, body = client.call(
            http_client.OutgoingRequest("GET", "/report")
        )
        vm_report = msgspec.json.decode(body, type=report.VmReport)
    except (errors.AttemptError, *errors.DECODE_ERRORS):
        return VmOverview(vm.name, vm.state, None)
    finally:
        client.close()
    return VmOverview(vm.name, vm.state, vm_report if status == 200 else None)


def _sum_classes(reports: list[report.VmReport]):
    rows: dict[str, list[report.ClassRow]] = {}
    for vm_report in reports:
        for row in vm_report.classes:
            rows.setdefault(row.name, []).append(row)
    for name, class_rows in rows.items():
        served = sum(r.served for r in class_rows)
        refused = sum(r.refused for r in class_rows)
        on_time = sum(r.on_time for r in class_rows)
        offered = served + refused
        yield ClassOverview(
            name,
            sum(r.waiting for r in class_rows),
            served,
            refused,
            sum(r.cancelled for r in class_rows),
            on_time / offered if offered else None,
        )


def _vm_line(row: VmOverview) -> str:
    if row.report is None:
        return f"{row.name:<16} {row.state:<8} no answer"
    ready = "yes" if row.report.ready else "no"
    line = (
        f"{row.name:<16} {row.state:<8} {ready:<6} "
        f"{row.report.version:<8} {row.report.open_requests}"
    )
    return "  ".join([line, *_vm_notes(row)])


def _vm_notes(row: VmOverview) -> list[str]:
    """Returns what needs the attention of an operator."""
    notes = []
    if row.behind:
        notes.append("behind")
    if row.report.draining:
        notes.append("draining")
    age_ms = row.report.log_age_ms
    if age_ms is None:
        notes.append("log never read")
    elif age_ms > MAX_LOG_AGE_MS:
        notes.append(f"log not read for {age_ms / 1000:.0f} s")
    return notes


def _class_line(row: ClassOverview) -> str:
    fraction = "-" if row.attainment is None else f"{row.attainment:.1%}"
    return (
        f"{row.name:<16} {row.waiting:<8} {row.served:<7} "
        f"{row.refused:<8} {fraction}"
    )


def _endpoint_lines(overview: Overview):
    rows: dict[str, list[report.EndpointRow]] = {}
    for vm in overview.vms:
        for row in vm.report.endpoints if vm.report else ():
            rows.setdefault(row.name, []).append(row)
    for name, endpoint_rows in rows.items():
        states = "/".join(sorted({r.state for r in endpoint_rows}))
        total = sum(r.in_flight for r in endpoint_rows)
        yield f"{name:<16} {states:<16} {total}"
