"""Keeps one stream at the software version of the endpoint that began it."""

from hornbeampier import errors
from hornbeampier.forwarding import begin_proof
from hornbeampier.forwarding import endpoint_attempt
from hornbeampier.forwarding import resumption
from hornbeampier.forwarding import selection
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
        proof: begin_proof.BeginProof,
    ):
        """Creates a guard.

        Args:
            req: The request.
            origin: Where the stream began that the request takes up, or None.
            resumption: Records where the stream begins.
            proof: Proves which process has begun the stream.
        """
        self._req = req
        self._resumption = resumption
        self._proof = proof
        self._unproved: domain.Endpoint | None = None
        # The process that began the stream, if it has told.
        self._process: domain.ProcessId | None = None
        self.version = None if origin is None else origin.version

    def record_begin(self, attempt: endpoint_attempt.EndpointAttempt) -> None:
        """Records that the first event of an attempt is to be passed on."""
        endpoint = attempt.endpoint
        if self.version is None:
            self._unproved = endpoint
            self._process = attempt.process
        self.version = endpoint.software_version
        self._resumption.record_begin(self._req, endpoint, attempt.process)

    def is_proved(self) -> bool:
        """Whether it is proved which version began the stream, if one has."""
        if self._unproved is None:
            return True
        if not self._proof.is_proved(
            self._unproved, self._process, self._req.deadline_ms
        ):
            return False
        self._unproved = None
        return True

    def prove_version(self) -> str | None:
        """Returns `version` for the next attempt.

        Raises:
            selection.NoEndpointError: Another version may have begun the
                stream.
        """
        if not self.is_proved():
            raise selection.NoEndpointError(
                errors.RefusalCode.STREAM_ORIGIN_UNKNOWN,
                f"endpoint {self._unproved.id}, which began the stream, may "
                "have started again with another software version",
            )
        return self.version
