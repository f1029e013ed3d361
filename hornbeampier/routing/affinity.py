"""Prefix affinity: prompts with equal shared segments prefer the same engines.

All VMs rank the engines for a key alike, by rendezvous hashing.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import functools

from hornbeampier.routing import domain
from hornbeampier.routing import rendezvous

# Number of rankings that are kept, by key and engines.
MAX_RANKINGS = 256


def shared_tokens(prompt: domain.Prompt) -> int:
    """Returns the number of tokens in segments that other prompts may share."""
    return sum(segment.tokens for segment in prompt.shared_segments)


def preferred_engines(
    prompt: domain.Prompt, endpoint_ids: Iterable[str], count: int
) -> Sequence[str]:
    """Returns the `count` engines that rank first for the shared segments.

    Only the last shared segment counts. The ranking is the same for all prompts
    without shared segments.
    """
    segments = prompt.shared_segments
    key = segments[-1].id if segments else ""
    return _rank(key, tuple(endpoint_ids), count)


# Prompts with the same segments recur, and engines change seldom.
_rank = functools.lru_cache(maxsize=MAX_RANKINGS)(rendezvous.rank)
