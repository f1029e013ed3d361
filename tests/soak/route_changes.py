"""Configurations of a soak that move the path of resumable streams."""

import signal

import gevent

from tests import nodes

# Service to which the path moves, and the software version of its engines.
OTHER_SERVICE = "other-engine-service"
OTHER_VERSION = "other-v1"
OTHER_ENGINES = 3
START_TIMEOUT_S = 60.0
# Time between two events of a stream, which outlasts the kills after a move.
EVENT_GAP_S = 0.15
# VMs are killed after this fraction of the duration of a move.
KILL_DELAY_FRACTION = 0.15
# Services by path prefix, of which the longest that matches counts.
LAYOUTS = (
    {"/resume/": nodes.ENGINE_SERVICE},
    {"/resume/": OTHER_SERVICE},
    {"/": OTHER_SERVICE},
    {"/": nodes.ENGINE_SERVICE, "/resume/": OTHER_SERVICE},
    {"/": OTHER_SERVICE, "/resume/": nodes.ENGINE_SERVICE},
)


class RouteChanges:
    """Moves the path of resumable streams; a part of `World`.

    Attributes:
        has_routes: Whether the path moves.
        layout: The routes of its streams in the next configuration.
    """

    has_routes = False
    layout = LAYOUTS[0]

    def configured_routes(self):
        """Returns the routes and services, unless they are the default."""
        if not self.has_routes:
            return {}
        cfg = nodes.configuration()
        routes = [r for r in cfg["routes"] if r["name"] != "resume"]
        for prefix, service in self.layout.items():
            name = f"resume{prefix.replace('/', '-')}"
            routes.append(
                nodes.route(
                    name, prefix, "streaming", service, streamResume=True
                )
            )
        other = {**cfg["services"][-1], "name": OTHER_SERVICE}
        return {"routes": routes, "services": [*cfg["services"], other]}

    def _add_other_engines(self):
        """Adds the engines to which the path may move."""
        for _ in range(OTHER_ENGINES if self.has_routes else 0):
            self._add_endpoint(OTHER_SERVICE, OTHER_VERSION)

    def _slow_down(self, endpoint):
        """Lets streams last for longer than it takes to move their path."""
        if self.has_routes:
            endpoint.event_gap_s = EVENT_GAP_S

    def _move(self, event):
        """Moves the path; VMs may be killed while its streams run on."""
        self.layout = LAYOUTS[event.target % len(LAYOUTS)]
        self.publish()
        gevent.sleep(event.duration_s * KILL_DELAY_FRACTION)
        kills = (None, self._kill, self._kill_all)
        kill = kills[event.target // len(LAYOUTS) % len(kills)]
        if kill is not None:
            kill(event)

    def _kill_all(self, event):
        """Kills all VMs at the same moment and starts them again."""
        del event
        names = [vm.name for vm in self.vms]
        self.ledger.disturbed.update(names)
        self._disturbed_ms = self.clock.now()
        for vm in self.vms:
            vm.signal(signal.SIGKILL)
        for vm in self.vms:
            vm.wait_ended(START_TIMEOUT_S)
        restarts = [
            gevent.spawn(self._restart, vm, name)
            for vm, name in zip(self.vms, names, strict=True)
        ]
        gevent.joinall(restarts, raise_error=True)
