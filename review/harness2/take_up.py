"""What the cases with two software versions share.

A server is cut off from the store, crashes behind the cut and starts again
under its id with a newer version of its software. So its entry still names the
old version when it crashes once more, in the middle of streams.
"""

import asyncio
import collections
import os
import random

import deployment

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SERVERS = 5
EVENTS = 60
EVENT_PAUSE_MS = 40
STREAMS = 24
# Like `council-guidance` of kauri-ramps.
TOKENS = 9_190
DEADLINE_MS = 6_000
SERVICE = {
    "name": "models",
    "healthPath": "/health",
    "maxConns": 370,
    "protocol": "h1",
    "tls": False,
    "engine": {
        "slots": 64,
        "kvTokens": 418_045,
        "kvBytes": 163_840,
        "linkMbps": 550_000.0,
        "moves": True,
        "backups": True,
        "stride": 4,
        "most": 12,
        "pinMs": 4_000.0,
        "holdMs": 2_000.0,
        "handleS": 5.0,
        "models": [{"name": "m"}],
    },
}


def make_route(max_attempts, name="guidance"):
    """Returns a route whose streams may be resumed."""
    return {
        "name": name,
        "host": deployment.HOST_NAME,
        "pathPrefix": f"/{name}/",
        "kind": "streaming",
        "timeoutMs": DEADLINE_MS,
        "sloMs": 600,
        "priority": 1,
        "service": SERVICE["name"],
        "maxAttempts": max_attempts,
        "anonymous": False,
        "sessionAffinity": True,
        "streamResume": True,
        "gapAimMs": 300,
    }


async def start(routers, routes, record_path, **limits):
    """Returns a deployment that is ready."""
    place = deployment.Deployment(record_path)
    try:
        await place.store.start()
        for _ in range(SERVERS):
            await place.add_server(
                SERVICE["name"],
                events=EVENTS,
                pause_ms=EVENT_PAUSE_MS,
            )
        place.put_configuration(routes, [SERVICE])
        await place.start_routers(routers, **limits)
        # Calm before the disruption: `stableMs`.
        await asyncio.sleep(3)
    except BaseException:
        await place.close()
        raise
    return place


async def restart_behind_cut(place):
    """Cuts a server off; it crashes and starts again with a newer version.

    It is the one that serves most streams, and is idle at the moment.
    """
    warm_up = [Stream(place) for _ in range(STREAMS)]
    await asyncio.gather(
        *(
            s.attempt(place.routers[i % len(place.routers)])
            for i, s in enumerate(warm_up)
        )
    )
    counts = collections.Counter(run[1] for run in place.runs())
    server = max(place.servers, key=lambda s: counts[s.id])
    if TROUBLE:
        place.record("cut off from the store:", server.id)
        server.cut_off()
        await asyncio.sleep(0.2)
        place.record("crashes:", server.id, server.version)
        await server.kill()
        await asyncio.sleep(1.0)
        await server.start(server.id, version="v2")
        place.record("starts again:", server.id, server.version)
    return server


async def crash_again(place, server):
    """Ends the server in the middle of its streams."""
    await asyncio.sleep(1.2)
    if TROUBLE:
        place.record("crashes:", server.id, server.version)
        await server.kill()


class Stream:
    """A client's stream: what it got over all its attempts."""

    def __init__(self, place, route="guidance"):
        self.place = place
        self.route = route
        self.path = f"/{route}/{random.getrandbits(32):08x}"
        self.prefix = f"{random.getrandbits(32):08x}:{TOKENS}"
        self.versions = []
        self.last_event = 0
        self.answer = None

    async def attempt(self, router):
        """Makes a client attempt; it goes on after the last event."""
        request_id = f"{random.getrandbits(64):016x}"
        fields = {
            "X-Hornbeampier-Attempt-Id": request_id,
            "X-Hornbeampier-Deadline-Ms": str(DEADLINE_MS),
            "X-Hornbeampier-Model": "m",
            "X-Hornbeampier-Token-Usage": f"{TOKENS},{EVENTS * 4}",
            "X-Hornbeampier-Prompt-Prefix": self.prefix,
        }
        if self.last_event:
            fields["Last-Event-Id"] = str(self.last_event)
        self.place.record(
            "sent:",
            request_id,
            self.path,
            router.name,
            "after",
            self.last_event,
        )
        self.answer = await deployment.send(
            router.address, "POST", self.path, fields, b"x" * 9_200
        )
        for event in self.answer.body.split(b"\n\n")[:-1]:
            number, version = (
                line.split(b": ")[1].decode() for line in event.split(b"\n")
            )
            self.last_event = int(number)
            self.versions.append(version)
        self.place.record(
            "answered:",
            request_id,
            self.answer.status,
            "complete" if self.answer.complete else "cut off",
            "pieces so far:",
            {v: self.versions.count(v) for v in dict.fromkeys(self.versions)},
        )

    @property
    def is_joined(self):
        """Whether it has ended as complete with pieces of two versions."""
        return (
            self.answer.status == 200
            and self.answer.complete
            and len(set(self.versions)) > 1
        )


def judge(place, streams):
    """Returns the exit code."""
    for run in place.runs():
        place.record("server:", *run)
    joined = [s for s in streams if s.is_joined]
    served = [
        s for s in streams if s.answer.complete and s.answer.status == 200
    ]
    begun = [s for s in streams if "v2" in s.versions]
    by_route = dict(collections.Counter(s.route for s in joined))
    place.record(
        f"{len(streams)} streams, {len(served)} ended as complete, "
        f"{len(begun)} got pieces of v2, joined: {by_route}"
    )
    print(f"{len(joined)} of {len(streams)} streams were joined: {by_route}")
    if joined:
        return deployment.BROKEN
    if TROUBLE and not begun:
        # No stream reached the server while it ran the newer version.
        return deployment.NOT_RUN
    return deployment.HELD
