"""The HTTP servers of a node: listeners, handlers, admission, shutdown."""
