"""Exit statuses of the command line."""

import enum


class ExitStatus(enum.IntEnum):
    """The exit status of each outcome of a command."""

    OK = 0
    ERROR = 1
    USAGE = 2
    INVALID_FILE = 3
    REFUSED = 4
    OUTCOME_UNKNOWN = 5
    UNREACHABLE = 6
