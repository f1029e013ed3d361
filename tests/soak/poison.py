"""Prompts that crash engines, and the check of how many reach engines."""

import collections
import contextlib
import dataclasses
import itertools

from tests import crashing_engines
from tests import nodes
from tests.soak import endpoints

# The platform's rule on crashing segments.
COUNTED_CRASHES = 5
STABLE_MS = 3_000.0
MAX_LATER_ARRIVALS = 3
_numbers = itertools.count(1)


def send(vm, segment_id):
    """Sends one prompt with a crashing segment to a VM; no two are alike."""
    number = next(_numbers)
    headers = {
        **crashing_engines.prompt_headers(segment_id, f"{number % 7:08x}"),
        "X-Hornbeampier-Attempt-Id": f"{vm.name}/poison-{number}",
    }
    with contextlib.suppress(OSError):
        caller = nodes.Caller(vm.callers)
        caller.send(
            "POST",
            f"/stream/{number}",
            headers,
            body=endpoints.STREAM_BODY,
        )
        caller.read()
        caller.close()


@dataclasses.dataclass(frozen=True)
class _Arrival:
    vm: str
    at_ms: float
    is_in_touch: bool


class PoisonLog:
    """When prompts with crashing segments reached engines."""

    def __init__(self, clock):
        self._clock = clock
        self._arrivals = collections.defaultdict(list)

    def record(self, segment_id, vm, vm_started_ms):
        """Records an arrival; each one crashes an engine."""
        now_ms = self._clock.now()
        is_in_touch = (
            vm_started_ms is not None and now_ms - vm_started_ms > STABLE_MS
        )
        self._arrivals[segment_id].append(_Arrival(vm, now_ms, is_in_touch))

    def problems(self, excused):
        """Returns a line for each broken bound; `excused` VMs do not count."""
        lines = []
        for segment_id, arrivals in self._arrivals.items():
            if len(arrivals) < COUNTED_CRASHES:
                continue
            from_ms = arrivals[COUNTED_CRASHES - 1].at_ms + STABLE_MS
            later = sum(
                arrival.at_ms > from_ms
                and arrival.is_in_touch
                and arrival.vm not in excused
                for arrival in arrivals
            )
            if later > MAX_LATER_ARRIVALS:
                lines.append(
                    f"{segment_id}: {later} prompts reached engines later"
                )
        return lines
