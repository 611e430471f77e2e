"""Compares the reports of several seeds.

Run as `python -m bench.summary --seeds 1-5`.
"""

from __future__ import annotations

import argparse
import concurrent.futures
import statistics
import sys

from bench import assumptions, report

__all__ = ["main"]

_WORKER_PROCESSES = 4


def main() -> int:
    """Prints means over the seeds and how many seeds met each target."""
    parser = argparse.ArgumentParser(prog="bench.summary", description=__doc__)
    parser.add_argument("--seeds", default="1-5", help="first-last")
    parser.add_argument("--fleet", action="append", default=[])
    parser.add_argument("--requests", type=int, default=4000)
    parser.add_argument("--scenario", action="append", default=[])
    arguments = parser.parse_args()
    first, last = map(int, arguments.seeds.split("-"))
    fleets = arguments.fleet or assumptions.fleet_names()
    jobs = [(f, s) for f in fleets for s in range(first, last + 1)]
    with concurrent.futures.ProcessPoolExecutor(_WORKER_PROCESSES) as pool:
        futures = [
            pool.submit(
                _run, *job, arguments.requests, tuple(arguments.scenario)
            )
            for job in jobs
        ]
        reports = [future.result() for future in futures]
    for fleet in fleets:
        _print([each for each in reports if each.fleet == fleet])
    return 0


def _run(
    fleet: str, seed: int, request_count: int, scenario_names: tuple[str, ...]
) -> report.Report:
    return report.run(
        assumptions.load_fleet(fleet), seed, request_count, scenario_names
    )


def _print(reports: list[report.Report]) -> None:
    seeds = ",".join(str(each.seed) for each in reports)
    bound = statistics.fmean(each.bound_hit_rate for each in reports)
    print(f"{reports[0].fleet}, seeds {seeds}, bound {bound:.4f}")
    print(
        f"{'policy':<14}{'hit rate':>9}{'recomputed':>12}"
        f"{'urgent p95 s':>14}{'routine p95 s':>15}"
    )
    for name in reports[0].policies:
        all_metrics = [each.policies[name] for each in reports]
        columns: list[list[float]] = [
            [m.prefix_hit_rate for m in all_metrics],
            [m.recomputed_tokens for m in all_metrics],
            [m.ttft_p95_s["urgent"] or 0.0 for m in all_metrics],
            [m.ttft_p95_s["routine"] or 0.0 for m in all_metrics],
        ]
        hit, recomputed, urgent, routine = (
            statistics.fmean(column) for column in columns
        )
        print(
            f"{name:<14}{hit:>9.4f}{recomputed:>12.0f}"
            f"{urgent:>14.3f}{routine:>15.3f}"
        )
    for name, result in reports[0].scenario_results.items():
        for index, target in enumerate(result.targets):
            targets = [
                each.scenario_results[name].targets[index] for each in reports
            ]
            values = " ".join(
                _format_value(t.value, t.limit, t.met) for t in targets
            )
            met = sum(t.met for t in targets)
            print(f"{name:<14}{target.text:<46}{met}/{len(targets)}  {values}")
    print()


def _format_value(value: float | None, limit: float, met: bool) -> str:
    shown = "-" if value is None else f"{value:.3g}"
    return shown if met else f"{shown}!({limit:.3g})"


if __name__ == "__main__":
    sys.exit(main())
