"""Prefix affinity: prompts with equal shared segments prefer the same engines.

All VMs rank the engines for a key alike, by rendezvous hashing.
"""

from collections.abc import Iterable

from hornbeampier.routing import domain
from hornbeampier.routing import rendezvous


def shared_tokens(prompt: domain.Prompt) -> int:
    """Returns the number of tokens in segments that other prompts may share."""
    return sum(segment.tokens for segment in prompt.shared_segments)


def preferred_engines(
    prompt: domain.Prompt, endpoint_ids: Iterable[str], count: int
) -> list[str]:
    """Returns the `count` engines that rank first for the shared segments.

    Only the last shared segment counts. The ranking is the same for all prompts
    without shared segments.
    """
    segments = prompt.shared_segments
    key = segments[-1].id if segments else ""
    return rendezvous.rank(key, endpoint_ids, count)
