"""Tests of the lease that lets one process at a time order weights."""

from __future__ import annotations

import datetime
import json

import pytest

from hibiscusstile.gateway import notices, rolloutlease
from tests import builders as base
from tests.builders import gateway as builders
from tests.builders import rollout as rollouts

_TOPIC = "hibiscusstile.weights"
_PAUSE = datetime.timedelta(seconds=3)


def _lease(
    clock: base.ManualClock, log: rollouts.MemoryLog, name: str = "a"
) -> rolloutlease.RolloutLease:
    state = builders.gateway_state(clock)
    return rolloutlease.RolloutLease(
        state, log, notices.NoticeHandler(state), name, _PAUSE
    )


@pytest.mark.parametrize(
    "payload",
    [
        b"[" * 100_000,
        b'{"holder": ' + b"[" * 900 + b"]" * 900 + b"}",
        b'{"holder": "\\ud800"}',
        json.dumps({"holder": "x" * 200_000}).encode(),
        b'{"holder": {"holder": "a"}}',
        b'{"holder": 1e999}',
        b'{"holder": ' + b"9" * 5000 + b"}",
        b'["a"]',
        b"\xff",
        b"",
    ],
)
async def test_an_odd_claim_record_counts_as_a_claim_of_another_holder(
    payload: bytes,
) -> None:
    """Guards against a record of another writer that ends the rollout task."""
    clock = base.ManualClock()
    log = rollouts.MemoryLog()
    log.payloads[_TOPIC] = [payload]
    lease = _lease(clock, log)
    assert not await lease.claim()
    clock.advance(5.9)
    assert not await lease.claim()
    clock.advance(0.2)
    assert await lease.claim()
