"""Command-line interface; `commands` implements each command."""

import pathlib
from typing import Annotated

import typer

from hornbeampier import commands
from hornbeampier import environment
from hornbeampier import status

app = typer.Typer(
    name="hornbeampier",
    help="Routes language-model traffic with service levels and priorities.",
    add_completion=False,
    no_args_is_help=True,
    rich_markup_mode=None,
)
standin_app = typer.Typer(
    help="Runs a stand-in for an external system, for trials and tests.",
    no_args_is_help=True,
    rich_markup_mode=None,
)
app.add_typer(standin_app, name="standin")

FilePath = Annotated[pathlib.Path, typer.Argument(help="A TOML file.")]
Host = Annotated[str, typer.Option(help="IP address to listen on.")]
Port = Annotated[int, typer.Option(help="Port; 0 chooses a free one.")]
LogAddress = Annotated[
    str, typer.Option("--log", help="HOST:PORT of the platform's log service.")
]
VmListAddress = Annotated[
    str, typer.Option("--vm-list", help="HOST:PORT of the platform's VM list.")
]


def run(args: list[str], env: environment.Environment) -> status.ExitStatus:
    """Parses `args`, runs the command and returns its exit status."""
    command = typer.main.get_command(app)
    result = command.main(
        args,
        prog_name=env.program_name,
        standalone_mode=False,
        obj=env,
    )
    return status.ExitStatus(result or 0)


@app.command()
def serve(
    ctx: typer.Context,
    settings: Annotated[
        pathlib.Path, typer.Option(help="Settings of this VM, a TOML file.")
    ],
) -> status.ExitStatus:
    """Runs the router of one entry VM until SIGTERM or SIGINT."""
    return commands.serve(ctx.obj, settings)


@app.command()
def dev(
    ctx: typer.Context,
    port: Annotated[int, typer.Option(help="Port for callers.")] = 8080,
) -> status.ExitStatus:
    """Runs a complete deployment with stand-ins in one process."""
    return commands.dev(ctx.obj, port)


@app.command()
def check(
    ctx: typer.Context,
    files: Annotated[list[pathlib.Path], typer.Argument(help="TOML files.")],
) -> status.ExitStatus:
    """Validates configuration files and lists every problem."""
    return commands.check(ctx.obj, files)


@app.command()
def explain(
    ctx: typer.Context,
    request_id: Annotated[str, typer.Argument(help="The request's id.")],
    files: Annotated[
        list[pathlib.Path] | None,
        typer.Argument(help="Log files; by default standard input."),
    ] = None,
) -> status.ExitStatus:
    """Shows the history of one request from the logs of the VMs."""
    return commands.explain(ctx.obj, request_id, files or [])


@app.command()
def publish(
    ctx: typer.Context,
    file: FilePath,
    log: LogAddress = "127.0.0.1:9001",
    base: Annotated[
        int | None,
        typer.Option(help="Version to replace; by default the newest."),
    ] = None,
) -> status.ExitStatus:
    """Publishes a configuration file and reports the outcome."""
    return commands.publish(ctx.obj, file, log, base)


@app.command("publish-status")
def publish_status(
    ctx: typer.Context,
    publish_id: Annotated[str, typer.Argument(help="Id from `publish`.")],
    log: LogAddress = "127.0.0.1:9001",
) -> status.ExitStatus:
    """Reports the outcome of an earlier publish."""
    return commands.publish_status(ctx.obj, publish_id, log)


@app.command()
def fetch(
    ctx: typer.Context, log: LogAddress = "127.0.0.1:9001"
) -> status.ExitStatus:
    """Prints the configuration file in force and its version."""
    return commands.fetch(ctx.obj, log)


@app.command("status")
def show_status(
    ctx: typer.Context,
    vm_list: VmListAddress = "127.0.0.1:9001",
    json: Annotated[bool, typer.Option("--json", help="Print JSON.")] = False,
) -> status.ExitStatus:
    """Shows VMs, endpoints, queues and attainment of latency targets."""
    return commands.show_status(ctx.obj, vm_list, json)


@app.command()
def version(ctx: typer.Context) -> status.ExitStatus:
    """Shows the program's version."""
    return commands.show_version(ctx.obj)


@standin_app.command("platform")
def standin_platform(
    ctx: typer.Context, host: Host = "127.0.0.1", port: Port = 9001
) -> status.ExitStatus:
    """Runs a platform: log service and VM list on one port."""
    return commands.standin_platform(ctx.obj, host, port)


@standin_app.command("engine")
def standin_engine(
    ctx: typer.Context,
    name: Annotated[str, typer.Option(help="Name of the endpoint.")],
    host: Host = "127.0.0.1",
    port: Port = 9101,
    slots: Annotated[int, typer.Option(help="Requests in one batch.")] = 8,
    slowdown: Annotated[
        float, typer.Option(help="Factor on step and prefill times.")
    ] = 1.0,
    report_lag_ms: Annotated[
        float, typer.Option(help="Age of load reports in ms.")
    ] = 0.0,
) -> status.ExitStatus:
    """Runs a model engine with continuous batching."""
    return commands.standin_engine(
        ctx.obj, name, host, port, slots, slowdown, report_lag_ms
    )


@standin_app.command("service")
def standin_service(
    ctx: typer.Context,
    name: Annotated[str, typer.Option(help="Name of the endpoint.")],
    host: Host = "127.0.0.1",
    port: Port = 9201,
    slots: Annotated[int, typer.Option(help="Concurrent requests.")] = 16,
) -> status.ExitStatus:
    """Runs a plain service that echoes its requests."""
    return commands.standin_service(ctx.obj, name, host, port, slots)
