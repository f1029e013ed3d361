"""Translates crashes and blocks to the types of gossip messages."""

from collections.abc import Iterable

from hornbeampier import clock as clocks
from hornbeampier.peers import messages
from hornbeampier.routing import crash_blocks
from hornbeampier.routing import crashes


def to_pairs(
    crashes_to_send: Iterable[crashes.Crash],
) -> tuple[messages.Crash, ...]:
    """Returns crashes as VMs of versions without reports read them."""
    return tuple(
        messages.Crash(crash.suspect, crash.incarnation)
        for crash in crashes_to_send
    )


def to_reports(
    crashes_to_send: Iterable[crashes.Crash],
) -> messages.CrashReports:
    """Returns the wire type of crashes, by incarnation."""
    digests: dict[str, list[bytes]] = {}
    for crash in crashes_to_send:
        digest = bytes.fromhex(crash.suspect)
        digests.setdefault(crash.incarnation, []).append(digest)
    return {incarnation: tuple(d) for incarnation, d in digests.items()}


def of_reports(reports: messages.CrashReports) -> list[crashes.Crash]:
    """Returns the crashes in reports."""
    return [
        crashes.Crash(digest.hex(), incarnation)
        for incarnation, digests in reports.items()
        for digest in digests
    ]


def to_ages(
    crashes_to_send: Iterable[crashes.Crash], history: crashes.CrashHistory
) -> dict[str, int]:
    """Returns the time in ms since each crash, by incarnation."""
    return {
        crash.incarnation: round(history.age_ms(crash))
        for crash in crashes_to_send
    }


def to_block_reports(
    history: crashes.CrashHistory, clock: clocks.Clock
) -> tuple[messages.BlockReport, ...]:
    """Returns the wire type of what was blocked last."""
    now_ms = clock.now()
    return tuple(
        messages.BlockReport(
            tuple(bytes.fromhex(s) for s in sorted(block.suspects)),
            block.count,
            block.incarnation,
            max(0, round(now_ms - block.crashed_ms)),
        )
        for block in history.blocks_to_gossip()
    )


def apply(
    message: messages.StateMessage,
    history: crashes.CrashHistory,
    clock: clocks.Clock,
) -> None:
    """Records the crashes and blocks in a message of a peer."""
    for crash in of_reports(message.cleared_reports):
        history.clear(crash)
    for crash in of_reports(message.crash_reports):
        age_ms = message.crash_ages_ms.get(crash.incarnation, 0)
        history.record(crash, age_ms)
    for pair in message.crashes:
        history.record(crashes.Crash(pair.suspect, pair.incarnation))
    for report in message.blocks:
        history.record_block(
            crash_blocks.Block(
                frozenset(digest.hex() for digest in report.suspects),
                report.count,
                report.incarnation,
                clock.now() - report.age_ms,
            )
        )
