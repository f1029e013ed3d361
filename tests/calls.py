"""HTTP requests as callers send them, and the answers they see."""

import dataclasses
import json

from hornbeampier import http_client

HOST = "127.0.0.1"
CALL_TIMEOUT_MS = 60_000


@dataclasses.dataclass(frozen=True)
class Answer:
    """An HTTP answer as a caller sees it."""

    status: int
    headers: dict
    body: bytes

    def json(self):
        return json.loads(self.body)

    def events(self):
        """The data of each server-sent event."""
        return [
            line.removeprefix("data: ")
            for line in self.body.decode().split("\n")
            if line.startswith("data: ")
        ]

    def text(self):
        """The text of a chat answer, streamed or whole."""
        if self.headers.get("content-type") == "text/event-stream":
            chunks = [json.loads(e) for e in self.events() if e != "[DONE]"]
            choices = [c["choices"][0] for c in chunks if "choices" in c]
            return "".join(c["delta"]["content"] for c in choices)
        return self.json()["choices"][0]["message"]["content"]


def call(port, method, path, body=b"", headers=()):
    """Sends one HTTP request and returns its whole answer."""
    peer = http_client.HttpClient(HOST, port, CALL_TIMEOUT_MS)
    try:
        return exchange_with(peer, method, path, body, headers)
    finally:
        peer.close()


def exchange_with(peer, method, path, body=b"", headers=()):
    """Sends one HTTP request over a peer's connections."""
    reply = peer.send(
        http_client.OutgoingRequest(method, path, tuple(headers), body)
    )
    try:
        data = reply.read()
        rows = {k.lower(): v for k, v in reply.headers()}
        return Answer(reply.status, rows, data)
    finally:
        reply.close()


def chat_body(text, stream=False):
    """The body of a chat request with one message."""
    body = {
        "model": "notes",
        "stream": stream,
        "messages": [{"role": "user", "content": text}],
    }
    return json.dumps(body)


class Caller:
    """Sends requests to a VM's port."""

    def chat(self, text, key="key-1", stream=False, headers=()):
        return call(
            self.port,
            "POST",
            "/v1/chat/completions",
            chat_body(text, stream).encode(),
            [("Authorization", f"Bearer {key}"), *headers],
        )

    def call(self, method, path, body=b"", key="key-1", headers=()):
        auth = ("Authorization", f"Bearer {key}")
        return call(self.port, method, path, body, [auth, *headers])
