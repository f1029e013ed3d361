"""A request with a long path makes a router exceed its memory."""

import asyncio
import os
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "harness2"))

import deployment  # noqa: E402
import memory_limit  # noqa: E402
import take_up  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ROUTERS = 3
# Of the head's 16,384 bytes, which `limits.headerBytes` allows.
PATH_BYTES = 16_000


async def call(place, router, number):
    """Makes a client's request to one router."""
    path = "/guidance/" + ("/" * (PATH_BYTES - 10) if TROUBLE else "x")
    fields = {
        "X-Hornbeampier-Attempt-Id": f"{router.name}-{number}",
        "X-Hornbeampier-Deadline-Ms": "6000",
        "X-Hornbeampier-Model": "m",
        "X-Hornbeampier-Token-Usage": "1460,240",
    }
    place.record("sent:", router.name, "a path of", len(path), "bytes")
    answer = await deployment.send(
        router.address, "POST", path, fields, b"x" * 500
    )
    await asyncio.sleep(0.1)
    place.record(
        "answered:", router.name, answer.status, answer.complete, answer.error
    )
    if router.process.returncode is None:
        place.record(
            "peak memory:", router.name, memory_limit.peak_kb(router), "kB"
        )


async def main():
    """Plays the case; returns the exit code."""
    place = await take_up.start(
        ROUTERS,
        [take_up.make_route(2)],
        HERE / "record.txt",
        memoryMb=memory_limit.MEMORY_MB,
    )
    ends = {router.name: 0 for router in place.routers}
    watches = [
        asyncio.create_task(memory_limit.enforce_memory(place, router, ends))
        for router in place.routers
    ]
    try:
        for router in place.routers:
            place.record(
                "at start:", router.name, memory_limit.peak_kb(router), "kB"
            )
        for number in range(memory_limit.TIMES):
            for router in place.routers[: memory_limit.MACHINES]:
                await memory_limit.wait_ready(router)
                await call(place, router, number)
        for run in place.runs():
            place.record("server:", *(word[:60] for word in run))
        is_broken = memory_limit.is_broken(place, ends)
        return deployment.BROKEN if is_broken else deployment.HELD
    finally:
        for watch in watches:
            watch.cancel()
        await asyncio.gather(*watches, return_exceptions=True)
        await place.close()


sys.exit(asyncio.run(deployment.run(main)))
