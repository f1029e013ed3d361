"""Entry point of `python -m bench`."""

# The entry module patches the standard library and must come first.
from hornbeampier import core  # isort: skip

from bench import cli

if __name__ == "__main__":
    del core
    cli.run()
