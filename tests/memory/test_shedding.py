"""Tests of the decision which requests give way."""

from __future__ import annotations

from hibiscusstile.memory import shedding
from tests.builders import memory as builders

_ARRIVING = shedding.Phase.ARRIVING
_RUNNING = shedding.Phase.RUNNING
_UNREAD = shedding.Phase.UNREAD
_NEWCOMER = builders.Share("new", _ARRIVING, 0)


def _choose(
    shares: list[builders.Share], needed_bytes: int = 1
) -> list[builders.Share]:
    return list(
        shedding.choose([*shares, _NEWCOMER], _NEWCOMER, needed_bytes, 100.0)
    )


def test_a_stopped_body_goes_before_one_that_comes() -> None:
    """Guards against ending uploads that would soon be complete."""
    stopped = builders.Share("a", _ARRIVING, 10, progressed_s=98.0)
    coming = builders.Share("b", _ARRIVING, 1000)
    unread = builders.Share("c", _UNREAD, 500, progressed_s=90.0)
    assert _choose([coming, unread, stopped]) == [stopped]
    assert _choose([coming, unread, stopped], 11) == [stopped, unread]


def test_the_owner_that_holds_most_goes_first() -> None:
    """Guards against a crowd of one key that displaces all others."""
    crowd = [builders.Share("crowd", _ARRIVING, 100 + n) for n in range(3)]
    single = builders.Share("single", _ARRIVING, 200)
    assert _choose([single, *crowd]) == [crowd[2]]


def test_an_owner_does_not_displace_one_that_holds_less() -> None:
    """Guards against requests that end each other in turn."""
    other = builders.Share("other", _ARRIVING, 100)
    assert _choose([other], 100) == []


def test_a_request_that_runs_is_never_ended() -> None:
    """Guards against a refusal that says not run of a request that ran."""
    assert _choose([builders.Share("a", _RUNNING, 1000, 0.0)]) == []


def test_nothing_is_ended_in_vain() -> None:
    """Guards against ending requests although the room does not suffice."""
    stopped = builders.Share("a", _ARRIVING, 10, progressed_s=90.0)
    assert _choose([stopped], 11) == []
