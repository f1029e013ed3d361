"""The process of a node: its settings, logs and signals."""

import pathlib
import signal

import gevent
import structlog

from hornbeampier import application
from hornbeampier import environment
from hornbeampier import errors
from hornbeampier import log_stream
from hornbeampier import logs
from hornbeampier import node
from hornbeampier import node_memory
from hornbeampier import status
from hornbeampier import vm_memory
from hornbeampier.platform import names
from hornbeampier.platform import settings


def main(env: environment.Environment) -> status.ExitStatus:
    """Runs the router until SIGTERM or SIGINT."""
    path = env.variables.get(names.SETTINGS_VARIABLE)
    if not path:
        env.print_error(
            f"{names.SETTINGS_VARIABLE} is not set",
            "set it to the path of the settings file",
        )
        return status.ExitStatus.USAGE
    try:
        cfg = settings.load(pathlib.Path(path))
    except errors.InvalidFileError as exc:
        for problem in exc.problems:
            env.print_error(problem)
        return status.ExitStatus.INVALID_FILE
    try:
        node_memory.client_memory_bytes(cfg)
    except vm_memory.TooSmallError as exc:
        env.print_error(f"{path}: {names.MEMORY_LIMIT}: {exc}")
        return status.ExitStatus.INVALID_FILE
    stream = log_stream.LogStream(env.stdout.fileno(), env.clock)
    logs.configure(stream, "info", json_lines=True)
    log = structlog.get_logger(vm=cfg.vm)
    app = application.Application(cfg.vm)
    app.add(stream)
    app.add(node.Node(env, cfg))
    for signum in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(signum, app.request_stop)
    gevent.signal_handler(
        signal.SIGHUP, _check_settings, pathlib.Path(path), log
    )
    log.info("started", callers=str(cfg.callers), store=str(cfg.store))
    app.run()
    return status.ExitStatus.OK


def _check_settings(path: pathlib.Path, log) -> None:
    """Logs whether the changed settings are valid; they are not applied."""
    try:
        settings.load(path)
    except errors.InvalidFileError as exc:
        log.error("settings_unreadable", problems=exc.problems)
        return
    log.info("settings_checked")
