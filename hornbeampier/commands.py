"""Implementation of the commands of the command line."""

from collections.abc import Callable
import contextlib
import itertools
import pathlib
import signal

import gevent

import hornbeampier
from hornbeampier import application
from hornbeampier import daemon
from hornbeampier import dev as dev_deployment
from hornbeampier import environment
from hornbeampier import errors
from hornbeampier import explain as explaining
from hornbeampier import logs
from hornbeampier import settings as vm_settings
from hornbeampier import status
from hornbeampier import toml
from hornbeampier import wsgi
from hornbeampier.coordination import platform_log
from hornbeampier.coordination import standin as platform_standin
from hornbeampier.coordination import vm_list as platform_vm_list
from hornbeampier.endpoints import continuous_batch
from hornbeampier.endpoints import standin_engine as engine_standin
from hornbeampier.endpoints import standin_service as service_standin
from hornbeampier.operators import configuration_log
from hornbeampier.operators import overview
from hornbeampier.operators import publish as publishing
from hornbeampier.operators import schema

CALL_TIMEOUT_MS = 2_000.0
EXIT_STATUS_BY_OUTCOME = {
    publishing.PublishOutcome.ACCEPTED: status.ExitStatus.OK,
    publishing.PublishOutcome.REFUSED: status.ExitStatus.REFUSED,
    publishing.PublishOutcome.NOT_PUBLISHED: status.ExitStatus.UNREACHABLE,
    publishing.PublishOutcome.UNKNOWN: status.ExitStatus.OUTCOME_UNKNOWN,
}


def serve(
    env: environment.Environment,
    path: pathlib.Path,
    daemon_type: type[daemon.VmDaemon] = daemon.VmDaemon,
) -> status.ExitStatus:
    """Runs one entry VM's daemon until it is stopped by a signal."""
    try:
        cfg = vm_settings.load(path)
    except errors.InvalidFileError as exc:
        return _print_problems(env, path, exc)
    logs.configure(env.stderr, cfg.logs.level, cfg.logs.json_lines)
    app = application.Application(cfg.vm)
    vm = daemon_type(env, cfg)
    app.add(vm)
    app.add(_StartupLine(env, lambda: _describe_ports(cfg.vm, vm.ports)))
    return _run(app)


def dev(env: environment.Environment, port: int) -> status.ExitStatus:
    """Runs a complete deployment with stand-ins in this process."""
    logs.configure(env.stderr, "warning", json_lines=False)
    app = application.Application("dev")
    app.add(dev_deployment.DevDeployment(env, port))
    app.add(_InfoLogging(env))
    return _run(app)


def explain(
    env: environment.Environment, request_id: str, files: list[pathlib.Path]
) -> status.ExitStatus:
    """Prints the log lines of one request in order of time."""
    with contextlib.ExitStack() as stack:
        streams = [stack.enter_context(path.open()) for path in files]
        lines = itertools.chain.from_iterable(streams or [env.stdin])
        steps = explaining.find_steps(lines, request_id)
    if not steps:
        env.print_error(
            f"no log line has request id {request_id}",
            "pass the logs of all VMs from the time of the request",
        )
        return status.ExitStatus.ERROR
    for step in steps:
        print(step.render(), file=env.stdout)
    return status.ExitStatus.OK


def check(
    env: environment.Environment, files: list[pathlib.Path]
) -> status.ExitStatus:
    """Validates configuration files and prints their problems."""
    result = status.ExitStatus.OK
    for path in files:
        try:
            schema.parse(toml.read_text(path))
        except errors.InvalidFileError as exc:
            result = _print_problems(env, path, exc)
            continue
        print(f"{path}: ok", file=env.stdout)
    return result


def publish(
    env: environment.Environment,
    path: pathlib.Path,
    log: str,
    base: int | None,
) -> status.ExitStatus:
    """Publishes a configuration file."""
    logs.configure(env.stderr, "error")
    publisher = publishing.Publisher(_open_log(log), env)
    try:
        result = publisher.publish(toml.read_text(path), base)
    except errors.InvalidFileError as exc:
        return _print_problems(env, path, exc)
    except KeyboardInterrupt:
        result = publisher.interrupted_result()
    return _print_publish_result(env, result, log)


def publish_status(
    env: environment.Environment, publish_id: str, log: str
) -> status.ExitStatus:
    """Prints the outcome of an earlier publish."""
    logs.configure(env.stderr, "error")
    publisher = publishing.Publisher(_open_log(log), env)
    return _print_publish_result(env, publisher.find_outcome(publish_id), log)


def fetch(env: environment.Environment, log: str) -> status.ExitStatus:
    """Prints the configuration file in force and its version."""
    logs.configure(env.stderr, "error")
    accepted = publishing.Publisher(_open_log(log), env).fetch()
    if accepted is None:
        env.print_error(
            "no configuration has been published yet", "publish one first"
        )
        return status.ExitStatus.ERROR
    print(accepted.text, file=env.stdout, end="")
    print(f"version {accepted.version}", file=env.stderr)
    return status.ExitStatus.OK


def show_status(
    env: environment.Environment, vm_list: str, as_json: bool
) -> status.ExitStatus:
    """Prints the combined reports of all VMs."""
    host, port = _split_address(vm_list)
    client = platform_vm_list.VmListClient(host, port, CALL_TIMEOUT_MS)
    summary = overview.collect(client.read())
    text = (
        overview.render_json(summary) if as_json else overview.render(summary)
    )
    print(text, file=env.stdout)
    return status.ExitStatus.OK


def show_version(env: environment.Environment) -> status.ExitStatus:
    """Prints the program's version."""
    print(hornbeampier.__version__, file=env.stdout)
    return status.ExitStatus.OK


def standin_platform(
    env: environment.Environment, host: str, port: int
) -> status.ExitStatus:
    """Runs the platform's stand-in."""
    platform = platform_standin.Platform(env.clock)
    server = wsgi.HttpServer(host, port, platform_standin.PlatformApp(platform))
    return _run_standin(env, "platform", server, server)


def standin_engine(
    env: environment.Environment,
    name: str,
    host: str,
    port: int,
    slots: int,
    slowdown: float,
    report_lag_ms: float,
) -> status.ExitStatus:
    """Runs a model engine's stand-in."""
    profile = continuous_batch.EngineProfile(
        slots=slots, slowdown=slowdown, report_lag_ms=report_lag_ms
    )
    standin = engine_standin.EngineStandin(name, host, port, profile, env.clock)
    return _run_standin(env, name, standin, standin.server)


def standin_service(
    env: environment.Environment, name: str, host: str, port: int, slots: int
) -> status.ExitStatus:
    """Runs a plain service's stand-in."""
    standin = service_standin.ServiceStandin(name, host, port, slots)
    return _run_standin(env, name, standin, standin.server)


def _run(app: application.Application) -> status.ExitStatus:
    for signum in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(signum, app.request_stop)
    app.run()
    return status.ExitStatus.OK


def _run_standin(
    env: environment.Environment,
    name: str,
    component: application.Component,
    server: wsgi.HttpServer,
) -> status.ExitStatus:
    logs.configure(env.stderr, "warning")
    app = application.Application(name)
    app.add(component)
    app.add(_StartupLine(env, lambda: f"{name} listens on port {server.port}"))
    return _run(app)


class _StartupLine(application.BaseComponent):
    """Prints one line once the components added before it have started."""

    def __init__(
        self, env: environment.Environment, make_line: Callable[[], str]
    ):
        self._env = env
        self._make_line = make_line

    def start(self) -> None:
        """Builds and prints the line."""
        print(self._make_line(), file=self._env.stdout, flush=True)


class _InfoLogging(application.BaseComponent):
    """Enables info-level log lines once the deployment has started.

    Routing decisions are logged at that level.
    """

    def __init__(self, env: environment.Environment):
        self._env = env

    def start(self) -> None:
        """Lowers the log level to info."""
        logs.configure(self._env.stderr, json_lines=False)


def _describe_ports(vm: str, ports: daemon.Ports) -> str:
    return (
        f"{vm} listens on port {ports.callers} (callers), "
        f"{ports.admin} (admin), {ports.hints} (hints), "
        f"{ports.catch_up} (catch-up)"
    )


def _print_problems(
    env: environment.Environment,
    path: pathlib.Path,
    exc: errors.InvalidFileError,
) -> status.ExitStatus:
    for problem in exc.problems:
        print(f"{path}: {problem}", file=env.stderr)
    count = len(exc.problems)
    noun = "problem" if count == 1 else "problems"
    env.print_error(
        f"{path} has {count} {noun}", "correct the file and try again"
    )
    return status.ExitStatus.INVALID_FILE


def _open_log(address: str) -> platform_log.HttpLog:
    host, port = _split_address(address)
    return platform_log.HttpLog(host, port, CALL_TIMEOUT_MS)


def _split_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise errors.InvalidFileError(
            (f"address {address}: has to be HOST:PORT",)
        )
    return host, int(port)


def _print_publish_result(
    env: environment.Environment,
    result: publishing.PublishResult,
    log: str,
) -> status.ExitStatus:
    outcome = publishing.PublishOutcome
    if result.outcome is outcome.ACCEPTED:
        print(_describe_acceptance(result), file=env.stdout)
    elif result.outcome is outcome.REFUSED:
        _print_refusal(env, result, log)
    elif result.outcome is outcome.NOT_PUBLISHED:
        env.print_error(
            f"not published: {result.detail}",
            "check the log's address and publish again",
        )
    else:
        env.print_error(
            f"the outcome of {result.publish_id} is unknown",
            f"run '{env.program_name} publish-status {result.publish_id} "
            f"--log {log}'; {_describe_retry(result)}",
        )
    return EXIT_STATUS_BY_OUTCOME[result.outcome]


def _describe_acceptance(result: publishing.PublishResult) -> str:
    text = f"accepted: version {result.version}"
    if result.base != configuration_log.NO_VERSION:
        text += f", replaces version {result.base}"
    return text


def _describe_retry(result: publishing.PublishResult) -> str:
    if result.base == configuration_log.NO_VERSION:
        return "until it is known, do not publish another file"
    return (
        f"publishing again with --base {result.base} is safe: at most one of "
        "the two is accepted"
    )


def _print_refusal(
    env: environment.Environment,
    result: publishing.PublishResult,
    log: str,
) -> None:
    if result.detail == configuration_log.RecordOutcome.INVALID.value:
        env.print_error("refused: the file is invalid", "check the file")
        return
    env.print_error(
        f"refused: the base is stale; version {result.version} is in force",
        f"run '{env.program_name} fetch --log {log}', make your change there "
        f"and publish with --base {result.version}",
    )
