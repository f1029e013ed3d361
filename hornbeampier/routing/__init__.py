"""Decisions on requests, as modules that need no network."""
