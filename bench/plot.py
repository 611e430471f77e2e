"""Plots the p95 time to first token against the load, by policy.

Run as `python -m bench.plot`.
"""

from __future__ import annotations

import argparse
import concurrent.futures
import pathlib
import statistics
import sys

import matplotlib as mpl
from matplotlib import pyplot

from bench import assumptions, metrics, report, trial

__all__ = ["main"]

_LOADS = (0.4, 0.5, 0.6, 0.7, 0.8, 0.9, 1.0)
_SEEDS = (101, 102)
_WORKER_PROCESSES = 4
_FIRST_TOKEN_TARGET_S = 0.61


def main() -> int:
    """Writes a PNG file with one plot for each fleet."""
    parser = argparse.ArgumentParser(prog="bench.plot", description=__doc__)
    parser.add_argument("--out", default="docs/first-token-vs-load.png")
    parser.add_argument("--requests", type=int, default=3000)
    arguments = parser.parse_args()
    mpl.use("Agg")
    names = assumptions.fleet_names()
    figure, axes = pyplot.subplots(1, len(names), figsize=(11, 4.5))
    with concurrent.futures.ProcessPoolExecutor(_WORKER_PROCESSES) as pool:
        for name, axis in zip(names, axes, strict=True):
            for policy in report.POLICIES:
                futures = [
                    pool.submit(
                        _mean_urgent_p95_s,
                        name,
                        policy,
                        load,
                        arguments.requests,
                    )
                    for load in _LOADS
                ]
                values = [future.result() for future in futures]
                axis.plot(_LOADS, values, marker="o", label=policy)
            axis.axhline(_FIRST_TOKEN_TARGET_S, color="grey", linestyle=":")
            axis.set_title(name)
            axis.set_yscale("log")
            axis.set_xlabel("offered load / capacity")
            axis.set_ylabel("urgent first token p95, s (virtual time)")
            axis.legend()
    figure.tight_layout()
    figure.savefig(pathlib.Path(arguments.out), dpi=90)
    return 0


def _mean_urgent_p95_s(
    fleet_name: str, policy: str, load: float, request_count: int
) -> float:
    fleet = assumptions.load_fleet(fleet_name)
    values = []
    for seed in _SEEDS:
        timeline = trial.build_timeline(fleet, seed, request_count, load=load)
        trial_result = trial.run_trial(fleet, seed, timeline.arrivals, policy)
        selected = metrics.in_window(
            trial_result.results, timeline.measured_from_s
        )
        values.append(
            metrics.first_token_percentile(selected, "urgent", 0.95) or 0.0
        )
    return statistics.fmean(values)


if __name__ == "__main__":
    sys.exit(main())
