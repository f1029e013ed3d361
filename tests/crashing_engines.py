"""Engines that end as soon as they begin a response to a crashing segment."""

import itertools

import gevent

from hornbeampier import clock as clocks
from hornbeampier.routing import crash_suspects
from tests import nodes

PREFIX_HEADER = "x-hornbeampier-prompt-prefix"
# An engine that has ended is back, under another id, after this time.
RESTART_S = 0.4
EVENTS = 3
EVENT_INTERVAL_S = 0.02


def prompt_headers(*segment_ids):
    """Returns the headers of a prompt whose last segment is its own."""
    own_id = f"{next(_own_ids):08x}"
    prefix = ",".join(f"{id_}:400" for id_ in (*segment_ids, own_id))
    return {
        "X-Hornbeampier-Model": "m",
        "X-Hornbeampier-Token-Usage": "1200,20",
        "X-Hornbeampier-Prompt-Prefix": prefix,
    }


_own_ids = itertools.count(1)


def suspects_of(*segment_ids):
    """Returns the suspects for some segments."""
    return {crash_suspects.digest_segment(id_) for id_ in segment_ids}


class CrashingEngines:
    """A service whose engines end under any of some segments.

    Attributes:
        crashed_ms: When engines ended.
        arrivals_ms: When requests with such a segment reached engines.
    """

    def __init__(self, case: nodes.NodeTestCase, segment_ids, engine_count):
        self._case = case
        self._segment_ids = frozenset(segment_ids)
        self._clock = clocks.SystemClock()
        self._ids = itertools.count(1)
        self._socks = {}
        self.crashed_ms = []
        self.arrivals_ms = []
        for _ in range(engine_count):
            self._start()

    def _start(self):
        engine_id = f"engine-{next(self._ids)}"
        engine = self._case.start_endpoint(
            nodes.ENGINE_SERVICE,
            lambda req: self._serve(engine, req),
            engine_id,
        )
        self._socks[engine_id] = set()

    def _serve(self, engine, req):
        self._socks[engine.id].add(req.sock)
        entries = req.headers[PREFIX_HEADER].split(",")
        ids = {entry.partition(":")[0] for entry in entries}
        if ids & self._segment_ids:
            self.arrivals_ms.append(self._clock.now())
            self._crash(engine, req)
            return
        req.begin_stream()
        for number in range(1, EVENTS + 1):
            req.send_event(number)
            gevent.sleep(EVENT_INTERVAL_S)
        req.end_stream()

    def _crash(self, engine, req):
        self.crashed_ms.append(self._clock.now())
        engine.stop()
        for sock in self._socks.pop(engine.id, ()):
            sock.close()
        self._case.store.put_endpoint(engine.id, None)
        gevent.spawn_later(RESTART_S, self._start)
