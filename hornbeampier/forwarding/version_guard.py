"""Keeps a stream at the software version of the endpoint that began it.

What endpoints of two software versions write does not fit together, and
endpoints do not check this.
"""

from hornbeampier.routing import domain


class VersionGuard:
    """Tells at which software version one request may go on.

    Attributes:
        version: Version that all further attempts need, or None for any.
    """

    def __init__(self):
        self.version: str | None = None

    def record_begin(self, endpoint: domain.Endpoint) -> None:
        """Records that the first event of an endpoint is to be passed on."""
        self.version = endpoint.software_version
