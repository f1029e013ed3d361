"""The side of callers: connections, requests and refusals."""
