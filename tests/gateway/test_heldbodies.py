"""Tests of the limits of held response bodies."""

from __future__ import annotations

from hibiscusstile.gateway import heldbodies

_KIB = 1024


def test_all_held_bodies_together_are_bounded() -> None:
    """Guards against bodies that each stay below the limit of one."""
    held = heldbodies.HeldBodies(100 * _KIB, 100 * _KIB)
    with held.hold() as first, held.hold() as second:
        assert first.grow(90 * _KIB)
        assert not second.grow(60 * _KIB)
        # A short body is held whatever others take.
        assert second.grow(16 * _KIB)
        first.release()
        assert second.grow(60 * _KIB)
    assert held.total_bytes == 0


def test_one_held_body_is_bounded() -> None:
    """Guards against a body that takes the memory of all others."""
    held = heldbodies.HeldBodies(100 * _KIB)
    with held.hold() as body:
        assert body.grow(100 * _KIB)
        assert not body.grow(100 * _KIB + 1)


def test_a_body_that_fails_is_released() -> None:
    """Guards against limits that shrink with each failed response."""
    held = heldbodies.HeldBodies()
    try:
        with held.hold() as body:
            body.grow(100 * _KIB)
            raise TimeoutError
    except TimeoutError:
        pass
    assert held.total_bytes == 0
