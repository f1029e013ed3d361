"""Runs the program in this process with a swapped environment."""

import dataclasses
import io
import itertools
import json
import pathlib
import random

from hornbeampier import core
from hornbeampier import environment

# Each run draws other ids, as separate processes do.
SEEDS = itertools.count(1)
EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"


@dataclasses.dataclass(frozen=True)
class ProgramResult:
    """What a command left behind."""

    exit_code: int
    stdout: str
    stderr: str

    @property
    def errors(self):
        """The lines of stderr."""
        return self.stderr.splitlines()

    def json(self):
        return json.loads(self.stdout)


def run(*args, clock=None):
    """Runs one command; returns its exit code and output."""
    env = environment.Environment(
        stdin=io.StringIO(),
        stdout=io.StringIO(),
        stderr=io.StringIO(),
        rng=random.Random(next(SEEDS)),
    )
    if clock:
        env.clock = clock
    code = core.main([str(arg) for arg in args], env)
    return ProgramResult(code, env.stdout.getvalue(), env.stderr.getvalue())
