"""Hypothesis profile of the test run."""

from __future__ import annotations

import os

import hypothesis

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
