"""Wire types of the endpoints."""

import msgspec

DONE_LINE = b"data: [DONE]"
DATA_PREFIX = b"data: "


class Delta(msgspec.Struct, frozen=True):
    """What a chunk adds; only text can be resumed at another engine."""

    content: str | None = None
    tool_calls: tuple[msgspec.Raw, ...] | None = None


class ChunkChoice(msgspec.Struct, frozen=True):
    """One choice of a chunk."""

    delta: Delta = Delta()
    finish_reason: str | None = None


class Chunk(msgspec.Struct, frozen=True):
    """One event of a streamed answer in OpenAI's chat format."""

    id: str
    choices: tuple[ChunkChoice, ...] = ()


class HeldModel(msgspec.Struct, frozen=True, order=True):
    """A version of a model that an engine holds or is to hold."""

    model: str
    version: str
    adapter: str = ""


class ModelOrder(msgspec.Struct, frozen=True):
    """Orders an engine to hold exactly these models.

    Attributes:
        fencing: Offset of the lease record of the VM that orders.
    """

    fencing: int
    models: tuple[HeldModel, ...]


class ModelState(msgspec.Struct, frozen=True):
    """What an engine holds.

    Attributes:
        wanted: The models of the last order that it took.
        loading: Whether it is still loading; it refuses requests meanwhile.
        fencing: Fencing number of the last order that it took.
    """

    models: tuple[HeldModel, ...] = ()
    wanted: tuple[HeldModel, ...] = ()
    loading: bool = False
    fencing: int = -1


class LoadReport(msgspec.Struct, frozen=True):
    """An endpoint's own report of its load.

    Attributes:
        running: Requests in execution.
        waiting: Requests accepted but not yet in execution.
        slots: Requests that it can execute at the same time.
        leaving: Whether it refuses new work.
        held: Models that it can run; None if it does not say.
        boot: Identifies the endpoint's process, or empty.
    """

    running: int
    waiting: int
    slots: int
    leaving: bool = False
    held: tuple[str, ...] | None = None
    boot: str = ""
