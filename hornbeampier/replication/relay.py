"""Serves records to peers and fetches records from them.

VMs that do not read the store, or cannot reach it, get its records this way. A
record may be large and the link of a VM slow: records are compressed, and a VM
serves few peers at once. The others soon find one of these to be a source.
"""

from urllib import parse
import zlib

import gevent
import msgspec

from hornbeampier import clock as clocks
from hornbeampier import errors
from hornbeampier.http1 import client
from hornbeampier.http1 import messages as http
from hornbeampier.http1 import server
from hornbeampier.http1 import sockets
from hornbeampier.replication import messages
from hornbeampier.replication import positions
from hornbeampier.replication import replica

PATH = "/records"
CONNECT_TIMEOUT_MS = 500.0
CALL_TIMEOUT_MS = 2_000.0
# Number of peers that a VM sends records to at once. Sent to all at once, none
# would have them soon.
MAX_TRANSFERS = 12
CODING = b"deflate"
COMPRESSION_LEVEL = 1
# The records of the largest deployment have 3 MB; larger bodies are refused, as
# sent and after decompression.
MAX_SENT_BYTES = 4 * 1024 * 1024
MAX_BODY_BYTES = 8 * 1024 * 1024
BUSY_STATUS = 503
# Longer numbers in a query are malformed.
MAX_DIGITS = 19
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(messages.Batch)


class PeerBusyError(errors.PlatformError):
    """The peer sends records to others at the moment."""


class RelayHandler:
    """Serves the records of a topic to peers."""

    def __init__(self, replicas: dict[str, replica.TopicReplica]):
        self._replicas = replicas
        self._transfers = 0

    def respond(
        self, conn: server.ServerConnection, head: http.RequestHead
    ) -> None:
        """Responds to `GET /records?topic=TOPIC&from=OFFSET&era=ERA`."""
        query = dict(
            parse.parse_qsl(parse.urlsplit(head.target.decode("latin-1")).query)
        )
        topic_replica = self._replicas.get(query.get("topic", ""))
        if topic_replica is None or topic_replica.position is None:
            conn.respond(404, [(b"Content-Length", b"0")], b"")
            return
        position = _decode_position(query, topic_replica.era)
        if position is None:
            conn.respond(404, [(b"Content-Length", b"0")], b"")
            return
        if self._transfers >= MAX_TRANSFERS:
            conn.respond(BUSY_STATUS, [(b"Content-Length", b"0")], b"")
            return
        self._transfers += 1
        try:
            body = _encoder.encode(topic_replica.records_since(position))
            _respond(conn, head, body)
        finally:
            self._transfers -= 1


def _respond(
    conn: server.ServerConnection, head: http.RequestHead, body: bytes
) -> None:
    """Writes the records; peers of earlier versions get them uncompressed."""
    headers = []
    if CODING in (head.get(b"accept-encoding") or b""):
        body = zlib.compress(body, COMPRESSION_LEVEL)
        headers.append((b"Content-Encoding", CODING))
    headers.append((b"Content-Length", b"%d" % len(body)))
    conn.respond(200, headers, body)
    # The transfer ends when the peer has read the records, not when they are
    # in the buffers of a slow link.
    with gevent.Timeout(CALL_TIMEOUT_MS / clocks.MS_PER_SECOND, False):
        conn.linger()


def _decode_position(
    query: dict[str, str], own_era: int
) -> positions.Position | None:
    """Returns the position in a query, or None if it is malformed.

    Peers of earlier versions name no era.
    """
    offset = query.get("from", "0")
    era = query.get("era", str(own_era))
    for number in (offset, era):
        if not number.isdecimal() or len(number) > MAX_DIGITS:
            return None
    return positions.Position(int(era), int(offset), "carried" in query)


def fetch(
    host: str,
    port: int,
    topic: str,
    position: positions.Position,
    clock: clocks.Clock,
) -> messages.Batch:
    """Fetches the records of a topic from a position on from a peer.

    Raises:
        PeerBusyError: The peer has to be asked again later.
        errors.PlatformError: The peer cannot be reached, does not have the
            topic, or sent an unreadable response.
    """
    query = {"topic": topic, "from": position.offset, "era": position.era}
    if position.carried:
        query["carried"] = 1
    head = http.RequestHead(
        b"GET",
        f"{PATH}?{parse.urlencode(query)}".encode(),
        ((b"host", host.encode()), (b"accept-encoding", CODING)),
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
        response = conn.call(head, deadline_ms, MAX_SENT_BYTES)
    except client.TRANSPORT_ERRORS as exc:
        raise errors.PlatformError(
            f"no complete response from peer {host}: {exc}"
        ) from exc
    finally:
        conn.close()
    return _decode(host, response)


def _decode(host: str, response: client.CompleteResponse) -> messages.Batch:
    if response.status == BUSY_STATUS:
        raise PeerBusyError(f"peer {host} is busy")
    if response.status != 200:
        raise errors.PlatformError(
            f"peer {host} responded with status {response.status}"
        )
    try:
        return _decoder.decode(_decompress(response))
    except (*errors.DECODE_ERRORS, zlib.error) as exc:
        raise errors.PlatformError(
            f"unreadable records from peer {host}: {exc}"
        ) from exc


def _decompress(response: client.CompleteResponse) -> bytes:
    if response.head.get(b"content-encoding") != CODING:
        return response.body
    decompressor = zlib.decompressobj()
    body = decompressor.decompress(response.body, MAX_BODY_BYTES)
    if not decompressor.eof:
        raise zlib.error("the body is too large or incomplete")
    return body
