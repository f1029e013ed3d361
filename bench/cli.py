"""The command line of `python -m bench`."""

import pathlib
from typing import Annotated

import typer

from bench import deployment
from bench import load
from bench import measure
from bench import report
from bench import runner
from bench import scenarios
from bench import sites

Names = Annotated[str, typer.Option(help="Separated by commas.")]


def main(
    scenario: Annotated[
        str,
        typer.Option(help="Separated by commas; `+` combines some in one run."),
    ] = "burst",
    deployment_name: Annotated[
        sites.SiteName, typer.Option("--deployment")
    ] = sites.SiteName.COOPERATIVE,
    policy: Names = "round-robin,least-load,hornbeampier,one-router",
    seeds: Annotated[str, typer.Option("--seeds", "--seed")] = "1",
    duration_s: Annotated[float, typer.Option(help="Arrival window.")] = 30,
    capacity: Annotated[
        float, typer.Option(help="Tokens a second; 0 uses the measured one.")
    ] = 0,
    callers: Annotated[str, typer.Option(help="give-up or retry.")] = "give-up",
    tree: Annotated[
        pathlib.Path | None,
        typer.Option(help="Checkout that the policy `before` runs."),
    ] = None,
    label: Annotated[
        str, typer.Option(help="Prefix of the file names in bench/out.")
    ] = "run",
    show: Annotated[
        list[pathlib.Path] | None,
        typer.Option(help="Summarize these JSON files and run nothing."),
    ] = None,
) -> None:
    """Compares scheduling policies under load with real processes."""
    if show:
        _summarize([run for p in show for run in report.read_json(p)], label)
        return
    site = sites.SITES[deployment_name]
    capacity_tokens_per_s = capacity or site.capacity
    modelled_capacity = sites.model_capacity(
        site, load.mean_response_tokens(site)
    )
    print(
        f"capacity of {site.name}: {capacity_tokens_per_s:.0f} tokens/s; "
        f"modelled {modelled_capacity:.0f}"
    )
    for scenario_names in scenario.split(","):
        figures = []
        for seed in seeds.split(","):
            for policy_name in policy.split(","):
                plan = runner.RunPlan(
                    site,
                    scenario_names,
                    _policy(policy_name, tree),
                    int(seed),
                    capacity_tokens_per_s,
                    duration_s * scenarios.MS_PER_SECOND,
                    callers == "retry",
                )
                figures.append(_run(plan, label))
        _summarize(figures, label)


def _run(plan: runner.RunPlan, label: str) -> measure.RunFigures:
    """Runs one plan, prints its figures and writes them to a JSON file."""
    figures = measure.summarize(runner.run(plan))
    print(report.render_run(figures), flush=True)
    stem = (
        f"{label}-{plan.site.name}-{plan.scenario}-"
        f"{plan.policy.name}-{plan.seed}"
    )
    report.write_json([figures], report.OUT_DIRECTORY / f"{stem}.json")
    return figures


def _policy(name: str, tree: pathlib.Path | None) -> deployment.Policy:
    if name != deployment.BEFORE:
        return deployment.Policy(name)
    if tree is None:
        raise typer.BadParameter("policy `before` needs --tree")
    return deployment.Policy(name, tree.resolve())


def _summarize(figures: list[measure.RunFigures], label: str) -> None:
    """Prints a table over the seeds and plots each site and scenario."""
    print()
    print(report.render_table(figures))
    loads = dict.fromkeys((run.site, run.scenario) for run in figures)
    for site, scenario in loads:
        same_load_runs = [
            r for r in figures if (r.site, r.scenario) == (site, scenario)
        ]
        path = report.OUT_DIRECTORY / f"{label}-{site}-{scenario}.png"
        report.plot(same_load_runs, path)


def run() -> None:
    """Runs the command line."""
    typer.run(main)
