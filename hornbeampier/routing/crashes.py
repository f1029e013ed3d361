"""Requests and prompt segments that crash the endpoints that begin on them.

Callers retry a crashing request, and send others with the same segment, through
any VM. Each VM therefore gossips which requests and segments had just begun on
an endpoint when it crashed. Those that explain several crashes are blocked.

Whatever has been served is not to blame for the crashes before: equal requests
may be frequent, and most segments that a crashing prompt holds are sound.
"""

from collections.abc import Callable
from collections.abc import Collection
import dataclasses
import math

import structlog

from hornbeampier import clock as clocks
from hornbeampier.routing import crash_blocks
from hornbeampier.routing import crash_suspects

# A crash is forgotten after this time, unless its suspect is blocked.
RETENTION_MS = 120_000.0
# A block ends this time after the last crash.
BLOCK_RETENTION_MS = 3_600_000.0
EXPIRY_INTERVAL_MS = 1_000.0
# A crash is gossiped for this time.
GOSSIP_MS = 2_500.0
# Peers hear that a request was cleared only if it had at least this number of
# crashes: one alone blocks nothing. That a segment was served they always hear,
# as each of them may count other crashes.
MIN_GOSSIPED_CLEARED = 2
# Maximum number of crashes, and of blocks, that are gossiped at once.
MAX_GOSSIPED = 50
MAX_GOSSIPED_BLOCKS = 8
# Maximum numbers of suspects, of crashes of each, and of cleared crashes.
MAX_SUSPECTS = 512
MAX_CRASHES = 8
MAX_CLEARED = 2_048
# A trial without an outcome is repeated after this time, and one more VM may
# make it: the first may get no such request.
TRIAL_TIMEOUT_MS = 10_000.0

# Whether this VM is among the given number of VMs that try what a key names.
OwnsTrial = Callable[[str, int], bool]


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """A suspect had just begun on an endpoint when the endpoint crashed.

    Attributes:
        suspect: Digest of a request, equal for its retries, or of a segment.
        incarnation: Identifies the endpoint and its process.
    """

    suspect: str
    incarnation: str


def _own_all_trials(key: str, owners: int) -> bool:
    """Default of `owns_trial`: no other VM tries what is blocked."""
    return True


class CrashHistory:
    """Recent crashes, seen by this VM or by a peer, and what they block."""

    def __init__(
        self, clock: clocks.Clock, owns_trial: OwnsTrial = _own_all_trials
    ):
        self._clock = clock
        self._owns_trial = owns_trial
        # The suspects with the newest crashes come last.
        self._evidence: dict[str, crash_blocks.Crashes] = {}
        self._news_ms: dict[Crash, float] = {}
        self._served = crash_suspects.ServedSuspects()
        # When crashes were found not to be the fault of their suspect, and
        # those of them that peers are to hear of.
        self._cleared_ms: dict[Crash, float] = {}
        self._cleared_news_ms: dict[Crash, float] = {}
        self._blocks: list[crash_blocks.Block] = []
        self._has_changed = False
        self._tried_ms: dict[frozenset[str], float] = {}
        self._expired_ms = clock.now()
        self._log = structlog.get_logger(task="crashes")

    def record(self, crash: Crash, age_ms: float = 0.0) -> None:
        """Records a crash; one that is already known keeps its time."""
        self._record(crash, age_ms, 1)

    def record_block(self, block: crash_blocks.Block) -> None:
        """Records what a peer blocks and this VM may have missed."""
        age_ms = self._clock.now() - block.crashed_ms
        for suspect in block.suspects:
            crash = Crash(suspect, block.incarnation)
            if crash in self._cleared_ms:
                # The peer has not heard of it.
                self._cleared_news_ms[crash] = self._clock.now()
            else:
                self._record(crash, age_ms, block.count)

    def record_success(self, suspects: Collection[str]) -> None:
        """Records that a request with these suspects was served."""
        self._served.add(suspects)
        if not self._evidence:
            return
        for suspect in suspects:
            crashes = self._evidence.get(suspect, {})
            is_news = (
                crash_suspects.is_segment(suspect)
                or len(crashes) >= MIN_GOSSIPED_CLEARED
            )
            for incarnation in list(crashes):
                crash = Crash(suspect, incarnation)
                if is_news:
                    self.clear(crash)
                else:
                    self._forget(crash)

    def clear(self, crash: Crash) -> None:
        """Records that a suspect was served after a crash.

        So it is not to blame for this crash or any before. Peers hear of it.
        """
        now_ms = self._clock.now()
        self._served.add((crash.suspect,))
        crashes = self._evidence.get(crash.suspect, {})
        known = crashes.get(crash.incarnation)
        if known is not None:
            for incarnation, earlier in list(crashes.items()):
                if earlier.at_ms <= known.at_ms:
                    self._forget(Crash(crash.suspect, incarnation))
        self._forget(crash)
        self._cleared_news_ms.setdefault(crash, now_ms)

    @property
    def is_blocking(self) -> bool:
        """Whether any request is blocked."""
        self._expire()
        return bool(self._current_blocks())

    def is_blocked(self, suspects: Collection[str]) -> bool:
        """Whether a request with these suspects is blocked."""
        return self.find_block(suspects) is not None

    def find_block(
        self, suspects: Collection[str]
    ) -> crash_blocks.Block | None:
        """Returns what blocks a request with these suspects, or None."""
        self._expire()
        for block in self._current_blocks():
            if block.suspects.issubset(suspects):
                return block
        return None

    def take_trial(self, block: crash_blocks.Block) -> bool:
        """Whether a blocked request is to be sent to one endpoint.

        That tells whether it still crashes endpoints. One VM does so, and only
        a long time after the last crash.
        """
        now_ms = self._clock.now()
        if now_ms < block.trial_ms:
            return False
        tried_ms = self._tried_ms.get(block.suspects, -math.inf)
        if now_ms - tried_ms < TRIAL_TIMEOUT_MS:
            return False
        owners = 1 + int((now_ms - block.trial_ms) / TRIAL_TIMEOUT_MS)
        if not self._owns_trial("".join(sorted(block.suspects)), owners):
            return False
        self._tried_ms[block.suspects] = now_ms
        self._log.info("suspects_tried", suspects=sorted(block.suspects))
        return True

    def trial_in_ms(self, block: crash_blocks.Block) -> float:
        """Returns when a blocked request may be tried on one of the VMs."""
        return max(0.0, block.trial_ms - self._clock.now())

    def count(self, suspect: str) -> int:
        """Returns the number of crashes that speak against a suspect."""
        self._expire()
        crashes = self._evidence.get(suspect, {})
        return crash_blocks.count_crashes(
            suspect, crashes.values(), suspect in self._served
        )

    def blocks(self) -> list[crash_blocks.Block]:
        """Returns all that is blocked."""
        self._expire()
        return list(self._current_blocks())

    def blocks_to_gossip(self) -> list[crash_blocks.Block]:
        """Returns what was blocked last, for VMs that missed the crashes."""
        blocks = sorted(self.blocks(), key=lambda block: block.crashed_ms)
        return blocks[-MAX_GOSSIPED_BLOCKS:]

    def to_gossip(self) -> list[Crash]:
        """Returns the recent crashes, which are to be gossiped."""
        oldest_ms = self._clock.now() - GOSSIP_MS
        self._news_ms = {
            crash: at_ms
            for crash, at_ms in self._news_ms.items()
            if at_ms >= oldest_ms
        }
        return list(self._news_ms)[-MAX_GOSSIPED:]

    def age_ms(self, crash: Crash) -> float:
        """Returns the time since a known crash, or 0."""
        seen = self._evidence.get(crash.suspect, {}).get(crash.incarnation)
        return 0.0 if seen is None else self._clock.now() - seen.at_ms

    def cleared_to_gossip(self) -> list[Crash]:
        """Returns the crashes that were cleared recently."""
        oldest_ms = self._clock.now() - GOSSIP_MS
        recent = [
            crash
            for crash, at_ms in self._cleared_news_ms.items()
            if at_ms >= oldest_ms
        ]
        return recent[-MAX_GOSSIPED:]

    def _record(self, crash: Crash, age_ms: float, count: int) -> None:
        if crash in self._cleared_ms:
            return
        crashes = self._evidence.get(crash.suspect, {})
        known = crashes.get(crash.incarnation)
        if known is not None and known.count >= count:
            return
        if known is None:
            at_ms = self._clock.now() - age_ms
            self._news_ms[crash] = at_ms
        else:
            at_ms = known.at_ms
        crashes[crash.incarnation] = crash_blocks.SuspectCrash(at_ms, count)
        if len(crashes) > MAX_CRASHES:
            del crashes[min(crashes, key=lambda key: crashes[key].at_ms)]
        self._evidence.pop(crash.suspect, None)
        self._evidence[crash.suspect] = crashes
        if len(self._evidence) > MAX_SUSPECTS:
            self._drop_oldest()
        self._has_changed = True

    def _drop_oldest(self) -> None:
        """Drops a suspect to keep the bound, one that is not blocked if any."""
        blocked = self._blocked_suspects()
        unblocked = (s for s in self._evidence if s not in blocked)
        del self._evidence[next(unblocked, next(iter(self._evidence)))]

    def _forget(self, crash: Crash) -> None:
        self._cleared_ms.setdefault(crash, self._clock.now())
        self._news_ms.pop(crash, None)
        if len(self._cleared_ms) > MAX_CLEARED:
            oldest = next(iter(self._cleared_ms))
            del self._cleared_ms[oldest]
            self._cleared_news_ms.pop(oldest, None)
        crashes = self._evidence.get(crash.suspect)
        if crashes is None:
            return
        crashes.pop(crash.incarnation, None)
        if not crashes:
            del self._evidence[crash.suspect]
        self._has_changed = True

    def _current_blocks(self) -> list[crash_blocks.Block]:
        if not self._has_changed:
            return self._blocks
        self._has_changed = False
        previous = {block.suspects for block in self._blocks}
        self._blocks = crash_blocks.find(
            self._evidence, self._served.__contains__
        )
        current = {block.suspects for block in self._blocks}
        for block in self._blocks:
            if block.suspects not in previous:
                self._log.warning(
                    "suspects_blocked",
                    suspects=sorted(block.suspects),
                    crashes=block.count,
                    last=block.incarnation,
                )
        for suspects in previous - current:
            self._log.info("suspects_unblocked", suspects=sorted(suspects))
            self._tried_ms.pop(suspects, None)
        return self._blocks

    def _blocked_suspects(self) -> set[str]:
        return {s for block in self._blocks for s in block.suspects}

    def _expire(self) -> None:
        now_ms = self._clock.now()
        if now_ms - self._expired_ms < EXPIRY_INTERVAL_MS:
            return
        self._expired_ms = now_ms
        oldest_ms = now_ms - RETENTION_MS
        for times_ms in (
            self._cleared_ms,
            self._cleared_news_ms,
            self._news_ms,
        ):
            for crash in [c for c, ms in times_ms.items() if ms < oldest_ms]:
                del times_ms[crash]
        # What is to be blocked must not expire before.
        self._current_blocks()
        blocked = self._blocked_suspects()
        for suspect in list(self._evidence):
            self._expire_suspect(suspect, suspect in blocked)

    def _expire_suspect(self, suspect: str, is_blocked: bool) -> None:
        now_ms = self._clock.now()
        crashes = self._evidence[suspect]
        retention_ms = RETENTION_MS
        if is_blocked:
            if now_ms - _last_ms(crashes) < BLOCK_RETENTION_MS:
                return
            retention_ms = BLOCK_RETENTION_MS
        kept = {
            incarnation: crash
            for incarnation, crash in crashes.items()
            if now_ms - crash.at_ms < retention_ms
        }
        if len(kept) == len(crashes):
            return
        self._has_changed = True
        if kept:
            self._evidence[suspect] = kept
        else:
            del self._evidence[suspect]


def _last_ms(crashes: crash_blocks.Crashes) -> float:
    return max(crash.at_ms for crash in crashes.values())
