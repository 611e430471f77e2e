"""Record of the planned work and the faults of a soak."""

from __future__ import annotations

import contextlib
import dataclasses
from collections.abc import Callable, Collection, Iterator

from soak import builders

__all__ = ["Stop", "WorkLog"]

# A change counts as the cause of a loss until this long after it: the time in
# which a gateway applies a configuration, and 1 s.
_CHANGE_EFFECT_S = 3.0
_STOP_EFFECT_S = builders.GRACE_S + 1.0
# A request is judged only without faults from this long before it.
_FAULT_EFFECT_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class Stop:
    """A stop signal that a gateway got.

    Attributes:
        gateway: Address of the gateway for callers.
        signalled_s: Time of its first stop signal.
    """

    gateway: str
    signalled_s: float


class WorkLog:
    """Records what was done to the processes, and when.

    Args:
        now_s: Returns the current time in seconds; callers' times are compared
            with it.
    """

    def __init__(self, now_s: Callable[[], float]) -> None:
        self._now_s = now_s
        self._names: list[str] = []
        self._stops: list[Stop] = []
        self._reloads: list[tuple[str, float]] = []
        self._changes: list[float] = []
        self._faults: list[tuple[float, float]] = []
        self._breaks: list[tuple[int, float]] = []

    @property
    def names(self) -> tuple[str, ...]:
        """Names of all actions, in the order of their start."""
        return tuple(self._names)

    def note_action(self, name: str) -> None:
        """Records the start of an action."""
        self._names.append(name)

    def note_stop(self, gateway: str) -> None:
        """Records a gateway's stop signal."""
        self._stops.append(Stop(gateway, self._now_s()))

    def note_reload(self, gateway: str) -> None:
        """Records a gateway's reload signal."""
        self._reloads.append((gateway, self._now_s()))

    def note_change(self) -> None:
        """Records a new version of the configuration or the weights."""
        self._changes.append(self._now_s())

    def note_break(self, server: int) -> None:
        """Records that a backend server drops its connections."""
        self._breaks.append((server, self._now_s()))

    def broke_off(
        self, servers: Collection[int], sent_s: float, ended_s: float
    ) -> bool:
        """Returns whether one of the servers broke off a request."""
        return any(
            server in servers and sent_s <= time_s <= ended_s
            for server, time_s in self._breaks
        )

    @contextlib.contextmanager
    def unplanned(self) -> Iterator[None]:
        """Records a fault that lasts until the context ends."""
        started_s = self._now_s()
        try:
            yield
        finally:
            self._faults.append((started_s, self._now_s()))

    def faulty(self, sent_s: float, ended_s: float) -> bool:
        """Returns whether a fault may have affected a request."""
        return any(
            start_s <= ended_s and end_s >= sent_s - _FAULT_EFFECT_S
            for start_s, end_s in self._faults
        )

    def find_stop(self, gateway: str, ended_s: float) -> Stop | None:
        """Returns the stop during which a gateway ended a request, or None."""
        stops = [
            stop
            for stop in self._stops
            if stop.gateway == gateway
            and 0 <= ended_s - stop.signalled_s <= _STOP_EFFECT_S
        ]
        return stops[-1] if stops else None

    def was_changed(self, gateway: str, sent_s: float, ended_s: float) -> bool:
        """Returns whether a reload or a change came around a request."""
        times = [
            time_s for address, time_s in self._reloads if address == gateway
        ]
        return any(
            time_s <= ended_s and sent_s <= time_s + _CHANGE_EFFECT_S
            for time_s in [*times, *self._changes]
        )
