"""A local deployment for trials: stand-ins and one router in one process."""

import hashlib

from hornbeampier import application
from hornbeampier import daemon
from hornbeampier import environment
from hornbeampier import errors
from hornbeampier import settings
from hornbeampier import wsgi
from hornbeampier.coordination import platform_log
from hornbeampier.coordination import records
from hornbeampier.coordination import standin
from hornbeampier.endpoints import continuous_batch
from hornbeampier.endpoints import standin_engine
from hornbeampier.endpoints import standin_service
from hornbeampier.operators import publish

HOST = "127.0.0.1"
VM_NAME = "dev-1"
DEV_KEY = "dev-key"
ENGINE_COUNT = 2
READY_TIMEOUT_MS = 10_000.0
READY_POLL_MS = 20.0
CALL_TIMEOUT_MS = 2_000.0
CONFIGURATION_TEMPLATE = """\
deployment = "dev"

[[classes]]
name = "interactive"
tier = 1
first_token_ms = 1100
max_wait_ms = 10000

[[classes]]
name = "bulk"
tier = 2
complete_ms = 60000
max_wait_ms = 30000
min_share = 0.05

[[models]]
name = "demo"

[[services]]
name = "echo"
request_class = "interactive"

[[accounts]]
name = "developer"
key_sha256 = ["{key_hash}"]
classes = ["interactive", "bulk"]
default_class = "interactive"
{endpoints}"""
ENDPOINT_TEMPLATE = """
[[endpoints]]
name = "{name}"
kind = "{kind}"
serves = ["{serves}"]
availability_zone = "dev"
host = "127.0.0.1"
port = {port}
"""


class DevDeployment(application.BaseComponent):
    """Builds and owns the stand-ins and the router of `hornbeampier dev`."""

    def __init__(self, env: environment.Environment, port: int):
        self._env = env
        self._port = port
        self._app = application.Application("dev")
        self._platform = standin.Platform(env.clock)
        self._platform_server = wsgi.HttpServer(
            HOST, 0, standin.PlatformApp(self._platform)
        )
        self._engines = [
            standin_engine.EngineStandin(
                f"engine-{i + 1}",
                HOST,
                0,
                continuous_batch.EngineProfile(),
                env.clock,
            )
            for i in range(ENGINE_COUNT)
        ]
        self._service = standin_service.ServiceStandin("echo-1", HOST, 0)
        self._daemon: daemon.VmDaemon | None = None

    def start(self) -> None:
        """Starts all components and prints how to use them."""
        for component in (self._platform_server, *self._engines, self._service):
            component.start()
            self._app.add(component)
        self._start_router()
        self._publish()
        self._wait_ready()
        self._print_help()

    def drain(self) -> None:
        """Drains the router."""
        if self._daemon:
            self._daemon.drain()

    def stop(self) -> None:
        """Stops the router, then the stand-ins."""
        if self._daemon:
            self._daemon.stop()
        for component in (self._service, *self._engines, self._platform_server):
            component.stop()

    def _start_router(self) -> None:
        port = self._platform_server.port
        cfg = settings.VmSettings(
            vm=VM_NAME,
            availability_zone="dev",
            callers=settings.CallerSettings(port=self._port),
            platform=settings.PlatformSettings(
                log_port=port, vm_list_port=port
            ),
            drain=settings.DrainSettings(notice_ms=100),
        )
        self._daemon = daemon.VmDaemon(self._env, cfg)
        self._daemon.start()
        self._platform.put_vm(
            records.ListedVm(
                VM_NAME,
                "dev",
                HOST,
                hint_port=1,
                admin_port=self._daemon.admin_server.port,
            )
        )

    def _publish(self) -> None:
        log = platform_log.HttpLog(
            HOST, self._platform_server.port, CALL_TIMEOUT_MS
        )
        result = publish.Publisher(log, self._env).publish(
            self._configuration_text()
        )
        if result.outcome is not publish.PublishOutcome.ACCEPTED:
            raise errors.PlatformError(
                "the built-in configuration was not accepted"
            )

    def _configuration_text(self) -> str:
        endpoints = [
            ENDPOINT_TEMPLATE.format(
                name=f"engine-{i + 1}",
                kind="engine",
                serves="demo",
                port=engine.server.port,
            )
            for i, engine in enumerate(self._engines)
        ]
        endpoints.append(
            ENDPOINT_TEMPLATE.format(
                name="echo-1",
                kind="service",
                serves="echo",
                port=self._service.server.port,
            )
        )
        return CONFIGURATION_TEMPLATE.format(
            key_hash=hashlib.sha256(DEV_KEY.encode()).hexdigest(),
            endpoints="".join(endpoints),
        )

    def _wait_ready(self) -> None:
        deadline_ms = self._env.clock.now() + READY_TIMEOUT_MS
        while not self._daemon.make_report().ready:
            if self._env.clock.now() > deadline_ms:
                raise errors.PlatformError(
                    "the router did not become ready in time"
                )
            self._env.clock.sleep(READY_POLL_MS)

    def _print_help(self) -> None:
        port = self._daemon.caller_server.port
        platform_port = self._platform_server.port
        print(
            f"hornbeampier is ready on http://{HOST}:{port}\n\n"
            "Try it:\n"
            f"  curl -N http://{HOST}:{port}/v1/chat/completions \\\n"
            f"    -H 'Authorization: Bearer {DEV_KEY}' \\\n"
            "    -H 'Content-Type: application/json' \\\n"
            '    -d \'{"model": "demo", "stream": true, "messages": '
            '[{"role": "user", "content": "Hello"}]}\'\n\n'
            "See its state:\n"
            f"  {self._env.program_path} status "
            f"--vm-list {HOST}:{platform_port}\n\n"
            "Stop it with Ctrl-C.",
            file=self._env.stdout,
            flush=True,
        )
