"""Which suspects run at which endpoints of this VM; see `suspects`."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses


@dataclasses.dataclass
class IsolatedRun:
    """A run for which a suspect should have its endpoint alone.

    Attributes:
        fingerprint: The suspect's fingerprint.
        shared: Whether another request was at the endpoint nevertheless.
    """

    fingerprint: str
    shared: bool


class SuspectRuns:
    """The current runs of suspects, by the name of their endpoint."""

    def __init__(self, on_change: Callable[[], None]):
        self._on_change = on_change
        self._fingerprints: dict[str, list[str]] = {}
        self._isolated_runs: dict[str, IsolatedRun] = {}

    @contextlib.contextmanager
    def add(
        self, fingerprint: str, name: str, isolated_run: IsolatedRun | None
    ) -> Iterator[None]:
        """Records that a suspect runs at an endpoint, until the context ends.

        Args:
            fingerprint: The suspect's fingerprint.
            name: The endpoint's name.
            isolated_run: The run, if it should have the endpoint alone.
        """
        if isolated_run is not None:
            self._isolated_runs[name] = isolated_run
        fingerprints = self._fingerprints.setdefault(name, [])
        fingerprints.append(fingerprint)
        self._on_change()
        try:
            yield
        finally:
            fingerprints.remove(fingerprint)
            if not fingerprints:
                self._fingerprints.pop(name, None)
            self._on_change()
            if isolated_run is not None:
                self._isolated_runs.pop(name, None)

    def mark_shared(self, name: str) -> None:
        """Records that a request joins any isolated run at an endpoint."""
        isolated_run = self._isolated_runs.get(name)
        if isolated_run is not None:
            isolated_run.shared = True

    def find_isolated(self, fingerprint: str, name: str) -> IsolatedRun | None:
        """Returns a suspect's isolated run at an endpoint, or None."""
        isolated_run = self._isolated_runs.get(name)
        if isolated_run is None or isolated_run.fingerprint != fingerprint:
            return None
        return isolated_run

    def has_other(self, fingerprint: str, name: str) -> bool:
        """Returns whether another suspect runs at an endpoint."""
        return any(f != fingerprint for f in self._fingerprints.get(name, ()))

    def endpoints(self) -> tuple[str, ...]:
        """Returns the endpoints at which suspects run."""
        return tuple(self._fingerprints)
