"""Patches the standard library before any test imports it."""

from hornbeampier import core  # noqa: F401
