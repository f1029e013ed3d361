"""Runs a deployment under the load and the faults of a scenario."""

import dataclasses
import os

import gevent
import psutil

from bench import callers
from bench import deployment
from bench import load
from bench import scenarios
from bench import sites
from hornbeampier import clock as clocks

OUTAGE_FAULTS = {"log_down": True, "vm_list_down": True}
NO_OUTAGE_FAULTS = {"log_down": False, "vm_list_down": False}
# Lets the first load reports and hints arrive before the load starts.
SETTLE_MS = 1_500.0


@dataclasses.dataclass(frozen=True)
class RunPlan:
    """The parameters of one run; `capacity` is in tokens a second.

    Attributes:
        scenario: Name of a scenario, or several joined by `+`.
        retries_refused: Whether callers retry refused requests after the time
            in Retry-After.
    """

    site: sites.Site
    scenario: str
    policy: deployment.Policy
    seed: int
    capacity: float
    duration_ms: float
    retries_refused: bool


@dataclasses.dataclass(frozen=True)
class RawRun:
    """The raw records of one run.

    Attributes:
        engine_runs: The runs of requests that the engines recorded.
        loop_lags_ms: Lags of the load generator's event loop.
        generator_cpu: Processor use of the generator, in cores.
        load_average: The machine's load average at the start.
        wall_ms: Time from the start of the load to the last response.
        middle_rate: Tokens a second that the engines computed in the
            middle third.
    """

    plan: RunPlan
    outcomes: list[callers.Outcome]
    engine_runs: list[dict]
    usage: list[deployment.VmUsage]
    loop_lags_ms: list[float]
    generator_cpu: float
    load_average: float
    wall_ms: float
    middle_rate: float


def run(plan: RunPlan) -> RawRun:
    """Runs one scenario under one policy."""
    load_average = os.getloadavg()[0]
    profile = scenarios.combine(plan.scenario)
    requests = load.plan(
        plan.site, profile, plan.capacity, plan.duration_ms, plan.seed
    )
    bench_deployment = deployment.BenchDeployment(
        plan.site, profile, plan.policy
    )
    try:
        bench_deployment.start()
        clk = clocks.SystemClock()
        clk.sleep(SETTLE_MS)
        balancer = callers.Balancer([vm.port for vm in bench_deployment.vms])
        generator = callers.LoadGenerator(balancer, clk, plan.retries_refused)
        bench_deployment.begin_usage()
        generator_process = psutil.Process()
        began_cpu_s = (
            generator_process.cpu_times().user
            + generator_process.cpu_times().system
        )
        fault_task = gevent.spawn(
            _inject_faults,
            bench_deployment,
            profile,
            balancer,
            plan.duration_ms,
            clk,
        )
        middle_rate_task = gevent.spawn(
            _measure_middle_rate, bench_deployment, plan.duration_ms, clk
        )
        outcomes = generator.run(requests)
        wall_ms = clk.now() - generator.start_ms
        used_cpu_s = (
            generator_process.cpu_times().user
            + generator_process.cpu_times().system
            - began_cpu_s
        )
        fault_task.get()
        bench_deployment.end_usage()
        return RawRun(
            plan,
            outcomes,
            bench_deployment.read_engine_runs(),
            bench_deployment.usage,
            generator.loop_lags_ms,
            used_cpu_s / (wall_ms / clocks.MS_PER_SECOND),
            load_average,
            wall_ms,
            middle_rate_task.get(),
        )
    finally:
        bench_deployment.close()


def _measure_middle_rate(
    bench_deployment: deployment.BenchDeployment,
    duration_ms: float,
    clk: clocks.Clock,
) -> float:
    """Returns the engines' tokens a second in the middle third of the run."""
    clk.sleep(duration_ms / 3)
    began_ms, tokens_before = clk.now(), _computed_tokens(bench_deployment)
    clk.sleep(duration_ms / 3)
    seconds = (clk.now() - began_ms) / clocks.MS_PER_SECOND
    return (_computed_tokens(bench_deployment) - tokens_before) / seconds


def _computed_tokens(bench_deployment: deployment.BenchDeployment) -> int:
    return sum(run["tokens"] for run in bench_deployment.read_engine_runs())


def _inject_faults(
    bench_deployment: deployment.BenchDeployment,
    profile: scenarios.Profile,
    balancer: callers.Balancer,
    duration_ms: float,
    clk: clocks.Clock,
) -> None:
    """Injects the scenario's faults at their times."""
    if profile.crash:
        clk.sleep(duration_ms / 2)
        bench_deployment.crash_engine()
        return
    clk.sleep(duration_ms / 3)
    if profile.outage:
        _set_faults(bench_deployment, OUTAGE_FAULTS)
        clk.sleep(duration_ms / 3)
        _set_faults(bench_deployment, NO_OUTAGE_FAULTS)
    if profile.rolling:
        for _ in range(len(bench_deployment.vms)):
            bench_deployment.replace_vm(balancer)
            clk.sleep(duration_ms / 12)


def _set_faults(
    bench_deployment: deployment.BenchDeployment, faults: dict
) -> None:
    bench_deployment.platform.control(**faults)
