"""The endpoints that one request must not use."""

from collections.abc import Callable

from hornbeampier import attempts
from hornbeampier import request_info
from hornbeampier.endpoints import registry
from hornbeampier.policy import suspects


class ExcludedEndpoints:
    """Endpoints that a request must not use, evaluated at each `in` test."""

    def __init__(
        self,
        info: request_info.RequestInfo,
        progress: attempts.Progress,
        suspects: suspects.Suspects,
        endpoints: registry.Registry,
        has_alternative: Callable[[attempts.Progress, str], bool],
    ):
        """Creates the set of one request.

        Args:
            info: The request.
            progress: Its attempts so far.
            suspects: Requests that may crash endpoints.
            endpoints: All endpoints.
            has_alternative: Whether an endpoint of a target that has not failed
                may go on with the response.
        """
        self._info = info
        self._progress = progress
        self._endpoints = endpoints
        self._kv_cache_holder = progress.kv_cache_holder
        self._suspects = suspects
        self._has_alternative = has_alternative

    def __contains__(self, name: str) -> bool:
        """Whether the request must not use the endpoint of this name now."""
        if self._is_cached_elsewhere(name) or self._runs_other_version(name):
            return True
        if name in self._progress.failed_endpoints and self._has_alternative(
            self._progress, self._info.target
        ):
            return True
        return self._suspects.must_avoid(self._info, name)

    def _runs_other_version(self, name: str) -> bool:
        state = self._endpoints.find(name)
        version = self._progress.software_version
        return state is not None and not state.may_run(version)

    def _is_cached_elsewhere(self, name: str) -> bool:
        """Returns whether another endpoint has the KV cache and a free slot."""
        holder = self._kv_cache_holder
        if holder is None or holder.name == name:
            return False
        return holder.in_flight < holder.cfg.slots
