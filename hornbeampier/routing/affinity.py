"""Sends prompts with equal parts to the same engine.

Rendezvous hashing: every VM ranks the engines of a key alike without any
message, and an engine that comes or goes moves only its own share of the keys.
"""

from collections.abc import Iterable
import heapq

from hornbeampier.routing import model
from hornbeampier.routing import table


def shared_tokens(prompt: model.Prompt) -> int:
    """Returns the tokens of the parts that other prompts may share."""
    return sum(part.tokens for part in prompt.shared_parts)


def preferred(
    prompt: model.Prompt, endpoint_ids: Iterable[str], count: int
) -> list[str]:
    """Returns the engines that should keep the prompt's shared parts."""
    parts = prompt.shared_parts
    key = parts[-1].id if parts else ""
    return heapq.nlargest(
        count, endpoint_ids, key=lambda eid: table.uniform(f"{key}/{eid}")
    )
