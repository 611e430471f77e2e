"""Hypothesis profile and known failures of the test run."""

from __future__ import annotations

import os

import hypothesis
import pytest

from tests import knownfailures

_STATEFUL_STEPS = int(os.environ.get("HIBISCUSSTILE_FUZZ_STEPS", "30"))

hypothesis.settings.register_profile(
    "fixed",
    stateful_step_count=_STATEFUL_STEPS,
    max_examples=max(20, _STATEFUL_STEPS),
    deadline=None,
    print_blob=True,
    database=None,
    derandomize="HIBISCUSSTILE_FUZZ_STEPS" not in os.environ,
    suppress_health_check=list(hypothesis.HealthCheck),
)
hypothesis.settings.load_profile("fixed")


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Lets the tests of KNOWN-RED.txt fail."""
    knownfailures.mark(items, knownfailures.read_entries())


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Prints the outcomes of the tests of KNOWN-RED.txt."""
    lines = knownfailures.report_lines(
        terminalreporter.getreports("xfailed"),
        terminalreporter.getreports("xpassed"),
    )
    if lines:
        terminalreporter.section("KNOWN-RED.txt")
        for line in lines:
            terminalreporter.line(line)
