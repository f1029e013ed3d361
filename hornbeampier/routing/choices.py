"""What was chosen for a request, and what is expected of it."""

import dataclasses

from hornbeampier.routing import fleet
from hornbeampier.routing import model


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """An endpoint and why it was chosen.

    Attributes:
        wait_ms: Expected time until the first event.
        expected_ms: Time of the answer against which the endpoint's speed is
            measured; None if it is not measured.
        prefill_tokens: Prompt tokens that the endpoint has to read.
        reading_share: Part of its time that the endpoint reads prompts.
        missing_ms: Time to read all of the prompt that it does not keep.
        fetch_from: An engine from which it can fetch cached parts, or None.
    """

    state: fleet.EndpointState
    wait_ms: float = 0.0
    expected_ms: float | None = None
    prefill_tokens: float = 0.0
    missing_ms: float = 0.0
    reading_share: float = 0.0
    fetch_from: model.Endpoint | None = None
