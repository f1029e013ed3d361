"""Client of the platform's API for duties."""

from hornbeampier import application
from hornbeampier.duties import terms


class DutyApiClient(application.BaseComponent):
    """A client with one connection, for one call at a time."""

    def report_usage(
        self, term: terms.Term, window: int, counts: dict[str, int]
    ) -> terms.Outcome:
        """Reports the requests of each client account in a window."""
        return terms.Outcome.UNKNOWN

    def order_endpoints(
        self, term: terms.Term, order: terms.EndpointOrder
    ) -> terms.Outcome:
        """Orders a number of endpoints."""
        return terms.Outcome.UNKNOWN
