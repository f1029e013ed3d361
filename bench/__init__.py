"""Benchmarks of the router with real processes; not part of CI."""
