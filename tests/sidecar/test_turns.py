"""Tests of attempts that wait for their turn."""

from __future__ import annotations

import asyncio
import datetime

import pytest

from hibiscusstile import admission, outcome, request
from hibiscusstile.sidecar import turns
from tests import builders


def _turns(**changes: object) -> turns.Turns:
    clock = builders.ManualClock()
    limits = builders.queue_limits(running=1, **changes)
    return turns.Turns(admission.AdmissionQueue(clock, limits), clock)


async def test_displaced_request_is_refused_while_it_waits() -> None:
    """A displaced request that is not told would wait for ever."""
    waiting = _turns(queued_requests=2, workspace_share=1.0, caller_share=1.0)
    await waiting.wait(builders.work_item("running"), 1e9)
    async with asyncio.TaskGroup() as tasks:
        large = [
            tasks.create_task(
                _outcome(waiting, builders.work_item(name, caller="large"))
            )
            for name in ("first", "second")
        ]
        await asyncio.sleep(0)
        small = tasks.create_task(
            _outcome(waiting, builders.work_item("small", caller="small"))
        )
        await asyncio.sleep(0)
        for name in ("running", "first", "small"):
            waiting.finish(name, 110)
            await asyncio.sleep(0)
    displaced = large[1].result()
    assert displaced is not None
    assert displaced.reason is outcome.Reason.OVERLOADED
    assert displaced.verdict is outcome.Verdict.NOT_RUN
    assert large[0].result() is None
    assert small.result() is None


async def test_pause_refuses_new_work_and_waits_for_running_work() -> None:
    """Work that starts during a load of weights would mix versions."""
    waiting = _turns()
    await waiting.wait(builders.work_item("w1"), 1e9)
    refusal = outcome.Refusal(outcome.Reason.NOT_LOADED, "loading")
    limit = datetime.timedelta(seconds=1)
    assert not await waiting.pause(refusal, limit)
    with pytest.raises(outcome.Refused) as refused:
        await waiting.wait(builders.work_item("w2"), 1e9)
    assert refused.value.refusal is refusal
    waiting.finish("w1", 110)
    assert await waiting.pause(refusal, limit)
    waiting.resume()
    await waiting.wait(builders.work_item("w3"), 1e9)


async def _outcome(
    waiting: turns.Turns, work: request.WorkItem
) -> outcome.Refusal | None:
    try:
        await waiting.wait(work, 1e9)
    except outcome.Refused as refused:
        return refused.refusal
    return None
