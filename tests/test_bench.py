"""Tests of the benchmark."""

from __future__ import annotations

import json

from bench import assumptions, report
from tests import builders


def test_same_seed_gives_same_report() -> None:
    """Guards against wall-clock time or unseeded random numbers in the bench.

    Reports of the same seed would then differ.
    """
    fleet = assumptions.load_fleet("cooperativa")
    first = report.run(fleet, 3, 200, ("steady", "crash"))
    second = report.run(fleet, 3, 200, ("steady", "crash"))
    assert report.json_line(first) == report.json_line(second)


def test_json_line_has_the_documented_format() -> None:
    """Guards against a changed report format, which scripts could not parse."""
    fleet = assumptions.load_fleet("musgolap")
    line = report.json_line(report.run(fleet, 1, 120, ("steady",)))
    value = json.loads(line)
    assert list(value) == [
        *("seed", "fleet", "requests", "bound_hit_rate"),
        *("policies", "scenarios"),
    ]
    metrics = value["policies"]["bidding"]
    assert set(metrics) == builders.BENCH_METRICS
    assert set(metrics["ttft_p95_s"]) == {"urgent", "routine"}
    assert set(metrics["answered"]) == {"urgent", "routine"}


def test_every_policy_answers_all_requests_undisturbed() -> None:
    """Guards against a simulation that loses requests."""
    fleet = assumptions.load_fleet("cooperativa")
    result = report.run(fleet, 2, 200, ("steady",))
    shares = [m.answered for m in result.policies.values()]
    assert shares == [{"urgent": 1.0, "routine": 1.0}] * 4


def test_crash_loses_no_answer() -> None:
    """Guards against requests that are lost with a crashed engine.

    No bid may count on the cache of that engine either.
    """
    fleet = assumptions.load_fleet("cooperativa")
    result = report.run(fleet, 5, 400, ("crash",)).scenario_results["crash"]
    assert result.metrics["lost"] == 0
    assert result.metrics["relying_on_dead_cache"] == 0
