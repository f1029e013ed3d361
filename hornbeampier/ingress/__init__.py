"""The server side of a node: listeners, admission and caller requests."""
