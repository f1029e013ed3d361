"""An endpoint that announces limits, leaving and waits, and counts offences.

The bounds are those of the platform's rules LIMIT, DRAIN and BUDGET.
"""

import bisect
import collections
import dataclasses

import gevent

from hornbeampier import clock as clocks

LIMIT_WINDOW_MS = 4_000.0
LIMIT_RATIO = 1.5
LIMIT_EXTRA = 5
# How long after its first such response a VM may still act as before.
REACTION_MS = 500.0
REQUESTS_IN_WAIT = 2


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A request that reached the endpoint.

    Attributes:
        told_ms: When the VM was first told of the limit that is named at this
            time; None if it was not, or none is named.
    """

    vm: str
    at_ms: float
    told_ms: float | None


def vm_of(request_id):
    """Returns the VM that a caller named in its request's id, `VM/NUMBER`."""
    return request_id.partition("/")[0]


class AnnouncingEndpoint:
    """The handler of an `EndpointStandin`; its attributes may change.

    Attributes:
        limit_per_s: Limit that is named in each response, or None.
        leaving: Whether each response announces that the endpoint leaves.
        wait_s: Value of `Retry-After`; requests are then turned away.
        delay_s: Time that each response takes.
    """

    def __init__(self, clock=None, limit_per_s=None):
        self.clock = clock or clocks.SystemClock()
        self.limit_per_s = limit_per_s
        self.leaving = False
        self.wait_s = None
        self.delay_s = 0.0
        self.arrivals = []
        self._limited_ms = {}
        self._limits = []
        self._left_ms = {}
        self._waits = collections.defaultdict(list)

    def __call__(self, req):
        self.arrive(vm_of(req.id))
        gevent.sleep(self.delay_s)
        headers = [f"{name}: {value}" for name, value in self.announce(req.id)]
        if self.wait_s is None:
            req.respond(headers=headers)
            return
        headers.append("X-Hornbeampier-Not-Executed: 1")
        req.respond(b"", "503 Service Unavailable", headers, seal=False)

    def arrive(self, vm):
        """Records a request of a VM."""
        if self.limit_per_s is None:
            self._limited_ms.clear()
        self.arrivals.append(
            Arrival(vm, self.clock.now(), self._limited_ms.get(vm))
        )

    def announce(self, request_id):
        """Returns the headers of a response, and records that it was sent."""
        vm, now_ms = vm_of(request_id), self.clock.now()
        headers = []
        if self.limit_per_s is not None:
            headers.append(("Server-Limit", str(self.limit_per_s)))
            self._limited_ms.setdefault(vm, now_ms)
            self._limits.append(self.limit_per_s)
        if self.leaving:
            headers.append(("Server-Leaving", "1"))
            self._left_ms.setdefault(vm, now_ms)
        if self.wait_s is not None:
            headers.append(("Retry-After", str(self.wait_s)))
            if isinstance(self.wait_s, float):
                end_ms = now_ms + self.wait_s * clocks.MS_PER_SECOND
                self._waits[vm].append((now_ms, end_ms))
        return headers

    def problems(self, drain_ms, reaction_ms, excused):
        """Returns a line for each broken bound; `excused` VMs do not count."""
        self.arrivals = [a for a in self.arrivals if a.vm not in excused]
        found = {
            "requests over its limit": self.requests_over_limit(reaction_ms),
            "requests after it left": len(
                self.requests_after_leaving(drain_ms)
            ),
            "requests within a wait": self.requests_in_waits(reaction_ms),
        }
        return [f"{count} {name}" for name, count in found.items() if count]

    def requests_over_limit(self, reaction_ms=REACTION_MS):
        """Returns by how many requests the worst window exceeds the limit."""
        times = [
            arrival.at_ms
            for arrival in self.arrivals
            if arrival.told_ms is not None
            and arrival.at_ms >= arrival.told_ms + reaction_ms
        ]
        if not times:
            return 0
        window_s = LIMIT_WINDOW_MS / clocks.MS_PER_SECOND
        allowed = LIMIT_RATIO * max(self._limits) * window_s + LIMIT_EXTRA
        counts = (
            bisect.bisect_left(times, start_ms + LIMIT_WINDOW_MS) - first
            for first, start_ms in enumerate(times)
        )
        return max(0, max(counts) - int(allowed))

    def requests_after_leaving(self, drain_ms):
        """Returns the requests of VMs that knew that the endpoint leaves."""
        return [
            arrival
            for arrival in self.arrivals
            if arrival.at_ms
            > self._left_ms.get(arrival.vm, arrival.at_ms) + drain_ms
        ]

    def requests_in_waits(self, reaction_ms=REACTION_MS):
        """Returns how many requests too many a VM sent within a wait."""
        worst = 0
        for vm, waits in self._waits.items():
            times = [a.at_ms for a in self.arrivals if a.vm == vm]
            for sent_ms, end_ms in waits:
                count = sum(
                    sent_ms + reaction_ms < at_ms < end_ms for at_ms in times
                )
                worst = max(worst, count - REQUESTS_IN_WAIT)
        return worst
