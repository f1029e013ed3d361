"""The report of one VM, which `hornbeampier status` fetches."""

import msgspec


class EndpointRow(msgspec.Struct, frozen=True):
    """One endpoint as a VM sees it."""

    name: str
    state: str
    in_flight: int
    slots: int


class ClassRow(msgspec.Struct, frozen=True):
    """One request class on one VM."""

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
        useful_tokens: Tokens of responses that were delivered completely.
        wasted_tokens: Tokens of all other responses.
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
