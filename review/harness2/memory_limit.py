"""Ends processes that exceed their memory, in the platform's place."""

import asyncio
import pathlib
import resource
import signal

MEMORY_MB = 150
# The rule: on a tenth of the machines, two at least, three times in the day.
MACHINES, TIMES = 2, 3
RESTART_S = 0.5
# State of a listening socket in /proc/net/tcp.
LISTENING = "0A"


def peak_kb(router):
    """The peak memory of a router's process; 0 once it has ended."""
    path = pathlib.Path(f"/proc/{router.process.pid}/status")
    try:
        lines = path.read_text().splitlines()
    except OSError:
        # The process has ended and is about to start again.
        return 0
    peaks = [int(s.split()[1]) for s in lines if s.startswith("VmHWM:")]
    return peaks[0] if peaks else 0


def resident_kb(router):
    """The present memory of a router's process; 0 once it has ended."""
    path = pathlib.Path(f"/proc/{router.process.pid}/statm")
    try:
        pages = int(path.read_text().split()[1])
    except OSError:
        # The process has ended and is about to start again.
        return 0
    return pages * resource.getpagesize() // 1024


def unread_kb(router):
    """What a router's clients have sent and its process has not read."""
    host, port = router.address
    octets = (f"{int(octet):02X}" for octet in reversed(host.split(".")))
    local = f"{''.join(octets)}:{port:04X}"
    total = 0
    for row in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = row.split()
        # The queue of a listening socket counts connections.
        if fields[1] == local and fields[3] != LISTENING:
            total += int(fields[4].partition(":")[2], 16)
    return total // 1024


def held_kb(router):
    """What counts towards a machine's memory: unread bytes, too."""
    resident = resident_kb(router)
    return resident + unread_kb(router) if resident else 0


async def enforce_memory(place, router, ends, measure=peak_kb):
    """Kills a process that exceeds its memory and starts it again."""
    while True:
        await asyncio.sleep(0.02)
        peak = measure(router)
        if peak > MEMORY_MB * 1024:
            place.record("over the limit:", router.name, peak, "kB")
            ends[router.name] += 1
            router.signal(signal.SIGKILL)
            await router.process.wait()
            await asyncio.sleep(RESTART_S)
            await router.start()


async def wait_ready(router):
    """Waits until a process that was started again is ready."""
    for _ in range(100):
        if await router.is_ready():
            return
        await asyncio.sleep(0.1)
    raise RuntimeError(f"{router.name} did not become ready")


def is_broken(place, ends):
    """Whether the processes of enough machines ended often enough."""
    place.record("processes that ended for their memory:", ends)
    print(f"{sum(ends.values())} processes exceeded {MEMORY_MB} MB")
    often = [name for name, count in ends.items() if count >= TIMES]
    return len(often) >= MACHINES
