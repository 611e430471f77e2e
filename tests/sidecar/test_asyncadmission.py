"""Tests of the asynchronous admission queue."""

from __future__ import annotations

import asyncio
import datetime

import pytest

from hibiscusstile import admission, outcome, request
from hibiscusstile.sidecar import asyncadmission
from tests import builders


def _single_slot_queue(**changes: object) -> asyncadmission.AsyncAdmissionQueue:
    clock = builders.ManualClock()
    limits = builders.queue_limits(running=1, **changes)
    return asyncadmission.AsyncAdmissionQueue(
        admission.AdmissionQueue(clock, limits), clock
    )


async def test_displaced_request_is_refused_while_it_waits() -> None:
    """Guards against a displaced request whose task waits forever."""
    queue = _single_slot_queue(
        queued_requests=2, workspace_share=1.0, caller_share=1.0
    )
    await queue.admit(builders.work_item("running"), 1e9)
    async with asyncio.TaskGroup() as tasks:
        large = [
            tasks.create_task(
                _outcome(queue, builders.work_item(name, caller="large"))
            )
            for name in ("first", "second")
        ]
        await asyncio.sleep(0)
        small = tasks.create_task(
            _outcome(queue, builders.work_item("small", caller="small"))
        )
        await asyncio.sleep(0)
        for name in ("running", "first", "small"):
            queue.finish(name, 110)
            await asyncio.sleep(0)
    displaced = large[1].result()
    assert displaced is not None
    assert displaced.reason is outcome.Reason.OVERLOADED
    assert displaced.verdict is outcome.Verdict.NOT_RUN
    assert large[0].result() is None
    assert small.result() is None


async def test_pause_refuses_new_work_and_waits_for_running_work() -> None:
    """Guards against requests that start while weights are being loaded.

    Their output would mix two versions of the weights.
    """
    queue = _single_slot_queue()
    await queue.admit(builders.work_item("w1"), 1e9)
    refusal = outcome.Refusal(outcome.Reason.NOT_LOADED, "loading")
    limit = datetime.timedelta(seconds=1)
    assert not await queue.pause(refusal, limit)
    with pytest.raises(outcome.Refused) as refused:
        await queue.admit(builders.work_item("w2"), 1e9)
    assert refused.value.refusal is refusal
    queue.finish("w1", 110)
    assert await queue.pause(refusal, limit)
    queue.resume()
    await queue.admit(builders.work_item("w3"), 1e9)


async def _outcome(
    queue: asyncadmission.AsyncAdmissionQueue, work: request.WorkItem
) -> outcome.Refusal | None:
    try:
        await queue.admit(work, 1e9)
    except outcome.Refused as refused:
        return refused.refusal
    return None
