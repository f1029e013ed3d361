"""Entry point of `python -m bench`."""

# Patches the standard library before any other module imports it.
from hornbeampier import patched  # isort: skip

from bench import cli

if __name__ == "__main__":
    del patched
    cli.run()
