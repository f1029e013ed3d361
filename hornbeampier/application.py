"""Life cycle of a process: components start in order and stop in reverse."""

from collections.abc import Callable
from typing import Protocol

import gevent
import gevent.event
import structlog

from hornbeampier import clock as clocks

# Pause of a task after an unexpected error.
RESTART_DELAY_MS = 1_000.0


class Component(Protocol):
    """A component of a process that is started, drained and stopped."""

    def start(self) -> None:
        """Starts the component; raises if it cannot start."""
        ...

    def drain(self) -> None:
        """Finishes what is in flight and accepts nothing more."""
        ...

    def stop(self) -> None:
        """Releases every resource that the component holds."""
        ...


class BaseComponent:
    """A component whose methods do nothing; subclasses override some."""

    def start(self) -> None:
        """Does nothing."""

    def drain(self) -> None:
        """Does nothing."""

    def stop(self) -> None:
        """Does nothing."""


class TaskComponent(BaseComponent):
    """A component that owns one greenlet running `run`.

    If `run` raises an unexpected error, it is called again after a pause: the
    state that it works on is in the component.
    """

    def __init__(self):
        self._task: gevent.Greenlet | None = None

    def run(self) -> None:
        """The body of the task; runs until killed, or once to its end."""
        raise NotImplementedError

    def start(self) -> None:
        """Spawns the task."""
        self._task = gevent.spawn(self._run_again)

    def _run_again(self) -> None:
        """Calls `run` until it ends without an error."""
        while True:
            try:
                self.run()
                return
            except Exception:
                structlog.get_logger().exception(
                    "task_failed", component=type(self).__name__
                )
            gevent.sleep(RESTART_DELAY_MS / clocks.MS_PER_SECOND)

    def stop(self) -> None:
        """Kills the task and waits for its end."""
        if self._task is not None:
            self._task.kill()
            self._task = None


class PeriodicTask(TaskComponent):
    """Calls a function at an interval."""

    def __init__(
        self,
        interval_ms: float,
        callback: Callable[[], None],
        clock: clocks.Clock,
    ):
        super().__init__()
        self._interval_ms = interval_ms
        self._callback = callback
        self._clock = clock

    def run(self) -> None:
        """Calls the function until killed."""
        while True:
            self._clock.sleep(self._interval_ms)
            self._callback()


class Application:
    """Owns the components of one process."""

    def __init__(self, name: str):
        self._log = structlog.get_logger(app=name)
        self._components: list[Component] = []
        self._started: list[Component] = []
        self._stop_requested = gevent.event.Event()

    def add(self, *components: Component) -> None:
        """Adds components; each starts after those added before it."""
        self._components.extend(components)

    def start(self) -> None:
        """Starts all components in order; stops them again if one fails."""
        try:
            for component in self._components:
                component.start()
                self._started.append(component)
        except BaseException as exc:
            try:
                self.stop()
            except ExceptionGroup as group:
                raise ExceptionGroup(
                    "start failed, and so did the clean-up", [exc, group]
                ) from exc
            raise

    def request_stop(self) -> None:
        """Asks `run` to drain and return; safe in a signal handler."""
        self._stop_requested.set()

    def run(self) -> None:
        """Starts, waits for a stop request, drains and stops."""
        self.start()
        self._stop_requested.wait()
        self._log.info("drain_started")
        try:
            self.drain()
        finally:
            self.stop()
        self._log.info("stopped")

    def drain(self) -> None:
        """Drains components in reverse order of their start."""
        self._call_reversed("drain")

    def stop(self) -> None:
        """Stops components in reverse order; raises all failures as a group."""
        try:
            self._call_reversed("stop")
        finally:
            self._started.clear()

    def _call_reversed(self, hook: str) -> None:
        failures = []
        for component in reversed(self._started):
            try:
                getattr(component, hook)()
            except Exception as exc:
                failures.append(exc)
        if failures:
            raise ExceptionGroup(f"{hook} failed", failures)
