"""HTTP requests as callers send them, and the responses they receive."""

import dataclasses
import json

from hornbeampier import http_client

HOST = "127.0.0.1"
CALL_TIMEOUT_MS = 60_000


@dataclasses.dataclass(frozen=True)
class Response:
    """An HTTP response as a caller sees it; header names are lower case."""

    status: int
    headers: dict
    body: bytes

    def json(self):
        return json.loads(self.body)

    def events(self):
        """Returns the data of each server-sent event."""
        return [
            line.removeprefix("data: ")
            for line in self.body.decode().split("\n")
            if line.startswith("data: ")
        ]

    def text(self):
        """Returns the text of a chat response, streamed or not."""
        if self.headers.get("content-type") == "text/event-stream":
            chunks = [json.loads(e) for e in self.events() if e != "[DONE]"]
            choices = [c["choices"][0] for c in chunks if "choices" in c]
            return "".join(c["delta"]["content"] for c in choices)
        return self.json()["choices"][0]["message"]["content"]


def call(port, method, path, body=b"", headers=()):
    """Sends one HTTP request over a new connection and reads the response."""
    client = http_client.HttpClient(HOST, port, CALL_TIMEOUT_MS)
    try:
        return send_with(client, method, path, body, headers)
    finally:
        client.close()


def send_with(client, method, path, body=b"", headers=()):
    """Sends one HTTP request over a client's pooled connections."""
    response = client.send(
        http_client.OutgoingRequest(method, path, tuple(headers), body)
    )
    try:
        data = response.read()
        response_headers = {k.lower(): v for k, v in response.headers()}
        return Response(response.status, response_headers, data)
    finally:
        response.close()


def chat_body(text, stream=False):
    """Returns the body of a chat request with one message."""
    body = {
        "model": "notes",
        "stream": stream,
        "messages": [{"role": "user", "content": text}],
    }
    return json.dumps(body)


class Caller:
    """Mixin that sends requests to the VM's port for callers, `self.port`."""

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
