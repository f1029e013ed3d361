"""The report of one VM, which `hornbeampier status` reads."""

import msgspec


class EndpointRow(msgspec.Struct, frozen=True):
    """One endpoint as a VM sees it."""

    name: str
    state: str
    in_flight: int
    slots: int


class ClassRow(msgspec.Struct, frozen=True):
    """One class on one VM."""

    name: str
    waiting: int
    served: int
    on_time: int
    refused: int
    cancelled: int


class VmReport(msgspec.Struct, frozen=True):
    """The state of one VM.

    Attributes:
        version: The configuration version in force, or -1.
        useful_tokens: Tokens of answers that were delivered whole.
        wasted_tokens: Tokens of answers that nobody received whole.
        log_age_ms: Time since the log was last read, or None before that.
    """

    vm: str
    availability_zone: str
    ready: bool
    draining: bool
    version: int
    open_requests: int
    endpoints: tuple[EndpointRow, ...]
    classes: tuple[ClassRow, ...]
    useful_tokens: int
    wasted_tokens: int
    hint_bytes: int
    log_age_ms: float | None = None
