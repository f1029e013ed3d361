"""The process's inputs and outputs, injectable for tests."""

from collections.abc import Mapping
import dataclasses
import os
import pathlib
import random
import sys
from typing import TextIO

from hornbeampier import clock as clocks

CONFIG_DIR_VARIABLE = "HORNBEAMPIER_CONFIG_DIR"
ID_BITS = 96


def _default_config_dir() -> pathlib.Path:
    """Returns the directory of the user's default settings."""
    override = os.environ.get(CONFIG_DIR_VARIABLE)
    if override:
        return pathlib.Path(override)
    return pathlib.Path.home() / ".config" / "hornbeampier"


@dataclasses.dataclass
class Environment:
    """What a command reads from and writes to its process.

    Attributes:
        variables: The environment variables of the process.
    """

    stdin: TextIO = dataclasses.field(default_factory=lambda: sys.stdin)
    stdout: TextIO = dataclasses.field(default_factory=lambda: sys.stdout)
    stderr: TextIO = dataclasses.field(default_factory=lambda: sys.stderr)
    clock: clocks.Clock = dataclasses.field(default_factory=clocks.SystemClock)
    rng: random.Random = dataclasses.field(default_factory=random.SystemRandom)
    config_dir: pathlib.Path = dataclasses.field(
        default_factory=_default_config_dir
    )
    variables: Mapping[str, str] = dataclasses.field(
        default_factory=lambda: os.environ
    )
    program_name: str = "hornbeampier"
    program_path: str = dataclasses.field(default_factory=lambda: sys.argv[0])

    def new_id(self, prefix: str) -> str:
        """Returns a random identifier; a collision is improbable."""
        return f"{prefix}-{self.rng.getrandbits(ID_BITS):024x}"

    def print_error(self, message: str, hint: str = "") -> None:
        """Prints `PROGRAM: error: MESSAGE: HINT` to stderr."""
        text = f"{self.program_name}: error: {message}"
        if hint:
            text += f": {hint}"
        print(text, file=self.stderr)
