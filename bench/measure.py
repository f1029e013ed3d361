"""Computes the figures of a run from its raw records."""

import collections
import dataclasses

from hdrh import histogram

from bench import callers
from bench import runner
from bench import sites
from hornbeampier.endpoints import continuous_batch

# Histograms count tenths of a ms up to ten minutes, with three significant
# digits.
UNITS_PER_MS = 10
MAX_UNITS = 10 * 60 * 1_000 * UNITS_PER_MS
DIGITS = 3
PERCENTILE = 95
# A run is invalid if the load generator sent late or its event loop lagged by
# more than MAX_LATE_MS (99th percentile), or a VM used over MAX_VM_CPU cores.
MAX_LATE_MS = 60.0
MAX_VM_CPU = 0.9


@dataclasses.dataclass(frozen=True)
class ClassFigures:
    """The figures of one request class in one run.

    Attributes:
        attainment: Fraction of the offered requests that got a complete
            response within the latency targets for its first token and its
            end.
        others_attainment: The same without the first account.
        whole: Complete responses with the text of their own request.
        wrong: Complete responses with another text.
        refusals: Requests without a complete response, by cause.
        gap_p95_ms: 95th percentile of the delay between two tokens.
        retry_after_s: Smallest and largest Retry-After.
    """

    name: str
    offered: int
    attainment: float
    others_attainment: float
    whole: int
    wrong: int
    refusals: dict[str, int]
    first_p95_ms: float
    gap_p95_ms: float
    retry_after_s: tuple[int, int] | None


@dataclasses.dataclass(frozen=True)
class RunFigures:
    """The figures of one run.

    Attributes:
        capacity: Tokens a second that the load is scaled to.
        answers_per_s: Complete responses per second of the arrival window.
        useful_tokens_per_s: Tokens of complete responses per second of the
            arrival window.
        middle_rate: Tokens a second that the engines computed in the middle
            third of the run.
        computed: Tokens that the engines computed.
        wasted: Fraction of them that belong to no complete response.
        extra_offered: Retries by callers per planned request.
        valid: Whether generator and VMs did not exceed `MAX_LATE_MS` and
            `MAX_VM_CPU`.
    """

    site: str
    scenario: str
    policy: str
    seed: int
    capacity: float
    classes: tuple[ClassFigures, ...]
    answers_per_s: float
    useful_tokens_per_s: float
    middle_rate: float
    computed: int
    wasted: float
    extra_offered: float
    late_p99_ms: float
    loop_lag_p99_ms: float
    generator_cpu: float
    load_average: float
    vm_cpu: tuple[float, ...]
    vm_rss_mb: tuple[float, ...]
    hint_bytes_per_s: tuple[float, ...]
    valid: bool


def summarize(raw: runner.RawRun) -> RunFigures:
    """Returns the figures of one run."""
    plan = raw.plan
    seconds = plan.duration_ms / 1_000
    correct = [outcome for outcome in raw.outcomes if _is_correct(outcome)]
    useful_tokens = sum(outcome.planned.tokens for outcome in correct)
    computed = sum(run["tokens"] for run in raw.engine_runs)
    late_p99_ms = _percentile([o.late_ms for o in raw.outcomes], 99)
    lag_p99_ms = _percentile(raw.loop_lags_ms, 99)
    cpu_cores = tuple(round(u.cpu_s / u.wall_s, 3) for u in raw.usage)
    return RunFigures(
        plan.site.name,
        plan.scenario,
        plan.policy.name,
        plan.seed,
        plan.capacity,
        tuple(_class_figures(c, raw.outcomes) for c in plan.site.classes),
        round(len(correct) / seconds, 2),
        round(useful_tokens / seconds, 1),
        round(raw.middle_rate, 1),
        computed,
        1 - useful_tokens / computed if computed else 0.0,
        sum(o.retries for o in raw.outcomes) / max(1, len(raw.outcomes)),
        late_p99_ms,
        lag_p99_ms,
        round(raw.generator_cpu, 2),
        round(raw.load_average, 2),
        cpu_cores,
        tuple(round(u.rss_mb, 1) for u in raw.usage),
        tuple(round(u.hint_bytes / u.wall_s) for u in raw.usage),
        max(late_p99_ms, lag_p99_ms) <= MAX_LATE_MS
        and max(cpu_cores) <= MAX_VM_CPU,
    )


def _class_figures(
    load: sites.ClassLoad, outcomes: list[callers.Outcome]
) -> ClassFigures:
    in_class = [o for o in outcomes if o.planned.class_name == load.name]
    from_others = [
        o for o in in_class if o.planned.account is not sites.ACCOUNTS[0]
    ]
    first_tokens_ms = [o.first_ms for o in in_class if o.first_ms is not None]
    delays_ms = [
        delay_ms for o in in_class for delay_ms in o.inter_token_delays_ms
    ]
    retry_afters_s = [
        o.retry_after_s for o in in_class if o.retry_after_s is not None
    ]
    causes = collections.Counter(
        o.code or "none" for o in in_class if not o.complete
    )
    return ClassFigures(
        load.name,
        len(in_class),
        _attainment(load, in_class),
        _attainment(load, from_others),
        sum(_is_correct(o) for o in in_class),
        sum(o.complete and not _is_correct(o) for o in in_class),
        dict(causes),
        _percentile(first_tokens_ms, PERCENTILE),
        _percentile(delays_ms, PERCENTILE),
        (min(retry_afters_s), max(retry_afters_s)) if retry_afters_s else None,
    )


def _attainment(
    load: sites.ClassLoad, outcomes: list[callers.Outcome]
) -> float:
    met = sum(_is_correct(o) and _met_targets(load, o) for o in outcomes)
    return met / len(outcomes) if outcomes else 1.0


def _met_targets(load: sites.ClassLoad, outcome: callers.Outcome) -> bool:
    met = True
    if load.first_token_ms is not None and outcome.first_ms is not None:
        met = outcome.first_ms <= load.first_token_ms
    if load.complete_ms is not None:
        met = met and outcome.end_ms <= load.complete_ms
    return met


def _is_correct(outcome: callers.Outcome) -> bool:
    """Returns whether the response is complete and has its request's text."""
    if not outcome.complete or outcome.planned.is_service:
        return outcome.complete
    planned = outcome.planned
    texts = (
        continuous_batch.token_text(planned.prompt, i)
        for i in range(planned.tokens)
    )
    return outcome.text == "".join(texts)


def _percentile(values_ms: list[float], percentile: float) -> float:
    if not values_ms:
        return 0.0
    hist = histogram.HdrHistogram(1, MAX_UNITS, DIGITS)
    for value in values_ms:
        hist.record_value(max(1, round(value * UNITS_PER_MS)))
    return hist.get_value_at_percentile(percentile) / UNITS_PER_MS
