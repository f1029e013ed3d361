"""The command line of the measurements."""

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
    scenario: Names = "burst",
    deployment_name: Annotated[
        sites.SiteName, typer.Option("--deployment")
    ] = sites.SiteName.COOPERATIVE,
    policy: Names = "round-robin,least-load,hornbeampier,one-router",
    seeds: Annotated[str, typer.Option("--seeds", "--seed")] = "1",
    duration_s: Annotated[float, typer.Option(help="Time of arrivals.")] = 30,
    capacity: Annotated[
        float, typer.Option(help="Tokens a second; 0 uses the model's.")
    ] = 0,
    callers: Annotated[str, typer.Option(help="give-up or retry.")] = "give-up",
    tree: Annotated[
        pathlib.Path | None,
        typer.Option(help="Checkout for the policy `before`."),
    ] = None,
    name: Annotated[
        str, typer.Option(help="Name of the files in bench/out.")
    ] = "",
    show: Annotated[
        list[pathlib.Path] | None,
        typer.Option(help="Print these JSON files and run nothing."),
    ] = None,
) -> None:
    """Measures policies with real processes."""
    if show:
        print(report.render_table(_read_all(show)))
        return
    site = sites.SITES[deployment_name]
    known = capacity or sites.model_capacity(
        site, load.mean_request_tokens(site)
    )
    print(f"capacity of {site.name}: {known:.0f} tokens/s")
    for one in scenario.split(","):
        chosen = scenarios.Scenario(one)
        figures = []
        for seed in seeds.split(","):
            for policy_name in policy.split(","):
                plan = runner.RunPlan(
                    site,
                    chosen,
                    _policy(policy_name, tree),
                    int(seed),
                    known,
                    duration_s * scenarios.MS_PER_SECOND,
                    callers == "retry",
                )
                figures.append(measure.summarize(runner.run(plan)))
                print(report.render_run(figures[-1]), flush=True)
        _write(figures, name or f"{site.name}-{chosen}")


def _policy(name: str, tree: pathlib.Path | None) -> deployment.Policy:
    if name != deployment.BEFORE:
        return deployment.Policy(name)
    if tree is None:
        raise typer.BadParameter("policy `before` needs --tree")
    return deployment.Policy(name, tree.resolve())


def _read_all(paths: list[pathlib.Path]) -> list[measure.RunFigures]:
    return [run for path in paths for run in report.read_json(path)]


def _write(figures: list[measure.RunFigures], stem: str) -> None:
    print()
    print(report.render_table(figures))
    report.write_json(figures, report.OUT_DIRECTORY / f"{stem}.json")
    report.plot(figures, report.OUT_DIRECTORY / f"{stem}.png")


def run() -> None:
    """Runs the command line."""
    typer.run(main)
