"""Compares the choosers in the queueing model and writes one JSON line for each figure.

Run as `python -m laburnumford_policy.choice.compare --seed 1`.
"""

import argparse
import collections.abc
import json
import random
import sys
import time

from laburnumford_policy.choice import candidate, load_report, registry, result
from laburnumford_policy.choice.tests import queue_model, scenarios

_DEFAULT_CHOOSER = "latency_aware"
_HIGHER_IS_BETTER = frozenset(
    (
        "local_servers.share_local",
        "paused.share_2s_after",
        "cold_start.share_after_2s",
        "all_refusing.lowest_share",
    )
)
_COST_SAMPLE_CALLS = 20_000
_COST_CANDIDATES = 30

Figures = dict[str, tuple[float, str, int]]  # Value, unit and samples by metric.


def main() -> None:
    """Runs the comparison and writes its figures to the standard output."""
    parser = argparse.ArgumentParser(description="Compare choosers on a queueing model.")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--chooser", action="append", choices=registry.choosers.names())
    arguments = parser.parse_args()
    choosers = arguments.chooser or registry.choosers.names()
    figures_by_chooser = {name: _measure(name, arguments.seed) for name in choosers}
    for line in _lines(figures_by_chooser, arguments.seed):
        sys.stdout.write(json.dumps(line) + "\n")


def _lines(
    figures_by_chooser: collections.abc.Mapping[str, Figures], seed: int
) -> collections.abc.Iterator[dict[str, object]]:
    """Yields the output lines; `baseline` is the best value among the baseline choosers."""
    for chooser, figures in figures_by_chooser.items():
        for metric, (value, unit, samples) in figures.items():
            best = max if metric in _HIGHER_IS_BETTER else min
            others = [
                other[metric][0]
                for name, other in figures_by_chooser.items()
                if name != _DEFAULT_CHOOSER
            ]
            yield {
                "name": f"{metric}.{chooser}",
                "value": round(value, 3),
                "unit": unit,
                "seed": seed,
                "samples": samples,
                "baseline": round(best(others), 3) if others else None,
            }


def _measure(chooser: str, seed: int) -> Figures:
    figures: Figures = {}

    def run(name: str) -> queue_model.Model:
        model = queue_model.Model(getattr(scenarios, name)(seed), chooser).run()
        for label, share in (("p50", 0.5), ("p90", 0.9), ("p99", 0.99), ("p999", 0.999)):
            figures[f"{name}.{label}"] = (
                model.quantile(share) * 1000,
                "ms",
                len(model.calls),
            )
        return model

    for name in ("undisturbed", "busy", "mixed_sizes", "noisy_neighbour", "moving_neighbour"):
        run(name)
    for name in ("refuse_all", "refuse_all_few_calls"):
        model = run(name)
        share = model.share_to("s0") * 100
        figures[f"{name}.share_sent"] = (share, "%", len(model.sends))
    model = run("local_servers")
    share = 100 * sum(name == f"s{node}" for _, name, node in model.sends) / len(model.sends)
    figures["local_servers.share_local"] = (share, "%", len(model.sends))
    model = run("paused")
    start, end = scenarios.PAUSE.start, scenarios.PAUSE.end
    calls = model.count_sent_to("s0", start + 0.05, start + 1.0)
    figures["paused.sent_50ms_to_1s"] = (calls, "calls", len(model.sends))
    share = model.share_to("s0", end + 2.0, end + 2.5) * 100
    figures["paused.share_2s_after"] = (share, "%", len(model.sends))
    model = run("cold_start")
    join = scenarios.COLD_JOIN_S
    for label, offset in (("first_500ms", 0.0), ("after_2s", 2.0)):
        share = model.share_to("s0", join + offset, join + offset + 0.5) * 100
        figures[f"cold_start.share_{label}"] = (share, "%", len(model.sends))
    model = queue_model.Model(scenarios.all_refusing(seed), chooser).run()
    shares = [model.share_to(server.name) * 100 for server in model.servers]
    figures["all_refusing.lowest_share"] = (min(shares), "%", len(model.sends))
    figures["all_refusing.highest_share"] = (max(shares), "%", len(model.sends))
    figures["choose_cost_30"] = (_choose_cost_us(chooser, seed), "us", _COST_SAMPLE_CALLS)
    return figures


def _choose_cost_us(name: str, seed: int) -> float:
    """Returns the mean CPU time of one `choose` among 30 candidates, in microseconds."""
    chooser = registry.choosers.create(name, generator=random.Random(seed))
    chooser.apply(
        [
            candidate.Candidate(name=f"s{index}", slots=12, one_way_delay_ms=1.0)
            for index in range(_COST_CANDIDATES)
        ],
        0.0,
    )
    report = load_report.LoadReport(running=3, queued=0, limit=12, service_time_us=10_000)
    spent_ns = 0
    waiting: list[tuple[float, str]] = []
    for step in range(_COST_SAMPLE_CALLS):
        now = step * 0.002
        began = time.process_time_ns()
        chosen = chooser.choose(now)
        spent_ns += time.process_time_ns() - began
        if chosen is None:
            continue
        chooser.observe_sent(chosen, now)
        waiting.append((now, chosen))
        if len(waiting) > 5:
            sent_at, server = waiting.pop(0)
            answered = result.Result.ANSWERED
            chooser.observe_answer(server, now, now - sent_at, report, answered)
    return spent_ns / _COST_SAMPLE_CALLS / 1000


if __name__ == "__main__":
    main()
