"""Tests of the rounds of bids in which the entry selects a runner."""

from __future__ import annotations

from typing import Any, cast

import pytest

from hibiscusstile import outcome
from hibiscusstile.configuration import store
from hibiscusstile.entry import routing
from tests import builders


async def test_further_runners_are_asked_when_all_candidates_refuse() -> None:
    """Guards against a refusal while a runner outside the round is free."""
    sidecars = builders.FakeSidecarPool(runners=8, free={"runner5"})
    router = routing.Router(cast(Any, sidecars), store.ConfigurationStore())
    work = builders.work_item_with_history("w1")
    route = await router.route(work, "default", frozenset())
    assert route.runner == "runner5"
    assert len(sidecars.queried_runners) == len(set(sidecars.queried_runners))


async def test_the_reason_of_the_bids_is_returned() -> None:
    """Guards against unlimited bid rounds and a refusal without a reason."""
    sidecars = builders.FakeSidecarPool(runners=40, free=set())
    router = routing.Router(cast(Any, sidecars), store.ConfigurationStore())
    with pytest.raises(outcome.Refused) as caught:
        await router.route(
            builders.work_item_with_history("w1"), "default", frozenset()
        )
    assert caught.value.refusal.reason is outcome.Reason.OVERLOADED
    assert caught.value.refusal.verdict is outcome.Verdict.NOT_RUN
    assert len(sidecars.queried_runners) < 20
