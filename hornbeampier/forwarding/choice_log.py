"""The log line on the endpoint that a request is sent to."""

import structlog

from hornbeampier import bounds
from hornbeampier.forwarding import context as contexts
from hornbeampier.routing import endpoint_choice
from hornbeampier.routing import requests


def log_choice(
    log: structlog.typing.FilteringBoundLogger,
    context: contexts.Context,
    req: requests.Request,
    choice: endpoint_choice.EndpointChoice,
    attempt: int,
    withheld: dict[str, str],
    after_event: str | None,
) -> None:
    """Logs a choice, and what was known when it was made.

    Args:
        log: The logger of the request.
        context: The components that all requests share.
        req: The request.
        choice: The chosen endpoint.
        attempt: Number of the attempt.
        withheld: Endpoints that may not get the request, and why.
        after_event: Id of the last event passed on, or None.
    """
    prompt = req.prompt
    resumed = req.resumed
    loads_age_ms = context.peer_loads.age_ms()
    entries_age_ms = context.entries.age_ms(context.clock.now())
    log.info(
        "routed",
        endpoint=choice.state.id,
        software=choice.state.endpoint.software_version,
        route=req.route.name,
        urgency=req.urgency,
        attempt=attempt,
        wait_ms=round(choice.wait_ms),
        speed_factor=round(choice.speed_factor, 2),
        prefill_tokens=round(choice.prefill_tokens),
        fetch_from=choice.fetch_from and choice.fetch_from.id,
        prompt_tokens=prompt.input_tokens if prompt else None,
        in_flight=choice.state.in_flight,
        withheld=withheld or None,
        resumes=resumed and resumed.request_id,
        after_event=after_event or (resumed and resumed.last_event_id),
        version=context.catalog.version,
        loads_age_ms=None if loads_age_ms is None else round(loads_age_ms),
        entries_age_ms=round(min(entries_age_ms, bounds.MAX_MS)),
    )
