"""Entry point of `python -m hornbeampier`."""

import signal
import sys

if sys.argv[1:] == ["node"]:
    # The default action would end the process, until the node handles SIGHUP.
    # Its imports take longer than those of this module.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

from hornbeampier import core  # noqa: E402

if __name__ == "__main__":
    sys.exit(core.main())
