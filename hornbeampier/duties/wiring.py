"""Builds the components that count and report usage."""

from collections.abc import Callable
import random

from hornbeampier import application
from hornbeampier import clock as clocks
from hornbeampier import node_metrics
from hornbeampier.duties import components
from hornbeampier.duties import usage_clock
from hornbeampier.duties import usage_counts
from hornbeampier.duties import usage_records
from hornbeampier.duties import usage_reporter
from hornbeampier.duties import usage_windows
from hornbeampier.forwarding import request_usage
from hornbeampier.peers import udp_transport
from hornbeampier.peers import usage_exchange
from hornbeampier.peers import usage_messages
from hornbeampier.platform import names
from hornbeampier.platform import settings

PROCESS_BITS = 32


class Duties:
    """This VM's part in usage reports; empty unless the settings name the duty.

    Attributes:
        usage: Counts the requests of callers.
        exchanges: Components that start after gossip and drain after callers.
        actors: Components that start last and drain first: a VM that stops
            leaves its duties before it finishes the requests in flight.
    """

    def __init__(
        self,
        cfg: settings.NodeSettings,
        live_peers: Callable[[], list[str]],
        metrics: node_metrics.NodeMetrics,
        clock: clocks.Clock,
        rng: random.Random,
    ):
        self._cfg = cfg
        self._live_peers = live_peers
        self._metrics = metrics
        self._clock = clock
        self._rng = rng
        self.usage: request_usage.UsageRecorder = request_usage.NoUsage()
        self.exchanges: list[application.Component] = []
        self.actors: list[application.Component] = []
        if cfg.duties is not None and names.USAGE_DUTY in cfg.duties.names:
            self._add_usage(cfg.duties)

    def _add_usage(self, duties: settings.DutySettings) -> None:
        window_ms = duties.usage_window_ms
        true_time = usage_clock.UsageClock(self._clock)
        counts = usage_counts.UsageCounts(window_ms, true_time, self._clock)
        windows = usage_windows.UsageWindows(
            window_ms,
            usage_windows.retention_ms(window_ms, usage_records.SLOT_COUNT),
        )
        transport = udp_transport.UdpTransport(
            self._cfg.host, self._cfg.duty_port
        )
        exchange = usage_exchange.UsageExchange(
            usage_windows.Source(
                self._cfg.host, self._rng.getrandbits(PROCESS_BITS)
            ),
            self._live_peers,
            transport,
            counts,
            windows,
            true_time,
            self._clock,
        )
        transport.receiver = lambda peer, data: exchange.accept(
            peer, usage_messages.decode(data)
        )
        duty = components.build_duty(
            names.USAGE_DUTY,
            self._cfg,
            self._live_peers,
            self._metrics,
            self._clock,
            self._rng,
        )
        reporter = usage_reporter.UsageReporter(
            self._cfg.host,
            duties.usage_due_ms,
            duty.keeper,
            duty.api,
            exchange,
            counts,
            windows,
            true_time,
            self._metrics,
            self._clock,
            self._rng,
        )
        self.usage = counts
        self.exchanges += [transport, exchange]
        self.actors += [duty.keeper, reporter]
