"""Streams that began at a process whose entry nobody has read yet.

An engine starts again under its id with another version; its entry still names
the version before.
"""

import gevent

from tests import test_restarted_endpoints as restarted_endpoints

SILENCE_S = 2.0


class UnreadProcessTest(restarted_endpoints.RestartedEndpointTestCase):
    def configuration(self, version=1, **fields):
        return super().configuration(version, maxAttempts=2, **fields)

    def restart_engine_of(self, req):
        engine_id = req.headers["x-hornbeampier-expect-instance"]
        position = list(self.engines.ids()).index(engine_id)
        return self.restart_unseen(position, store_down=False)

    def run_restarted(self, req):
        """The engine of the first run has started again before it."""
        if not any(self.engines.runs.values()):
            self.restart_engine_of(req)
        self.engines._run(req)

    def run_silent(self, req):
        """As above, and the engine does not answer the question who it is."""
        if req.request_line.startswith("GET /report "):
            gevent.sleep(SILENCE_S)
            return
        if not self.engines.runs[req.id]:
            self.restart_engine_of(req).born = None
        self.engines._run(req)

    def set_handler(self, handler):
        for position in range(2):
            self.engine(position).handler = handler

    # Guards against ORDER: a stream without a record on another VM goes on at
    # the only version that has an entry, after its VM has gone.
    def test_stream_of_an_unread_process_is_not_taken_up(self):
        first, second, _ = self.start_vms()
        self.set_handler(self.run_restarted)
        self.begin(first, "a0")
        self.assertEqual(["v2"], self.engines.versions("a0"))
        first.stop()
        self.take_up(second, "b0", "a0")
        self.assertNotEqual(["v1"], self.engines.versions("b0"))

    # Guards against ORDER: a process that does not say who it is being taken
    # for the one that the entry names.
    def test_stream_of_a_silent_unread_process_does_not_go_on(self):
        router = self.start_ready_node(self.configuration())
        self.set_handler(self.run_silent)
        self.stream(router, "a0")
        self.assertEqual(1, len(set(self.engines.versions("a0"))))
