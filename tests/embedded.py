"""A complete deployment, including the platform, in the test's process."""

import json
import random

from hornbeampier import clock
from hornbeampier import daemon
from hornbeampier import environment
from hornbeampier import settings
from hornbeampier import wsgi
from hornbeampier.coordination import platform_log
from hornbeampier.coordination import standin
from hornbeampier.endpoints import continuous_batch
from hornbeampier.endpoints import standin_engine
from hornbeampier.endpoints import standin_service
from hornbeampier.operators import publish
from tests import calls
from tests import processes

HOST = processes.HOST
FAST = continuous_batch.EngineProfile(
    step_ms=1, step_per_request_ms=0, prefill_ms=1
)


class EmbeddedDeployment:
    """A platform, endpoints and VMs that share one process and one seed."""

    def __init__(
        self, vms=1, engines=0, services=0, seed=1, edit_configuration=str
    ):
        self._env = environment.Environment(rng=random.Random(seed))
        self._edit_configuration = edit_configuration
        self.platform = standin.Platform(clock.SystemClock())
        self.platform_server = wsgi.HttpServer(
            HOST, 0, standin.PlatformApp(self.platform)
        )
        self.engines = [
            standin_engine.EngineStandin(
                f"engine-{i + 1}", HOST, 0, FAST, self._env.clock
            )
            for i in range(engines)
        ]
        self.services = [
            standin_service.ServiceStandin(f"service-{i + 1}", HOST, 0)
            for i in range(services)
        ]
        self._components = [self.platform_server, *self.engines, *self.services]
        self._vm_count = vms
        self.vms = []

    def __enter__(self):
        for component in self._components:
            component.start()
        self._publish()
        for number in range(self._vm_count):
            self.vms.append(self.start_vm(f"vm-{number + 1}"))
        return self

    def __exit__(self, *exc_info):
        for component in reversed(self._components):
            component.stop()

    def start_vm(self, name):
        """Starts a VM and waits until it is ready and can claim keys."""
        port = self.platform_server.port
        cfg = settings.VmSettings(
            vm=name,
            availability_zone="zone-1",
            callers=settings.CallerSettings(port=0),
            platform=settings.PlatformSettings(
                log_port=port, vm_list_port=port, timeout_ms=1_000
            ),
            drain=settings.DrainSettings(notice_ms=1),
        )
        vm = EmbeddedVm(daemon.VmDaemon(self._env, cfg))
        vm.daemon.start()
        self._components.append(vm.daemon)
        processes.wait_until(lambda: vm.daemon.make_report().ready)
        processes.wait_until(lambda: vm.daemon.claims.available)
        return vm

    def settle(self):
        """Ends the platform's faults and waits until all VMs know all claims.

        Also applies the log's late appends and ends all ejections.
        """
        self.platform.faults = standin.Faults()
        self.platform.apply_late_appends()
        for vm in self.vms:
            vm.end_ejections()
            processes.wait_until(lambda vm=vm: self._has_settled(vm))

    def wait_claims_read(self):
        """Waits until all VMs have read the claim stream to its end."""
        for vm in self.vms:
            processes.wait_until(lambda vm=vm: self._has_read(vm))

    def wait_no_endpoint_leaving(self):
        """Waits until no VM has an endpoint whose report says it is leaving."""
        for vm in self.vms:
            processes.wait_until(lambda vm=vm: not vm.leaving_endpoints())

    def _has_read(self, vm):
        end = self.platform.stream_end("claims")
        return vm.daemon.claims.next_offset == end

    def _has_settled(self, vm):
        if not vm.daemon.claim_writer.is_idle or not vm.daemon.claims.available:
            return False
        return self._has_read(vm)

    def _publish(self):
        text = processes.configuration(
            [(e.app.name, e.server.port) for e in self.engines],
            [(s.app.name, s.server.port) for s in self.services],
        )
        log = platform_log.HttpLog(HOST, self.platform_server.port, 2_000)
        publish.Publisher(log, self._env).publish(
            self._edit_configuration(text)
        )


class EmbeddedVm(calls.Caller):
    """A VM's daemon in the test's process."""

    def __init__(self, vm_daemon):
        self.daemon = vm_daemon

    @property
    def port(self):
        return self.daemon.ports.callers

    def leaving_endpoints(self):
        """Returns the endpoints whose load report says they are leaving."""
        states = self.daemon._endpoints.all()
        return [s for s in states if s.report and s.report.leaving]

    def end_ejections(self):
        """Ends the ejection of all endpoints."""
        for state in self.daemon._endpoints.all():
            state.ejected_until_ms = 0.0


def idempotency_headers(key):
    """Returns the headers of a request with an idempotency key."""
    return [("Idempotency-Key", key)]


def refusal_fields(response):
    """Returns the status, code and verdict of a refusal."""
    error = json.loads(response.body)["error"]
    return response.status, error["code"], error["verdict"]
