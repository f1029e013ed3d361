"""Runs one VM's router with a baseline scheduler."""

# Patches the standard library before any other module imports it.
from hornbeampier import patched  # isort: skip

import functools
import pathlib
import sys
from typing import Annotated

import typer

from bench import baselines
from hornbeampier import commands
from hornbeampier import daemon
from hornbeampier import environment


class BaselineDaemon(daemon.VmDaemon):
    """A VM's daemon with a baseline scheduler."""

    def __init__(self, chooser: baselines.Chooser, env, cfg):
        self._chooser = chooser
        super().__init__(env, cfg)

    def _make_scheduler(self) -> baselines.FifoScheduler:
        return baselines.FifoScheduler(
            self._endpoints, self._chooser, self._env.clock
        )


def main(
    policy: Annotated[str, typer.Option(help="Name of a baseline.")],
    settings: Annotated[pathlib.Path, typer.Option(help="TOML file.")],
) -> None:
    """Runs one VM until SIGTERM or SIGINT."""
    chooser = baselines.CHOOSERS[policy]()
    make_daemon = functools.partial(BaselineDaemon, chooser)
    sys.exit(commands.serve(environment.Environment(), settings, make_daemon))


if __name__ == "__main__":
    del patched
    typer.run(main)
