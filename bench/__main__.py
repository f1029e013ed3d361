"""Entry point of `python -m bench`."""

# The standard library is patched first.
from hornbeampier import patched  # isort: skip

from bench import cli

if __name__ == "__main__":
    del patched
    cli.run()
