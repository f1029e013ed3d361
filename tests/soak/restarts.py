"""Endpoints of a soak that leave and start again, or are reclaimed."""

import gevent

from tests import nodes

# Time from an endpoint's announcement that it leaves to its entry.
NOTICE_S = 0.2
# How long it serves on after its entry says so.
DRAIN_S = 2.5
# How long the entry of a process stays unread: more than DRAIN allows after the
# first response that announces that it leaves.
UNREAD_S = 3.0
READ_S = 1.0
# Time in which streams without a length begin, and in which an endpoint is
# reclaimed while they last.
BEGIN_S = 0.6
RECLAIM_S = 0.5


class Restarts:
    """Starts endpoints again under their ids; a part of `World`."""

    def _come_back(self, event):
        """An endpoint leaves and starts again under its id; it serves then.

        With several software versions, an engine runs a new one.
        """
        endpoint = self._endpoint(event)
        if endpoint.is_changing:
            return
        endpoint.announcing.leaving = True
        gevent.sleep(NOTICE_S)
        self._put_entry(endpoint, "draining")
        gevent.sleep(DRAIN_S)
        if endpoint not in self._endpoints:
            # It has crashed meanwhile.
            return
        has_new_version = self._update_version(endpoint)
        endpoint.restart()
        if has_new_version:
            # Its entry still names the version before.
            endpoint.writes_entries = False
            gevent.sleep(event.duration_s)
        self._put_entry(endpoint, "ready")

    def _leave_unread(self, event):
        """An endpoint starts again and leaves before its entry is read."""
        endpoint = self._endpoint(event)
        if endpoint.is_changing:
            return
        self._add_endpoint(endpoint.service, endpoint.version)
        self._update_version(endpoint)
        endpoint.restart(leaving=True)
        endpoint.writes_entries = False
        gevent.sleep(UNREAD_S)
        if endpoint not in self._endpoints:
            return
        self._put_entry(endpoint, "ready")
        gevent.sleep(READ_S)
        self._put_entry(endpoint, "draining")
        gevent.sleep(DRAIN_S)
        self._remove(endpoint)

    def _reclaim(self, event):
        """An engine ends in the middle of its streams while it leaves."""
        engines = self._serving_engines()
        if not engines:
            return
        engine = engines[event.target % len(engines)]
        self._add_endpoint(engine.service, engine.version)
        engine.has_length = False
        engine.faults.add("slow")
        gevent.sleep(BEGIN_S)
        engine.announcing.leaving = True
        self._put_entry(engine, "draining")
        gevent.sleep(RECLAIM_S)
        self._remove(engine)

    def _update_version(self, endpoint):
        """Gives an engine a new version; returns False if it keeps its own."""
        if not self.has_versions or endpoint.service != nodes.ENGINE_SERVICE:
            return False
        endpoint.version = self._next_version()
        return True

    def _put_entry(self, endpoint, state):
        endpoint.state = state
        endpoint.writes_entries = True
        if endpoint in self._endpoints:
            self.store.put_endpoint(endpoint.id, endpoint.entry())
