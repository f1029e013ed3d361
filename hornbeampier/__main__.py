"""Runs the command line with `python -m hornbeampier`."""

import sys

from hornbeampier import core

if __name__ == "__main__":
    sys.exit(core.main())
