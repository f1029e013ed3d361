"""Messages that endpoints send."""

import msgspec

DONE_LINE = b"data: [DONE]"
DATA_PREFIX = b"data: "


class Delta(msgspec.Struct, frozen=True):
    """What a chunk adds to the response.

    A response with tool calls cannot be resumed at another engine.
    """

    content: str | None = None
    tool_calls: tuple[msgspec.Raw, ...] | None = None


class ChunkChoice(msgspec.Struct, frozen=True):
    """One choice of a chunk."""

    delta: Delta = Delta()
    finish_reason: str | None = None


class Chunk(msgspec.Struct, frozen=True):
    """One event of a streamed response in OpenAI's chat format."""

    id: str
    choices: tuple[ChunkChoice, ...] = ()


class LoadReport(msgspec.Struct, frozen=True):
    """An endpoint's own report of its load.

    Attributes:
        running: Number of requests in execution.
        waiting: Number of requests accepted but not yet in execution.
        slots: Number of requests that it can execute at the same time.
        leaving: Whether it declines new requests.
        boot: Identifies the endpoint's process, so that a restart is noticed;
            empty if the endpoint reports none.
        software_version: Version of the software that it runs; empty if it
            reports none.
    """

    running: int
    waiting: int
    slots: int
    leaving: bool = False
    boot: str = ""
    software_version: str = ""
