"""Entry point of `python -m hornbeampier`."""

import sys

from hornbeampier import core

if __name__ == "__main__":
    sys.exit(core.main())
