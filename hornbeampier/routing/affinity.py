"""Prefix affinity: prompts that share segments go to the same engine.

Uses rendezvous hashing. All VMs rank the engines for a key identically without
exchanging messages, and adding or removing an engine moves only its own keys.
"""

from collections.abc import Iterable
import heapq

from hornbeampier.routing import domain
from hornbeampier.routing import route_table


def shared_tokens(prompt: domain.Prompt) -> int:
    """Returns the number of tokens in segments that other prompts may share."""
    return sum(part.tokens for part in prompt.shared_segments)


def preferred(
    prompt: domain.Prompt, endpoint_ids: Iterable[str], count: int
) -> list[str]:
    """Returns the `count` engines that rank first for the shared segments."""
    parts = prompt.shared_segments
    key = parts[-1].id if parts else ""
    return heapq.nlargest(
        count,
        endpoint_ids,
        key=lambda eid: route_table.uniform_hash(f"{key}/{eid}"),
    )
