"""The callers: authentication, the chat interface and plain services."""
