"""Endpoints that leave, by a response or by their entries."""

import gevent

from tests import announcing_endpoint
from tests import endpoint_standin
from tests import nodes
from tests import store_standin


class AnnouncedLeavingTest(nodes.NodeTestCase):
    def start(self):
        self.leaving = announcing_endpoint.AnnouncingEndpoint()
        self.other = announcing_endpoint.AnnouncingEndpoint()
        self.other.delay_s = 0.02
        self.endpoint = self.start_endpoint(nodes.PLAIN_SERVICE, self.leaving)
        self.start_endpoint(nodes.PLAIN_SERVICE, self.other)
        return self.start_ready_node()

    def call_many(self, router, count, start=0):
        statuses = []
        for number in range(start, start + count):
            request_id = {"X-Hornbeampier-Attempt-Id": f"vm/{number}"}
            statuses.append(self.call(router, headers=request_id).status)
        return statuses

    # Guards against DRAIN: requests to an endpoint that has said that it
    # leaves, while its entry in the store still says that it is ready.
    def test_endpoint_gets_nothing_after_it_said_that_it_leaves(self):
        router = self.start()
        self.call_many(router, 5)
        self.leaving.leaving = True
        statuses = self.call_many(router, 20, start=5)
        self.assertEqual({200}, set(statuses))
        self.assertEqual([], self.leaving.requests_after_leaving(0.0))

    def test_new_entry_that_says_ready_changes_nothing(self):
        router = self.start()
        self.leaving.leaving = True
        self.call_many(router, 10)
        record = nodes.endpoint_record(
            nodes.PLAIN_SERVICE, self.endpoint.address, sequence=2
        )
        self.store.put_endpoint(self.endpoint.id, None)
        store_standin.wait_until(lambda: len(router._fleet.all()) == 1)
        self.store.put_endpoint(self.endpoint.id, record)
        store_standin.wait_until(lambda: len(router._fleet.all()) == 2)
        self.call_many(router, 10, start=10)
        self.assertEqual([], self.leaving.requests_after_leaving(0.0))

    def test_request_that_was_connecting_meanwhile_goes_elsewhere(self):
        router = self.start()
        attempts = []
        pool = router._connection_pool
        acquire = pool.acquire

        def slow_acquire(endpoint, request_id):
            attempts.append(endpoint.id)
            gevent.sleep(0.1 * len(attempts))
            return acquire(endpoint, request_id)

        self.patch(pool, "acquire", slow_acquire)
        self.leaving.leaving = True
        calls = [
            gevent.spawn(self.call_many, router, 1, start=number)
            for number in range(8)
        ]
        statuses = {call.get()[0] for call in calls}
        self.assertEqual({200}, statuses)
        self.assertEqual([], self.leaving.requests_after_leaving(50.0))

    def test_open_stream_ends_in_peace(self):
        def handler(req):
            req.send(
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                "Transfer-Encoding: chunked\r\nServer-Leaving: 1\r\n"
                "X-Hornbeampier-Server-Seal: seal\r\n"
                f"X-Hornbeampier-Attempt-Id: {req.id}\r\n\r\n"
            )
            for number in range(5):
                req.send_event(number)
                gevent.sleep(0.05)
            req.end_stream()

        self.start_endpoint(nodes.ENGINE_SERVICE, handler)
        router = self.start_ready_node()
        response = self.call(router, "POST", "/stream/x", body=b"x")
        self.assertTrue(response.complete)
        self.assertEqual(5, response.body.count(b"data:"))


class ChangedEntryTest(nodes.NodeTestCase):
    """Entries that change while a request connects to the endpoint."""

    def call_while_entry_changes(self, change):
        """Changes the entry of the first endpoint that a call connects to.

        Args:
            change: Called with the endpoint; returns its new entry.

        Returns:
            The endpoint and the response.
        """
        endpoints = {}
        for _ in range(2):
            endpoint = self.start_endpoint(
                nodes.PLAIN_SERVICE, endpoint_standin.ReceivedRequest.respond
            )
            endpoints[endpoint.id] = endpoint
        router = self.start_ready_node()
        store_standin.wait_until(lambda: len(router.catalog.endpoints) == 2)
        pool = router._connection_pool
        acquire = pool.acquire
        changed = []

        def slow_acquire(endpoint, request_id):
            if not changed:
                changed.append(endpoints[endpoint.id])
                self.store.put_endpoint(endpoint.id, change(endpoint))
                known = router.catalog.endpoints
                store_standin.wait_until(
                    lambda: known.get(endpoint.id) != endpoint
                )
            return acquire(endpoint, request_id)

        self.patch(pool, "acquire", slow_acquire)
        response = self.call(router, "POST", "/unsafe/x", body=b"b")
        return changed[0], response

    def check_sent_elsewhere(self, change):
        endpoint, response = self.call_while_entry_changes(change)
        self.assertEqual([], endpoint.received)
        self.assertEqual(200, response.status)

    def entry(self, endpoint, **fields):
        return nodes.endpoint_record(
            nodes.PLAIN_SERVICE, f"{endpoint.host}:{endpoint.port}", **fields
        )

    # Guards against DRAIN: a request being sent to an endpoint whose entry
    # said by then that it leaves, as only announcements were asked again.
    def test_endpoint_that_leaves_meanwhile_gets_nothing(self):
        self.check_sent_elsewhere(
            lambda endpoint: self.entry(endpoint, state="draining")
        )

    # Guards against DRAIN: the same if its entry was removed.
    def test_endpoint_that_is_removed_meanwhile_gets_nothing(self):
        self.check_sent_elsewhere(lambda endpoint: None)

    # Guards against ROUTE: the same if another service has the id now.
    def test_endpoint_that_moved_meanwhile_gets_nothing(self):
        self.check_sent_elsewhere(
            lambda endpoint: nodes.endpoint_record(
                nodes.ENGINE_SERVICE,
                f"{endpoint.host}:{endpoint.port}",
                sequence=2,
            )
        )

    def test_heartbeat_changes_nothing(self):
        endpoint, response = self.call_while_entry_changes(
            lambda endpoint: self.entry(endpoint, slots=9, sequence=2)
        )
        self.assertEqual(1, len(endpoint.received))
        self.assertEqual(200, response.status)
