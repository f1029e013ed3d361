"""Forwards accepted requests to endpoints and returns their responses."""
