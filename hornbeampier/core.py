"""Entry point of the program."""

from collections.abc import Sequence
import sys

from hornbeampier import environment
from hornbeampier import errors
from hornbeampier import status

# The node imports no command-line libraries and uses gevent's own sockets
# only, because its memory and the time of a restart count on the users'
# platform.
NODE_COMMAND = "node"


def main(
    args: Sequence[str] | None = None,
    env: environment.Environment | None = None,
) -> status.ExitStatus:
    """Runs one command and returns its exit status."""
    if args is None:
        args = sys.argv[1:]
    if env is None:
        env = environment.Environment()
    if list(args) == [NODE_COMMAND]:
        from hornbeampier import node_process

        return node_process.main(env)
    return _run_command(args, env)


def _run_command(
    args: Sequence[str], env: environment.Environment
) -> status.ExitStatus:
    from hornbeampier import patched  # noqa: F401, I001

    import typer

    from hornbeampier import cli

    # The base class of all errors that typer raises for invalid arguments.
    usage_error = typer.BadParameter.__base__
    try:
        return cli.run(list(args), env)
    except usage_error as exc:
        env.print_error(exc.format_message(), f"see {env.program_name} --help")
        return status.ExitStatus.USAGE
    except errors.InvalidFileError as exc:
        for problem in exc.problems:
            env.print_error(problem)
        return status.ExitStatus.INVALID_FILE
    except errors.PlatformError as exc:
        env.print_error(str(exc), "check the platform's address and try again")
        return status.ExitStatus.UNREACHABLE
