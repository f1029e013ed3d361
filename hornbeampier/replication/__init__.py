"""Replicates the configuration and the endpoint entries to every VM."""
