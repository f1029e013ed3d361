"""The processes of a benchmark deployment, and fault injection into them."""

import dataclasses
import json
import pathlib
import tempfile

import gevent
import psutil

from bench import configuration
from bench import scenarios
from bench import sites
from tests import calls
from tests import processes

ONE_ROUTER = "one-router"
BEFORE = "before"
PRODUCT_POLICIES = ("hornbeampier", ONE_ROUTER, BEFORE)

BYTES_PER_MB = 1_000_000
RESTART_DELAY_S = 0.5
# Time after which the load balancer stops sending to a terminated VM.
NOTICE_DELAY_S = 0.1


@dataclasses.dataclass(frozen=True)
class VmUsage:
    """Resources that one VM's process used during a measurement.

    Attributes:
        cpu_s: Processor time.
        wall_s: Duration of the measurement.
        rss_mb: Resident memory at the end.
        hint_bytes: Bytes of hints that the VM has sent since its start.
    """

    name: str
    cpu_s: float
    wall_s: float
    rss_mb: float
    hint_bytes: int


@dataclasses.dataclass(frozen=True)
class Policy:
    """A scheduling policy under test.

    Attributes:
        checkout: Source directory that the policy `before` runs in place of
            this one.
    """

    name: str
    checkout: pathlib.Path | None = None

    @property
    def flat(self) -> bool:
        """Whether the configuration puts all classes in one tier."""
        return self.name not in PRODUCT_POLICIES

    def command(self) -> tuple[str, ...]:
        """Returns the command-line arguments that start a VM."""
        return ("--policy", self.name) if self.flat else ("serve",)

    def module(self) -> str:
        """Returns the Python module that a VM runs."""
        return "bench.serve" if self.flat else "hornbeampier"


class BenchDeployment:
    """A platform, engines, services and VMs, each a process of its own."""

    def __init__(
        self, site: sites.Site, profile: scenarios.Profile, policy: Policy
    ):
        self._site = site
        self._profile = profile
        self._policy = policy
        self._directory = tempfile.TemporaryDirectory()
        self._components = []
        self._usage_starts: dict[str, tuple[float, float]] = {}
        self.engine_runs_before_crash: list[dict] = []
        self.usage: list[VmUsage] = []
        self.platform = self._add(processes.Standin("platform"))
        self.engines = [
            self._add(self._make_engine(i)) for i in range(len(site.engines))
        ]
        self.services = [
            self._add(processes.Standin("service", "--name", f"service-{i}"))
            for i in range(site.services)
        ]
        for component in self._components:
            component.wait_started()
        self.vms: list[processes.Vm] = []
        self._vm_count = 0

    def start(self) -> None:
        """Starts the VMs, publishes the configuration, waits until ready."""
        count = 1 if self._policy.name == ONE_ROUTER else self._site.vms
        new_vms = [self._start_vm() for _ in range(count)]
        for vm in new_vms:
            vm.wait_started()
            self._register(vm)
        self._publish()
        for vm in new_vms:
            processes.wait_until(lambda vm=vm: vm.report()["ready"])

    def close(self) -> None:
        """Ends all processes."""
        for component in reversed(self._components):
            component.process.close()
        self._directory.cleanup()

    def begin_usage(self) -> None:
        """Starts measuring the processor time of all VMs."""
        for vm in self.vms:
            self._usage_starts[vm.name] = _cpu_and_time(vm)

    def end_usage(self) -> None:
        """Records the usage of the VMs that are still running."""
        for vm in self.vms:
            self._record_usage(vm)

    def read_engine_runs(self) -> list[dict]:
        """Returns the runs of requests that all engines recorded.

        Includes those that an engine recorded before it was killed.
        """
        return [
            r for e in self.engines for r in e.runs()
        ] + self.engine_runs_before_crash

    def crash_engine(self) -> None:
        """Kills the last engine and restarts it on the same port."""
        last = len(self.engines) - 1
        old = self.engines[last]
        # Frozen, so that no token is computed after its runs have been read.
        old.control(frozen=True)
        self.engine_runs_before_crash += old.runs()
        old.process.kill()
        gevent.sleep(RESTART_DELAY_S)
        self.engines[last] = self._add(self._make_engine(last, old.port))
        self.engines[last].wait_started()

    def replace_vm(self, balancer) -> None:
        """Starts a new VM, then terminates the oldest one gracefully."""
        old = self.vms[0]
        new = self._start_vm()
        new.wait_started()
        self._register(new)
        processes.wait_until(lambda: new.report()["ready"])
        self._usage_starts[new.name] = _cpu_and_time(new)
        balancer.add(new.port)
        self._record_usage(old)
        self.vms.remove(old)
        self._register(old, "leaving")
        old.process.terminate()
        gevent.sleep(NOTICE_DELAY_S)
        balancer.remove(old.port)
        gevent.spawn(self._remove_when_ended, old)

    def _remove_when_ended(self, vm: processes.Vm) -> None:
        vm.process.wait()
        calls.call(self.platform.port, "DELETE", f"/vms/{vm.name}")

    def _record_usage(self, vm: processes.Vm) -> None:
        cpu_s, at_s = _cpu_and_time(vm)
        began_cpu_s, began_s = self._usage_starts[vm.name]
        rss = psutil.Process(vm.process.pid).memory_info().rss
        self.usage.append(
            VmUsage(
                vm.name,
                cpu_s - began_cpu_s,
                at_s - began_s,
                rss / BYTES_PER_MB,
                vm.report()["hint_bytes"],
            )
        )

    def _make_engine(self, index: int, port: int = 0) -> processes.Standin:
        slowdown = self._site.slowdown
        if index == 0:
            slowdown *= self._profile.slowdown
        return processes.Standin(
            "engine",
            "--name",
            f"engine-{index + 1}",
            "--slots",
            self._site.slots,
            "--slowdown",
            slowdown,
            "--report-lag-ms",
            self._profile.report_lag_ms,
            "--port",
            port,
        )

    def _start_vm(self) -> processes.Vm:
        self._vm_count += 1
        vm = self._add(
            processes.Vm(
                f"vm-{self._vm_count}",
                self._directory.name,
                self.platform.port,
                command=self._policy.command(),
                module=self._policy.module(),
                checkout=self._policy.checkout,
            )
        )
        self.vms.append(vm)
        return vm

    def _register(self, vm: processes.Vm, state: str = "live") -> None:
        row = vm.vm_list_entry(state)
        calls.call(
            self.platform.port,
            "PUT",
            f"/vms/{vm.name}",
            json.dumps(row).encode(),
        )

    def _publish(self) -> None:
        path = pathlib.Path(self._directory.name) / "configuration.toml"
        text = configuration.render(
            self._site,
            [e.port for e in self.engines],
            [s.port for s in self.services],
            self._policy.flat,
        )
        path.write_text(text)
        log = f"{processes.HOST}:{self.platform.port}"
        result = processes.run("publish", path, "--log", log)
        if result.exit_code:
            raise RuntimeError(result.stderr)

    def _add(self, component):
        self._components.append(component)
        return component


def _cpu_and_time(vm: processes.Vm) -> tuple[float, float]:
    times = psutil.Process(vm.process.pid).cpu_times()
    return times.user + times.system, gevent.get_hub().loop.now()
