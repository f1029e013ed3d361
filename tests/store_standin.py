"""A stand-in for the platform's store over HTTP, with faults."""

import base64
import json
import struct
from urllib import parse

import gevent
from gevent import event
from gevent import pywsgi

from hornbeampier.platform import names

HOST = "127.0.0.1"


class StoreStandin:
    """Keyed topics with one partition each.

    Attributes:
        down: Whether every call gets a 503 response.
        era: How often the store has returned from an older copy; None to
            leave the header out.
        wakes: Whether calls that wait for records are answered as one comes.
        unanswered_appends: Number of the next appends that are executed
            without a response.
    """

    def __init__(self, era=1):
        self.down = False
        self.era = era
        self.wakes = True
        self.unanswered_appends = 0
        self.calls = []
        self._records = {names.OPERATOR_TOPIC: [], names.ENDPOINT_TOPIC: []}
        self._first_offsets = dict.fromkeys(self._records, 0)
        self._changed = event.Event()
        self._server = pywsgi.WSGIServer((HOST, 0), self._respond, log=None)
        self._server.start()

    @property
    def port(self):
        return self._server.server_port

    def stop(self):
        self._server.stop(timeout=0)

    def put(self, topic, key, value):
        """Appends a record; `value` is bytes, a dict or None (a tombstone)."""
        if isinstance(value, dict):
            value = json.dumps(value).encode()
        self._records[topic].append((key, value))
        if self.wakes:
            self._changed.set()
            self._changed = event.Event()

    def put_configuration(self, value):
        self.put(names.OPERATOR_TOPIC, names.CONFIGURATION_KEY, value)

    def put_endpoint(self, endpoint_id, value):
        self.put(names.ENDPOINT_TOPIC, endpoint_id, value)

    def copy(self):
        """Returns a copy of all records, for `restore`."""
        return {topic: list(rows) for topic, rows in self._records.items()}

    def restore(self, copy):
        """Returns from an older copy; waiting calls end without a response."""
        self.era += 1
        self._records = {topic: list(rows) for topic, rows in copy.items()}
        self._first_offsets = {
            topic: min(first, len(self._records[topic]))
            for topic, first in self._first_offsets.items()
            if topic in self._records
        }
        self._changed.set()
        self._changed = event.Event()

    def compact(self, topic, retained=0):
        """Trims all but the last records; `/log-newest` has the newest."""
        self._first_offsets[topic] = len(self._records[topic]) - retained

    def _respond(self, environ, start_response):
        query = dict(parse.parse_qsl(environ["QUERY_STRING"]))
        self.calls.append((environ["PATH_INFO"], query))
        if self.down:
            start_response("503 Service Unavailable", self._headers())
            return [b""]
        topic = self._log_name(query)
        if environ["PATH_INFO"] == "/log-append":
            body = environ["wsgi.input"].read()
            return self._append(topic, query, body, start_response)
        if environ["PATH_INFO"] == "/log-newest":
            start_response("200 OK", self._headers())
            return [json.dumps(self._newest(topic)).encode()]
        return self._read(topic, query, start_response)

    def _log_name(self, query):
        """Returns the name of a partition's records, which it creates."""
        topic, partition = query["topic"], query.get("part", "0")
        name = topic if partition == "0" else f"{topic}/{partition}"
        self._records.setdefault(name, [])
        self._first_offsets.setdefault(name, 0)
        return name

    def _append(self, topic, query, body, start_response):
        offset = len(self._records[topic])
        if int(query["at"]) != offset:
            start_response("412 Precondition Failed", self._headers())
            return [json.dumps({"end": offset}).encode()]
        while body:
            length = int.from_bytes(body[:4])
            record, body = body[4 : 4 + length], body[4 + length :]
            key_end = 1 + record[0]
            self.put(topic, record[1:key_end].decode(), record[key_end:])
        if self.unanswered_appends:
            self.unanswered_appends -= 1
            gevent.sleep(60)
        start_response("200 OK", self._headers())
        end = len(self._records[topic])
        return [json.dumps({"offset": offset, "end": end}).encode()]

    def _headers(self):
        return [] if self.era is None else [("Store-Era", str(self.era))]

    def _newest(self, topic):
        newest = {}
        for offset, (key, value) in enumerate(self._records[topic]):
            newest[key] = (value, offset)
        items = [
            {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "offset": offset,
            }
            for key, (value, offset) in newest.items()
            if value is not None
        ]
        end = len(self._records[topic])
        return {"items": items, "hasMore": False, "end": end}

    def _read(self, topic, query, start_response):
        offset = int(query["from"])
        if not self._has(topic, offset):
            start_response("410 Gone", self._headers())
            return [json.dumps({"first": self._first_offsets[topic]}).encode()]
        era = self.era
        if offset >= len(self._records[topic]):
            self._changed.wait(int(query["waitMs"]) / 1000)
        if self.down or self.era != era:
            start_response("503 Service Unavailable", self._headers())
            return [b""]
        body = struct.pack(
            ">QQ", len(self._records[topic]), self._first_offsets[topic]
        )
        for key, value in self._records[topic][offset:]:
            key_bytes = key.encode()
            record = bytes([len(key_bytes)]) + key_bytes + (value or b"")
            body += struct.pack(">I", len(record)) + record
        start_response("200 OK", self._headers())
        return [body]

    def _has(self, topic, offset):
        first = self._first_offsets[topic]
        return first <= offset <= len(self._records[topic])


def wait_until(condition, timeout_s=5.0):
    """Polls until `condition` holds; raises gevent.Timeout on a timeout."""
    with gevent.Timeout(timeout_s):
        while not condition():
            gevent.sleep(0.005)
