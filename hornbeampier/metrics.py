"""Prometheus metrics of one VM's daemon."""

import aioprometheus
from aioprometheus import formats

from hornbeampier import memory_metrics
from hornbeampier import request_info

FIRST_TOKEN_BUCKETS_MS = (
    5,
    10,
    25,
    50,
    100,
    250,
    500,
    1_000,
    2_500,
    5_000,
    10_000,
)


class Metrics:
    """The counters and histograms of one VM."""

    def __init__(self):
        self._registry = aioprometheus.Registry()
        self.client_memory = memory_metrics.ClientMemoryMetrics(self._registry)
        self.requests = aioprometheus.Counter(
            "hornbeampier_requests_total",
            "Requests by class and outcome.",
            registry=self._registry,
        )
        self.refusals = aioprometheus.Counter(
            "hornbeampier_refusals_total",
            "Refusals by class and code.",
            registry=self._registry,
        )
        self.on_time = aioprometheus.Counter(
            "hornbeampier_on_time_total",
            "Requests served within their latency target.",
            registry=self._registry,
        )
        self.tokens = aioprometheus.Counter(
            "hornbeampier_tokens_total",
            "Tokens by use: useful or wasted.",
            registry=self._registry,
        )
        self.first_token = aioprometheus.Histogram(
            "hornbeampier_first_token_ms",
            "Time from arrival to the first token in ms.",
            buckets=list(FIRST_TOKEN_BUCKETS_MS),
            registry=self._registry,
        )

    def record_end(
        self, class_name: str, outcome: request_info.Outcome, on_time: bool
    ) -> None:
        """Counts a request that has ended."""
        labels = {"class": class_name, "outcome": outcome.value}
        self.requests.inc(labels)
        if on_time:
            self.on_time.inc({"class": class_name})

    def render(self) -> bytes:
        """Returns the metrics in Prometheus' text exposition format."""
        return formats.text.TextFormatter().marshall(self._registry)

    def request_count(
        self, class_name: str, outcome: request_info.Outcome
    ) -> int:
        """Returns how many requests of a class ended with `outcome`."""
        labels = {"class": class_name, "outcome": outcome.value}
        return _counter_value(self.requests, labels)

    def on_time_count(self, class_name: str) -> int:
        """Returns how many requests of a class met their latency target."""
        return _counter_value(self.on_time, {"class": class_name})

    def token_count(self, use: str) -> int:
        """Returns the number of tokens by use: `useful` or `wasted`."""
        return _counter_value(self.tokens, {"use": use})


def _counter_value(
    counter: aioprometheus.Counter, labels: dict[str, str]
) -> int:
    try:
        return int(counter.get(labels))
    except KeyError:
        return 0
