"""Log levels in tests, as commands that run in the process set their own."""

import io

import structlog

from hornbeampier import logs


def log_all(case):
    """Logs from level info on until the end of a test."""
    case.addCleanup(structlog.configure, **structlog.get_config())
    logs.configure(io.StringIO(), "info")
