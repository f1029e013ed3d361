"""Routing decisions: which endpoint gets a request. Needs no network."""
