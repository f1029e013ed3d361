"""Entry point of the program."""

# The standard library must be patched before anything opens a socket.
from gevent import monkey

monkey.patch_all()

import grpc.experimental.gevent  # noqa: E402

grpc.experimental.gevent.init_gevent()

from collections.abc import Sequence  # noqa: E402
import sys  # noqa: E402

import typer  # noqa: E402

from hornbeampier import cli  # noqa: E402
from hornbeampier import environment  # noqa: E402
from hornbeampier import errors  # noqa: E402
from hornbeampier import status  # noqa: E402

# The base of every error that typer reports about the arguments.
UsageError = typer.BadParameter.__base__


def main(
    args: Sequence[str] | None = None,
    env: environment.Environment | None = None,
) -> status.ExitStatus:
    """Runs one command and returns its exit code."""
    if args is None:
        args = sys.argv[1:]
    if env is None:
        env = environment.Environment()
    try:
        return cli.run(list(args), env)
    except UsageError as exc:
        env.log_error(exc.format_message(), f"see {env.program_name} --help")
        return status.ExitStatus.USAGE
    except errors.InvalidFileError as exc:
        for problem in exc.problems:
            env.log_error(problem)
        return status.ExitStatus.INVALID_FILE
    except errors.PlatformError as exc:
        env.log_error(str(exc), "check the platform's address and try again")
        return status.ExitStatus.UNREACHABLE
