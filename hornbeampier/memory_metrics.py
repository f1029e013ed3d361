"""Prometheus metrics of the memory that a process holds for clients."""

import aioprometheus

from hornbeampier import memory_usage


class ClientMemoryMetrics:
    """Shows what is held, and how many connections had to give it up."""

    def __init__(self, registry: aioprometheus.Registry):
        self._bytes = aioprometheus.Gauge(
            "hornbeampier_client_memory_bytes",
            "Memory held for clients by kind, and its limit.",
            registry=registry,
        )
        self._reclaimed = aioprometheus.Gauge(
            "hornbeampier_connections_reclaimed",
            "Connections that were ended without a complete request, or "
            "without reading their response, by what others needed.",
            registry=registry,
        )

    def record(self, usage: memory_usage.Usage) -> None:
        """Sets all values."""
        for kind, size in (
            ("limit", usage.limit_bytes),
            ("connections", usage.connection_bytes),
            ("requests", usage.request_bytes),
        ):
            self._bytes.set({"kind": kind}, size)
        for reason, count in usage.reclaimed.items():
            self._reclaimed.set({"reason": reason.value}, count)
