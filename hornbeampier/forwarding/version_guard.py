"""Keeps one stream at the software version of the endpoint that began it."""

from hornbeampier.forwarding import resumption
from hornbeampier.routing import domain
from hornbeampier.routing import requests
from hornbeampier.routing import stream_origins


class VersionGuard:
    """Tells at which software version a request may go on.

    Attributes:
        version: Version that all further attempts need, or None for any.
    """

    def __init__(
        self,
        req: requests.Request,
        origin: stream_origins.Origin | None,
        resumption: resumption.Resumption,
    ):
        """Creates a guard.

        Args:
            req: The request.
            origin: Where the stream began that the request takes up, or None.
            resumption: Records where the stream begins.
        """
        self._req = req
        self._resumption = resumption
        self.version = None if origin is None else origin.version

    def record_begin(self, endpoint: domain.Endpoint) -> None:
        """Records that the first event of an endpoint is to be passed on."""
        self.version = endpoint.software_version
        self._resumption.record_begin(self._req, endpoint)
