"""Runs commands in the test's process with an injected environment."""

import dataclasses
import io
import itertools
import json
import pathlib
import random

from hornbeampier import core
from hornbeampier import environment

# Each run has a seed of its own, so its ids differ as between processes.
SEEDS = itertools.count(1)
EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"


@dataclasses.dataclass(frozen=True)
class CommandResult:
    """The exit code and output of a finished command."""

    exit_code: int
    stdout: str
    stderr: str

    @property
    def stderr_lines(self):
        """Returns the lines of stderr."""
        return self.stderr.splitlines()

    def json(self):
        return json.loads(self.stdout)


def run(*args, clock=None):
    """Runs one command and returns its result."""
    env = environment.Environment(
        stdin=io.StringIO(),
        stdout=io.StringIO(),
        stderr=io.StringIO(),
        rng=random.Random(next(SEEDS)),
    )
    if clock:
        env.clock = clock
    exit_code = core.main([str(arg) for arg in args], env)
    return CommandResult(
        exit_code, env.stdout.getvalue(), env.stderr.getvalue()
    )
