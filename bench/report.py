"""Renders the figures of runs as text, tables, JSON and plots."""

from collections.abc import Callable
import dataclasses
import json
import pathlib
import statistics

from bench import measure

OUT_DIRECTORY = pathlib.Path(__file__).parent / "out"
BAR_WIDTH = 0.8


def write_json(figures: list[measure.RunFigures], path: pathlib.Path) -> None:
    """Writes the figures of runs to a JSON file."""
    path.parent.mkdir(exist_ok=True)
    rows = [dataclasses.asdict(f) for f in figures]
    path.write_text(json.dumps(rows, indent=1))


def read_json(path: pathlib.Path) -> list[measure.RunFigures]:
    """Reads the figures from a file of `write_json`."""
    figures = []
    for row in json.loads(path.read_text()):
        classes = tuple(measure.ClassFigures(**c) for c in row.pop("classes"))
        figures.append(measure.RunFigures(classes=classes, **row))
    return figures


def render_run(run: measure.RunFigures) -> str:
    """Returns the figures of one run as text."""
    lines = [
        f"{run.site} {run.scenario} {run.policy} seed {run.seed}"
        + ("" if run.valid else "  NOT VALID"),
        f"  capacity {run.capacity:.0f} tokens/s, "
        f"{run.middle_rate:.0f} computed in the middle third; goodput "
        f"{run.answers_per_s:.1f} responses/s, "
        f"{run.useful_tokens_per_s:.0f} tokens/s; wasted "
        f"{run.wasted:.2%} of {run.computed}; "
        f"retries by callers {run.extra_offered:.1%}",
        f"  generator lag p99 {run.late_p99_ms:.0f} ms, "
        f"event loop lag p99 {run.loop_lag_p99_ms:.0f} ms, "
        f"{run.generator_cpu:.2f} cores; load average {run.load_average}",
        f"  VMs: cores {list(run.vm_cpu)}, MB {list(run.vm_rss_mb)}, "
        f"hint bytes/s {list(run.hint_bytes_per_s)}",
    ]
    lines += [_render_class(row) for row in run.classes]
    return "\n".join(lines)


def render_table(figures: list[measure.RunFigures]) -> str:
    """Returns a table of means and ranges over the seeds, by policy."""
    groups: dict[tuple[str, str, str], list[measure.RunFigures]] = {}
    for run in figures:
        key = (run.site, run.scenario, run.policy)
        groups.setdefault(key, []).append(run)
    lines = []
    for (site, scenario, policy), runs in groups.items():
        names = [c.name for c in runs[0].classes]
        head = f"| {site} {scenario} | " + " | ".join(names)
        head += " | tokens/s | responses/s | wasted | seeds |"
        if head not in lines:
            lines += ["", head, "| --- " * (len(names) + 5) + "|"]
        cells = [
            _format_spread(
                runs, lambda r, i=i: r.classes[i].attainment, "{:.1%}"
            )
            for i in range(len(names))
        ]
        cells.append(
            _format_spread(runs, lambda r: r.useful_tokens_per_s, "{:.0f}")
        )
        cells.append(_format_spread(runs, lambda r: r.answers_per_s, "{:.1f}"))
        cells.append(_format_spread(runs, lambda r: r.wasted, "{:.2%}"))
        cells.append(_format_seeds(runs))
        lines.append(f"| {policy} | " + " | ".join(cells) + " |")
    return "\n".join(lines).strip()


def plot(figures: list[measure.RunFigures], path: pathlib.Path) -> None:
    """Plots attainment by class and policy, with the range over the seeds."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    policies = list(dict.fromkeys(run.policy for run in figures))
    names = [c.name for c in figures[0].classes]
    width = BAR_WIDTH / len(policies)
    figure, axes = pyplot.subplots(figsize=(9, 4.5))
    for index, policy in enumerate(policies):
        runs = [run for run in figures if run.policy == policy]
        rows = [
            [run.classes[i].attainment * 100 for run in runs]
            for i in range(len(names))
        ]
        means = [statistics.mean(row) for row in rows]
        below = [m - min(row) for m, row in zip(means, rows, strict=True)]
        above = [max(row) - m for m, row in zip(means, rows, strict=True)]
        positions = [i + index * width for i in range(len(names))]
        axes.bar(
            positions,
            means,
            width,
            yerr=[below, above],
            label=policy,
            capsize=3,
        )
    middle = BAR_WIDTH / 2 - width / 2
    axes.set_xticks([i + middle for i in range(len(names))], names)
    axes.set_ylabel("attainment in %")
    axes.set_title(f"{figures[0].site}: {figures[0].scenario}")
    axes.legend()
    path.parent.mkdir(exist_ok=True)
    figure.savefig(path, dpi=100)
    pyplot.close(figure)


def _render_class(row: measure.ClassFigures) -> str:
    retry_after = "-"
    if row.retry_after_s:
        retry_after = "{}-{} s".format(*row.retry_after_s)
    wrong = f" WRONG TEXT {row.wrong}" if row.wrong else ""
    return (
        f"  {row.name:<20} offered {row.offered:<5} "
        f"attained {row.attainment:7.2%} (others {row.others_attainment:7.2%})"
        f" complete {row.whole:<5} first token p95 {row.first_p95_ms:7.0f} ms "
        f"between tokens p95 {row.gap_p95_ms:5.1f} ms "
        f"retry-after {retry_after} "
        f"{row.refusals or ''}{wrong}"
    )


def _format_spread(
    runs: list[measure.RunFigures],
    get_value: Callable[[measure.RunFigures], float],
    template: str,
) -> str:
    values = [get_value(run) for run in runs]
    mean = template.format(statistics.mean(values))
    if len(values) == 1:
        return mean
    least, greatest = template.format(min(values)), template.format(max(values))
    return f"{mean} ({least} to {greatest})"


def _format_seeds(runs: list[measure.RunFigures]) -> str:
    """Returns the seeds of the runs; `!` marks a run that is not valid."""
    labels = [str(r.seed) + ("" if r.valid else "!") for r in runs]
    return ", ".join(labels)
