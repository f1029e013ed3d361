"""Finds folded lines in the heads of responses.

A line that begins with a blank is the rest of the value before it. h11 joins
the two; RFC 9112, section 5.2 also lets a gateway refuse the response.
"""

import re

_HEAD_END = re.compile(rb"\n\r?\n")
_FOLDED_LINE = re.compile(rb"\n[ \t]")


class FoldedLineCheck:
    """Reads the heads of one response along with the parser.

    Interim heads may come before the final one.
    """

    def __init__(self, data: bytes = b""):
        """Begins a response.

        Args:
            data: Input that has arrived already.
        """
        self._data = bytearray(data)
        self._is_final = False

    def feed(self, data: bytes) -> None:
        """Takes the input that the parser receives."""
        if not self._is_final:
            self._data += data

    def end_head(self, is_final: bool) -> bool:
        """Returns whether the head that the parser has read has a folded line.

        Args:
            is_final: Whether the body follows, not another head.
        """
        end = _HEAD_END.search(self._data).end()
        has_folded_line = _FOLDED_LINE.search(self._data, 0, end) is not None
        self._is_final = is_final
        if is_final:
            self._data.clear()
        else:
            del self._data[:end]
        return has_folded_line
