"""Tests of the runner selection for suspect requests."""

from __future__ import annotations

import types
from typing import Any

import pytest

from hibiscusstile import outcome, policies, suspects
from hibiscusstile.entry import suspectisolation
from tests import builders

_ZONE_BY_RUNNER = {"r1": "az-1", "r2": "az-1", "r3": "az-2"}


def _create_isolator(
    table: suspects.SuspectTable, zones: dict[str, str]
) -> suspectisolation.SuspectIsolator:
    fleet: Any = types.SimpleNamespace(
        runners=lambda model: [policies.RunnerView(name) for name in zones],
        link=lambda name: types.SimpleNamespace(
            info=types.SimpleNamespace(zone=zones[name])
        ),
    )
    return suspectisolation.SuspectIsolator(table, fleet)


def test_a_suspect_goes_to_another_zone_if_there_is_one() -> None:
    """Guards against blocking a request because a rack failure hit it twice."""
    table = suspects.SuspectTable(builders.ManualClock())
    chat = builders.chat_request()
    digest = suspects.fingerprint("growers", chat)
    table.note_crash(
        suspects.CrashedEngine("az-1", "r1", "i1"), [digest, "other"]
    )
    isolator = _create_isolator(table, _ZONE_BY_RUNNER)
    not_run = outcome.Verdict.NOT_RUN
    assert isolator.check("growers", chat, not_run) == digest
    assert isolator.candidate_runners(digest, "m1", frozenset()) == ["r3"]
    assert isolator.candidate_runners(digest, "m1", frozenset({"r3"})) == ["r2"]
    assert _create_isolator(table, {"r1": "az-1"}).candidate_runners(
        digest, "m1", frozenset()
    ) == ["r1"]


def test_a_blocked_request_keeps_the_earlier_verdict() -> None:
    """Guards against a third crash, and against a false `not_run` verdict."""
    table = suspects.SuspectTable(builders.ManualClock())
    chat = builders.chat_request()
    digest = suspects.fingerprint("growers", chat)
    for peer in ("r1", "r3"):
        table.note_crash(suspects.CrashedEngine("az", peer, "i1"), [digest])
    with pytest.raises(outcome.Refused) as caught:
        _create_isolator(table, _ZONE_BY_RUNNER).check(
            "growers", chat, outcome.Verdict.MAY_HAVE_RUN
        )
    assert caught.value.refusal.reason is outcome.Reason.SUSPECT
    assert caught.value.refusal.verdict is outcome.Verdict.MAY_HAVE_RUN
