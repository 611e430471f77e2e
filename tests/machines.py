"""Checks that a stateful test detects a fault put into the code."""

from __future__ import annotations

import hypothesis
import pytest
from hypothesis import stateful

__all__ = ["assert_machine_fails"]


def assert_machine_fails(
    machine: type[stateful.RuleBasedStateMachine],
    *,
    max_examples: int,
    steps: int,
) -> None:
    """Fails unless a check of the machine fails within `max_examples`."""
    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(
            machine,
            settings=hypothesis.settings(
                max_examples=max_examples,
                stateful_step_count=steps,
                phases=[hypothesis.Phase.generate],
                report_multiple_bugs=False,
                print_blob=False,
            ),
        )
