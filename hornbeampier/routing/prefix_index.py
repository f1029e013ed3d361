"""Finds the configured prefixes of a path."""

SEPARATOR = "/"


class _Node:
    """A segment of prefixes; `prefix` is None if none ends with it."""

    __slots__ = ("children", "prefix")

    def __init__(self):
        self.children: dict[str, _Node] = {}
        self.prefix: str | None = None


class PrefixIndex:
    """A tree of path prefixes for each host.

    A search follows a path no further than the prefixes reach, so its time and
    memory are bounded by the configured prefixes, not by the path.
    """

    def __init__(self):
        self._roots: dict[str, _Node] = {}

    def add(self, host: str, prefix: str) -> None:
        """Adds a prefix of a host; does nothing if it is known.

        One that does not end with a slash is never found.
        """
        node = self._roots.setdefault(host.lower(), _Node())
        if not prefix.endswith(SEPARATOR):
            return
        for segment in prefix.split(SEPARATOR)[:-1]:
            node = node.children.setdefault(segment, _Node())
        node.prefix = prefix

    def find(self, host: str, path: str) -> list[str]:
        """Returns the prefixes that begin the path, longest first."""
        node = self._roots.get(host.lower())
        found: list[str] = []
        begin = 0
        while node is not None:
            if node.prefix is not None:
                found.append(node.prefix)
            end = path.find(SEPARATOR, begin)
            if end < 0:
                break
            node = node.children.get(path[begin:end])
            begin = end + 1
        found.reverse()
        return found
