"""Tests of the bench: its figures must not depend on the machine's clock."""

from __future__ import annotations

import json

from bench import assumptions, report
from tests import builders


def test_same_seed_gives_the_same_figures() -> None:
    """Guards against wall-clock time or unseeded chance in the bench."""
    fleet = assumptions.load_fleet("cooperativa")
    first = report.run(fleet, 3, 200, ("steady", "crash"))
    second = report.run(fleet, 3, 200, ("steady", "crash"))
    assert report.json_line(first) == report.json_line(second)


def test_json_line_has_the_form_of_the_design_page() -> None:
    """Guards against a report that scripts cannot read."""
    fleet = assumptions.load_fleet("musgolap")
    line = report.json_line(report.run(fleet, 1, 120, ("steady",)))
    value = json.loads(line)
    assert list(value) == [
        *("seed", "fleet", "requests", "bound_hit_rate"),
        *("policies", "scenarios"),
    ]
    figures = value["policies"]["bidding"]
    assert set(figures) == builders.BENCH_METRICS
    assert set(figures["ttft_p95_s"]) == {"urgent", "routine"}
    assert set(figures["answered"]) == {"urgent", "routine"}


def test_every_policy_answers_everything_without_disturbance() -> None:
    """Guards against requests that the simulation loses."""
    fleet = assumptions.load_fleet("cooperativa")
    result = report.run(fleet, 2, 200, ("steady",))
    shares = [f.answered for f in result.policies.values()]
    assert shares == [{"urgent": 1.0, "routine": 1.0}] * 4


def test_a_crash_loses_no_answer() -> None:
    """Guards against requests that end with the engine that ran them."""
    fleet = assumptions.load_fleet("cooperativa")
    result = report.run(fleet, 5, 400, ("crash",)).scenario_results["crash"]
    assert result.metrics["lost"] == 0
    assert result.metrics["relying_on_dead_cache"] == 0
