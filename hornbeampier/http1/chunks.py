"""Decodes request bodies that are sent in chunks.

The parser is httptools, as heads are left to h11: a chunk of one byte costs it
a hundredth of the time.
"""

import httptools

# The parser is made to expect a body by this head, which nobody has sent.
HEAD = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
PARSER_ERRORS = (httptools.HttpParserError, httptools.HttpParserUpgrade)
# Most bytes that are passed to `ChunkDecoder.feed` at once.
MAX_FEED_BYTES = 65_536


class MalformedChunksError(Exception):
    """The body is not framed in chunks as RFC 9112 says."""


class ChunkDecoder:
    """Decodes one body.

    Input that follows the body is dropped, as the parser does not tell where
    it begins.
    """

    def __init__(self, max_framing_bytes: int):
        """Makes a decoder.

        Args:
            max_framing_bytes: Most bytes of a line with the size of a chunk,
                and of all trailer fields together.
        """
        self._max_framing_bytes = max_framing_bytes
        self._content = bytearray()
        self._events = _Events(self._content)
        self._parser = httptools.HttpRequestParser(self._events)
        self._parser.feed_data(HEAD)
        self._events.trailer_bytes = 0
        self._silent_bytes = 0

    @property
    def is_complete(self) -> bool:
        """Whether the end of the body has arrived."""
        return self._events.is_complete

    @property
    def has_more(self) -> bool:
        """Whether input has followed the body."""
        return self._events.has_more

    def feed(self, data: bytes) -> bytes:
        """Returns the part of the body that `data` contains.

        Raises:
            MalformedChunksError: The framing is malformed or too long.
        """
        trailer_bytes = self._events.trailer_bytes
        try:
            self._parser.feed_data(data)
        except PARSER_ERRORS as exc:
            if not self.is_complete:
                raise MalformedChunksError(str(exc)) from exc
            # What has followed the body is no request.
            self._events.has_more = True
        content = bytes(self._content[: self._events.body_end])
        self._content.clear()
        if not self.is_complete:
            is_silent = trailer_bytes == self._events.trailer_bytes
            self._check_framing(len(data) if is_silent else 0, bool(content))
        return content

    def _check_framing(self, silent_bytes: int, has_content: bool) -> None:
        """Bounds what is read without a part of the body."""
        if has_content or not silent_bytes:
            self._silent_bytes = 0
        self._silent_bytes += silent_bytes
        if self._silent_bytes > self._max_framing_bytes + MAX_FEED_BYTES:
            raise MalformedChunksError("the framing of a chunk is too long")
        if self._events.trailer_bytes > self._max_framing_bytes:
            raise MalformedChunksError("the trailer fields are too long")


class _Events:
    """What the parser reports.

    Attributes:
        body_end: Where the body ends in the content of a call of `feed`; None
            if it does not end there.
        trailer_bytes: Size of the names and values of trailer fields.
    """

    def __init__(self, content: bytearray):
        self._content = content
        self.on_body = content.extend
        self.body_end: int | None = None
        self.is_complete = False
        self.has_more = False
        self.trailer_bytes = 0

    def on_message_begin(self) -> None:
        """Another request begins, unless it is the first."""
        self.has_more = self.is_complete

    def on_header(self, name: bytes, value: bytes) -> None:
        """A trailer field has arrived, or the field of the parser's head."""
        self.trailer_bytes += len(name) + len(value or b"")

    def on_message_complete(self) -> None:
        """The end of the body has arrived."""
        if not self.is_complete:
            self.is_complete = True
            self.body_end = len(self._content)
