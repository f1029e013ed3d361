"""Prometheus metrics of a node, the router process of `node.py`."""

import aioprometheus
from aioprometheus import formats

from hornbeampier import clock as clocks
from hornbeampier import memory_metrics

FIRST_EVENT_BUCKETS_S = (0.05, 0.1, 0.2, 0.4, 0.6, 1.0, 2.0, 4.0, 8.0)
# Ratio of the seen to the expected time to the first event.
ESTIMATE_RATIO_BUCKETS = (0.25, 0.5, 0.7, 0.85, 1.0, 1.2, 1.5, 2.0, 4.0)
# Keep in step with the port and path in `deploy/system.toml`.
PORT = 9_464
PATH = "/metrics"


class NodeMetrics:
    """The counters, gauges and histograms of one node.

    Attributes:
        client_memory: The memory held for clients.
    """

    def __init__(self):
        self._registry = aioprometheus.Registry()
        self._responses = self._counter(
            "hornbeampier_answers_total",
            "Responses to callers by route, status and refusal code.",
        )
        self._attempts = self._counter(
            "hornbeampier_attempts_total",
            "Attempts at endpoints by service and outcome.",
        )
        self._prompts = self._counter(
            "hornbeampier_prompts_total",
            "Callers' attempts at prompts by route, size among the route's "
            "prompts, and outcome.",
        )
        self._announcements = self._counter(
            "hornbeampier_announcements_total",
            "Changes of what endpoints announce, by service and kind.",
        )
        self._unreadable = self._counter(
            "hornbeampier_unreadable_records_total",
            "Records of the store that cannot be read, by kind.",
        )
        self._oversized = self._counter(
            "hornbeampier_oversized_responses_total",
            "Responses that were larger than allowed, by endpoint.",
        )
        self._resumptions = self._counter(
            "hornbeampier_resumptions_total",
            "Streams that callers took up, by how their origin was found.",
        )
        self._usage_windows = self._counter(
            "hornbeampier_usage_windows_total",
            "Windows of usage that this VM finalized or skipped, by result.",
        )
        self._zone_choices = self._counter(
            "hornbeampier_zone_choices_total",
            "Plain requests by service and by the zone that they were sent to.",
        )
        self._first_event = aioprometheus.Histogram(
            "hornbeampier_first_event_seconds",
            "Time from a request to the first event of its response stream.",
            buckets=list(FIRST_EVENT_BUCKETS_S),
            registry=self._registry,
        )
        self._estimate_ratio = aioprometheus.Histogram(
            "hornbeampier_first_event_estimate_ratio",
            "Seen time from an attempt to its first event, divided by the "
            "expected time.",
            buckets=list(ESTIMATE_RATIO_BUCKETS),
            registry=self._registry,
        )
        self._prefill_rate = aioprometheus.Gauge(
            "hornbeampier_engine_prefill_tokens_per_second",
            "Learned prefill rate of an engine by service.",
            registry=self._registry,
        )
        self._duty_calls = self._counter(
            "hornbeampier_duty_calls_total",
            "Calls to the platform's API by duty and outcome.",
        )
        self._lease_held = aioprometheus.Gauge(
            "hornbeampier_lease_held",
            "Whether this VM may act on a duty.",
            registry=self._registry,
        )
        self._lease_token = aioprometheus.Gauge(
            "hornbeampier_lease_token",
            "Fencing token of the lease that this VM holds; 0 if none.",
            registry=self._registry,
        )
        self._speed_factors = aioprometheus.Gauge(
            "hornbeampier_engine_speed_factor",
            "How many times longer than at the typical engine of a service "
            "work takes at its fastest and at its slowest.",
            registry=self._registry,
        )
        self._version = aioprometheus.Gauge(
            "hornbeampier_configuration_version",
            "Version of the configuration in force.",
            registry=self._registry,
        )
        self._records_age = aioprometheus.Gauge(
            "hornbeampier_records_age_seconds",
            "For how long changes in a topic of the store may have been "
            "missed.",
            registry=self._registry,
        )
        self.client_memory = memory_metrics.ClientMemoryMetrics(self._registry)
        self._scaling: _ScalingMetrics | None = None

    def record_response(self, route: str, status: int, code: str = "") -> None:
        """Counts a response; `code` is the cause if it is a refusal."""
        self._responses.inc(
            {"route": route, "status": str(status), "code": code}
        )

    def record_attempt(self, service: str, outcome: str) -> None:
        """Counts one attempt at an endpoint of `service`."""
        self._attempts.inc({"service": service, "outcome": outcome})

    def record_prompt(self, route: str, size: str, outcome: str) -> None:
        """Counts a prompt of `route`, by its size band and its outcome."""
        self._prompts.inc({"route": route, "size": size, "outcome": outcome})

    def record_announcement(self, service: str, kind: str) -> None:
        """Counts a change of what an endpoint of `service` announces."""
        self._announcements.inc({"service": service, "kind": kind})

    def record_unreadable(self, kind: str) -> None:
        """Counts a record of the store that cannot be read."""
        self._unreadable.inc({"kind": kind})

    def record_oversized(self, endpoint_id: str) -> None:
        """Counts a response of an endpoint that was larger than allowed."""
        self._oversized.inc({"endpoint": endpoint_id})

    def record_resumption(self, source: str) -> None:
        """Counts a stream that a caller took up.

        `source` tells how its origin was found, or that it is unknown.
        """
        self._resumptions.inc({"source": source})

    def record_usage_window(self, result: str) -> None:
        """Counts a window of usage that is finalized or skipped."""
        self._usage_windows.inc({"result": result})

    def record_zone_choice(self, service: str, leaves: bool) -> None:
        """Counts a plain request that was kept in the zone or left it."""
        zone = "other" if leaves else "own"
        self._zone_choices.inc({"service": service, "zone": zone})

    def record_first_event(self, route: str, took_ms: float) -> None:
        """Records the time to the first event of a streamed response."""
        self._first_event.observe(
            {"route": route}, took_ms / clocks.MS_PER_SECOND
        )

    def record_estimate(
        self, service: str, ratio: float, tokens_per_ms: float
    ) -> None:
        """Records how a first event compares with its estimate.

        Args:
            service: Service of the engine.
            ratio: Seen time to the first event, divided by the expected one.
            tokens_per_ms: The learned prefill rate.
        """
        self._estimate_ratio.observe({"service": service}, ratio)
        self._prefill_rate.set(
            {"service": service}, tokens_per_ms * clocks.MS_PER_SECOND
        )

    def record_endpoints(
        self, service: str, zone: str, kind: str, wanted: int, present: int
    ) -> None:
        """Records the numbers of endpoints of a service, zone and kind."""
        labels = {"service": service, "zone": zone, "kind": kind}
        self._scaling_metrics().wanted.set(labels, wanted)
        self._scaling_metrics().present.set(labels, present)

    def _scaling_metrics(self) -> "_ScalingMetrics":
        """Returns the metrics of orders, which VMs without them lack."""
        if self._scaling is None:
            self._scaling = _ScalingMetrics(self._registry)
        return self._scaling

    def record_duty_call(self, duty: str, outcome: str) -> None:
        """Counts a call to the platform's API."""
        self._duty_calls.inc({"duty": duty, "outcome": outcome})

    def record_lease(self, duty: str, is_held: bool, token: int | None) -> None:
        """Shows whether this VM may act on a duty, and its token."""
        self._lease_held.set({"duty": duty}, float(is_held))
        self._lease_token.set({"duty": duty}, float(token or 0))

    def record_speed_factors(
        self, service: str, fastest: float, slowest: float
    ) -> None:
        """Records the factors of the fastest and of the slowest engine."""
        self._speed_factors.set(
            {"service": service, "engine": "fastest"}, fastest
        )
        self._speed_factors.set(
            {"service": service, "engine": "slowest"}, slowest
        )

    def record_age(self, topic: str, age_ms: float) -> None:
        """Shows for how long changes in a topic may have been missed."""
        self._records_age.set({"topic": topic}, age_ms / clocks.MS_PER_SECOND)

    def render(self, version: int) -> bytes:
        """Returns the metrics in Prometheus' text exposition format."""
        self._version.set({}, version)
        return formats.text.TextFormatter().marshall(self._registry)

    def _counter(self, name: str, doc: str) -> aioprometheus.Counter:
        return aioprometheus.Counter(name, doc, registry=self._registry)


class _ScalingMetrics:
    """Metrics of orders of endpoints."""

    def __init__(self, registry: aioprometheus.Registry):
        self.wanted = aioprometheus.Gauge(
            "hornbeampier_endpoints_wanted",
            "Ordered endpoints by service, zone and kind.",
            registry=registry,
        )
        self.present = aioprometheus.Gauge(
            "hornbeampier_endpoints_present",
            "Endpoints that are not leaving by service, zone and kind.",
            registry=registry,
        )
