"""Tests of the memory budget."""

from __future__ import annotations

from hibiscusstile import memory
from tests.builders import memory as builders

_KIB = builders.KIB


def _end_nothing() -> None:
    raise AssertionError("the request must not be ended")


def test_small_requests_have_a_reserve() -> None:
    """Guards against large requests that leave no room for ordinary ones."""
    budget = builders.budget(builders.StoppedClock())
    assert budget.open("a").start_running(3000 * _KIB)
    assert not budget.open("b").start_arriving(_end_nothing, 200 * _KIB)
    assert budget.open("b").start_running(10 * _KIB)


def test_a_stopped_body_is_ended_for_another() -> None:
    """Guards against clients that keep the room with bodies that stop."""
    clock = builders.StoppedClock()
    budget = builders.budget(clock)
    ended: list[str] = []
    stopped = budget.open("a")
    assert stopped.start_arriving(lambda: ended.append("a"), 3000 * _KIB)
    clock.now_s += 2
    assert budget.open("b").start_arriving(_end_nothing, 3000 * _KIB)
    assert ended == ["a"]
    assert stopped.ended
    assert not stopped.grow(3001 * _KIB)


def test_all_memory_is_given_back() -> None:
    """Guards against a budget that shrinks with each request."""
    budget = builders.budget(builders.StoppedClock())
    with budget.open("a") as holding:
        assert holding.start_arriving(_end_nothing, 100 * _KIB)
        assert holding.grow(200 * _KIB)
        assert holding.start_running(150 * _KIB)
        assert holding.set_unread(50 * _KIB, _end_nothing)
        assert holding.set_unread(0, _end_nothing)
        assert holding.set_unread(70 * _KIB, _end_nothing)
        assert budget.used_bytes()["unread"] == 70 * _KIB
        assert budget.take_held(10 * _KIB)
    budget.give_back(memory.Use.HELD, 10 * _KIB)
    assert set(budget.used_bytes().values()) == {0}
    assert budget.total_bytes == 0
    assert budget.status()["requests"] == 0


def test_requests_in_progress_are_bounded() -> None:
    """Guards against requests that take all descriptors for servers."""
    budget = builders.budget(builders.StoppedClock(), requests=2)
    holdings = [budget.open("a") for _ in range(2)]
    assert all(each.start_running(0) for each in holdings)
    with budget.open("b") as third:
        assert not third.start_running(0)
    holdings[0].__exit__()
    assert budget.open("b").start_running(0)


def test_a_single_body_fits_on_the_smallest_machine() -> None:
    """Guards against limits that refuse a request inside the pages' limits."""
    limits = memory.memory_limits(150, 4100)
    budget = memory.MemoryBudget(limits, builders.StoppedClock())
    with budget.open("a") as holding:
        assert holding.start_arriving(_end_nothing, 4096 * _KIB)
        assert holding.start_running(4096 * _KIB)
    assert limits.max_connections > 1000


def test_a_stream_that_becomes_slow_has_time_to_be_read() -> None:
    """Guards against a response that counts as unread as soon as it is slow."""
    clock = builders.StoppedClock()
    budget = builders.budget(clock)
    ended: list[str] = []
    stream = budget.open("a")
    assert stream.start_running(10 * _KIB)
    clock.now_s += 10
    assert stream.set_unread(1500 * _KIB, lambda: ended.append("a"))
    assert not budget.open("a").start_running(2000 * _KIB)
    clock.now_s += 2
    assert budget.open("a").start_running(2000 * _KIB)
    assert ended == ["a"]


def test_a_slow_response_may_use_the_reserve() -> None:
    """Guards against slow streams that are reset while memory is free."""
    budget = builders.budget(builders.StoppedClock())
    assert budget.open("a").start_running(3030 * _KIB)
    stream = budget.open("b")
    assert stream.start_running(10 * _KIB)
    assert stream.set_unread(160 * _KIB, _end_nothing)


def test_a_complete_body_keeps_its_memory() -> None:
    """Guards against an admitted body that is refused when it is complete."""
    budget = builders.budget(builders.StoppedClock(), requests=1)
    with budget.open("a") as admitted:
        assert admitted.start_arriving(_end_nothing, 100 * _KIB)
        others = [budget.open("b") for _ in range(2)]
        assert not others[0].start_running(0)
        assert admitted.start_running(60 * _KIB)
        used = budget.used_bytes()
        assert (used["arriving"], used["requests"]) == (0, 92 * _KIB)
    assert budget.total_bytes == 0


def test_the_peak_counts_held_responses() -> None:
    """Guards against a peak on the status page below the memory in use."""
    budget = builders.budget(builders.StoppedClock())
    assert budget.take_held(10 * _KIB)
    assert budget.status()["peak_bytes"] == 10 * _KIB
