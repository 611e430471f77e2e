"""Tests of the admission queue: order, limits, refusals and fairness."""

from __future__ import annotations

import pytest

from hibiscusstile import admission, outcome
from tests import builders

_PREFILL_TOKENS_PER_S = 20_000.0
_DURATION_S = 60.0


def _queue(
    clock: builders.ManualClock | None = None, **changes: object
) -> admission.AdmissionQueue:
    return admission.AdmissionQueue(
        clock or builders.ManualClock(),
        builders.queue_limits(**changes),
        builders.rank_records,
    )


def _offer(
    queue: admission.AdmissionQueue, work_id: str, **fields: object
) -> outcome.Refusal | None:
    work = builders.work_item(work_id, **fields)  # type: ignore[arg-type]
    return queue.offer(work, 1e9)


def _p95_first_token_s(engine: builders.SimulatedEngine, prefix: str) -> float:
    times = sorted(
        seconds
        for work_id, seconds in engine.first_token_s.items()
        if work_id.startswith(prefix)
    )
    return times[int(len(times) * 0.95)]


def _simulate(*arrival_lists: list) -> builders.SimulatedEngine:  # type: ignore[type-arg]
    engine = builders.SimulatedEngine(_PREFILL_TOKENS_PER_S)
    engine.run(
        [each for arrivals in arrival_lists for each in arrivals], _DURATION_S
    )
    return engine


def _arrivals(
    prefix: str, load_share: float, rank: str, caller: str = ""
) -> list:  # type: ignore[type-arg]
    prompts = (500, 1500) if rank == "urgent" else (4000, 16_000)
    return builders.poisson_arrivals(
        prefix,
        load_share * _PREFILL_TOKENS_PER_S,
        _DURATION_S,
        rank=rank,
        prompt_tokens=prompts,
        caller=caller,
    )


def test_routine_flood_does_not_delay_urgent_first_tokens() -> None:
    """Long routine requests in all slots would delay urgent requests."""
    urgent = _arrivals("u", 0.3, "urgent")
    baseline = _simulate(urgent, _arrivals("r", 0.5, "routine"))
    flooded = _simulate(urgent, _arrivals("r", 5.0, "routine"))
    assert _p95_first_token_s(flooded, "u") <= 1.25 * _p95_first_token_s(
        baseline, "u"
    )
    assert not any(work_id.startswith("u") for work_id in flooded.refused)


def test_routine_rank_keeps_its_share_in_an_urgent_flood() -> None:
    """Strict priority would starve routine requests."""
    served = _simulate(
        _arrivals("u", 3.0, "urgent"), _arrivals("r", 1.0, "routine")
    ).served
    assert served["routine"] >= 0.1 * served.total()


@pytest.mark.parametrize("rank", ["urgent", "routine"])
def test_large_caller_does_not_delay_first_tokens_of_small_ones(
    rank: str,
) -> None:
    """A caller with 20 times the demand would delay all others."""
    small = _arrivals("s", 0.5, rank)
    alone = _simulate(small)
    shared = _simulate(small, _arrivals("l", 20 * 0.5 / 32, rank, "large"))
    assert _p95_first_token_s(shared, "s") <= 1.25 * _p95_first_token_s(
        alone, "s"
    )
    assert not any(work_id.startswith("s") for work_id in shared.refused)


def test_expected_wait_is_near_the_actual_wait() -> None:
    """A wait estimated from the queue length alone would mislead bids."""
    engine = builders.SimulatedEngine(_PREFILL_TOKENS_PER_S)
    engine.run(_arrivals("r", 1.3, "routine"), _DURATION_S)
    expected_s = engine.queue.expected_wait_s(
        builders.work_item("probe", workspace="ws-1", caller="caller-1")
    )
    probe = builders.work_item("probe", workspace="ws-1", caller="caller-1")
    engine.run([(0.0, probe)], _DURATION_S)
    actual_s = engine.first_token_s["probe"]
    assert expected_s > 0.5
    assert actual_s / 2 <= expected_s <= actual_s * 2


def test_full_queue_displaces_the_largest_callers_newest_request() -> None:
    """If the newest request were refused, one caller could fill the queue."""
    queue = _queue(
        running=1, queued_requests=4, workspace_share=1.0, caller_share=1.0
    )
    for number in range(4):
        assert _offer(queue, f"large-{number}", caller="large") is None
    assert _offer(queue, "small", caller="small") is None
    shed = queue.pop_shed()
    assert [each.work.work_id for each in shed] == ["large-3"]
    assert shed[0].refusal.verdict is outcome.Verdict.NOT_RUN
    assert shed[0].refusal.retry_after is not None
    assert _offer(queue, "large-4", caller="large") is not None
    assert queue.pop_shed() == []


def test_urgent_displaces_routine_down_to_its_share_of_the_queue() -> None:
    """Without this limit, an urgent flood would empty the routine queue."""
    queue = _queue(queued_requests=10, workspace_share=1.0, caller_share=1.0)
    for number in range(10):
        assert _offer(queue, f"r{number}") is None
    refused = [
        _offer(queue, f"u{number}", rank="urgent") for number in range(12)
    ]
    assert queue.waiting_by_rank == {"routine": 1, "urgent": 9}
    assert sum(each is not None for each in refused) == 3


def test_caller_and_workspace_shares_of_the_queue_are_limited() -> None:
    """One caller must not fill the queue before others arrive."""
    queue = _queue(queued_requests=20, caller_share=0.25, workspace_share=0.5)
    taken = [_offer(queue, f"w{n}") is None for n in range(8)]
    assert taken == [True] * 5 + [False] * 3
    others = [
        _offer(queue, f"o{n}", caller=f"caller-{n}") is None for n in range(12)
    ]
    displaced = [each.work.work_id for each in queue.pop_shed()]
    assert displaced == ["w4", "w3", "w2", "w1"]
    assert others == [True] * 9 + [False] * 3
    assert queue.waiting == 10


def test_expired_request_never_starts() -> None:
    """Computing a request after its deadline would waste the engine."""
    clock = builders.ManualClock()
    queue = _queue(clock)
    work = builders.work_item("w1")
    assert queue.offer(work, clock.monotonic() + 1.0) is None
    clock.advance(1.5)
    assert queue.start_next() is None
    assert queue.expire() == [work]
    assert queue.waiting == 0


def test_long_expected_wait_is_refused_at_once_with_retry_after() -> None:
    """A request that would expire in the queue is refused on arrival."""
    clock = builders.ManualClock()
    queue = admission.AdmissionQueue(
        clock,
        builders.queue_limits(running=1, queued_tokens=10**6),
        lambda: builders.rank_records(queue_time_s=5.0),
    )
    refusals = [
        _offer(queue, f"w{n}", caller=f"c{n}", prompt_tokens=2000)
        for n in range(6)
    ]
    refusal = next(each for each in refusals if each is not None)
    assert refusal.reason is outcome.Reason.OVERLOADED
    assert refusal.retry_after is not None
    assert 0 < refusal.retry_after.total_seconds() < 10


def test_suspects_run_one_at_a_time() -> None:
    """With two suspects on an engine, one crash would affect both."""
    queue = _queue()
    for name in ("s1", "s2"):
        assert _offer(queue, name, suspect=True) is None
    assert _offer(queue, "plain") is None
    taken = [queue.start_next(), queue.start_next(), queue.start_next()]
    assert [work.work_id for work in taken if work] == ["s1", "plain"]
    queue.finish("s1", 10)
    second = queue.start_next()
    assert second is not None
    assert second.work_id == "s2"


def test_idle_caller_earns_no_credit() -> None:
    """With credit for idle time, a burst would overtake all other callers."""
    queue = _queue(running=1)
    for number in range(40):
        _offer(queue, f"busy-{number}", caller="busy")
        queue.start_next()
        queue.finish(f"busy-{number}", 110)
    for number in range(4):
        _offer(queue, f"busy-x{number}", caller="busy")
        _offer(queue, f"idle-{number}", caller="idle")
    order = []
    while (work := queue.start_next()) is not None:
        order.append(work.caller)
        queue.finish(work.work_id, 110)
    assert order[:4].count("idle") <= 3


def test_changed_ranks_apply_to_waiting_work() -> None:
    """A share that is configured during a flood must apply at once."""
    ranks = builders.rank_records(share=0.0)
    queue = admission.AdmissionQueue(
        builders.ManualClock(),
        builders.queue_limits(running=1, queued_requests=100),
        lambda: ranks,
    )
    for number in range(20):
        _offer(queue, f"u{number}", rank="urgent", caller=f"c{number}")
    _offer(queue, "r", rank="routine")
    ranks.update(builders.rank_records(share=0.5))
    started = []
    for _ in range(4):
        work = queue.start_next()
        assert work is not None
        started.append(work.work_id)
        queue.finish(work.work_id, 110)
    assert "r" in started


def test_caller_with_excess_demand_is_served_last() -> None:
    """Its urgent requests would delay the routine requests of all others."""
    queue = admission.AdmissionQueue(
        builders.ManualClock(),
        builders.queue_limits(
            running=1, queued_requests=1000, caller_share=1.0
        ),
        lambda: builders.rank_records(share=0.0),
    )
    for number in range(5):
        assert (
            _offer(queue, f"o{number}", caller=f"c{number}", rank="urgent")
            is None
        )
    for number in range(20):
        assert (
            _offer(queue, f"x{number}", caller="excess", rank="urgent") is None
        )
    assert _offer(queue, "small", caller="c1", rank="routine") is None
    started = []
    while (work := queue.start_next()) is not None:
        started.append(work)
        queue.finish(work.work_id, 110)
    order = [work.work_id for work in started]
    assert order.index("small") < order.index("x12") < order.index("x19")
    assert len(order) == 26
    assert {work.rank for work in started} == {"urgent", "routine"}
