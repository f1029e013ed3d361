"""Serves records to peers and fetches records from them.

VMs that do not read the store, or cannot reach it, get its records this way.
"""

from urllib import parse

import msgspec

from hornbeampier import clock as clocks
from hornbeampier import errors
from hornbeampier.http1 import client
from hornbeampier.http1 import messages as http
from hornbeampier.http1 import server
from hornbeampier.http1 import sockets
from hornbeampier.replication import messages
from hornbeampier.replication import replica

PATH = "/records"
CONNECT_TIMEOUT_MS = 500.0
CALL_TIMEOUT_MS = 2_000.0
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(messages.Batch)


class RelayHandler:
    """Serves the records of a topic to peers."""

    def __init__(self, replicas: dict[str, replica.TopicReplica]):
        self._replicas = replicas

    def respond(
        self, conn: server.ServerConnection, head: http.RequestHead
    ) -> None:
        """Responds to `GET /records?topic=TOPIC&from=OFFSET`."""
        query = parse.parse_qs(parse.urlsplit(head.target.decode()).query)
        topic_replica = self._replicas.get(query.get("topic", [""])[0])
        offset = query.get("from", ["0"])[0]
        if (
            topic_replica is None
            or topic_replica.offset is None
            or not offset.isdecimal()
        ):
            conn.respond(404, [(b"Content-Length", b"0")], b"")
            return
        body = _encoder.encode(topic_replica.records_since(int(offset)))
        conn.respond(200, [(b"Content-Length", b"%d" % len(body))], body)


def fetch(
    host: str, port: int, topic: str, offset: int, clock: clocks.Clock
) -> messages.Batch:
    """Fetches the records of a topic from `offset` on from a peer.

    Raises:
        errors.PlatformError: The peer cannot be reached, does not have the
            topic, or sent an unreadable response.
    """
    query = parse.urlencode({"topic": topic, "from": offset})
    head = http.RequestHead(
        b"GET", f"{PATH}?{query}".encode(), ((b"host", host.encode()),)
    )
    deadline_ms = clock.now() + CALL_TIMEOUT_MS
    try:
        sock = sockets.connect(host, port, CONNECT_TIMEOUT_MS)
    except OSError as exc:
        raise errors.PlatformError(
            f"cannot connect to peer {host}: {exc}"
        ) from exc
    conn = client.ClientConnection(sock, clock)
    try:
        response = conn.call(head, deadline_ms)
    except client.TRANSPORT_ERRORS as exc:
        raise errors.PlatformError(
            f"no complete response from peer {host}: {exc}"
        ) from exc
    finally:
        conn.close()
    return _decode(host, response)


def _decode(host: str, response: client.CompleteResponse) -> messages.Batch:
    if response.status != 200:
        raise errors.PlatformError(
            f"peer {host} responded with status {response.status}"
        )
    try:
        return _decoder.decode(response.body)
    except errors.DECODE_ERRORS as exc:
        raise errors.PlatformError(
            f"unreadable records from peer {host}: {exc}"
        ) from exc
