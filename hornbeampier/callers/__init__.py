"""The HTTP API for callers: chat completions and plain services."""
