"""Watches for servers that send no event of a stream for a while.

Silence alone ends no stream: only its time limit does. Only events count as
output, since a server may send comments that keep the connection open for as
long as it likes.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
from collections.abc import AsyncIterator, Callable

from hibiscusstile.gateway import routes

__all__ = ["ServerSilent", "SilenceLimits", "SilenceWatch"]

# Callers abandon a stream after the longest of these gaps between two events.
_MIN_PATIENCE_S = 2.0
_PATIENCE_TARGETS = 4.0
_PATIENCE_EVENT_GAPS = 8.0
# Share of the caller's patience after which the stream may leave a server. The
# next one has the rest of it to send its first event.
_LEAVE_SHARE = 0.5
# Share of the caller's patience after which a server counts as one that does
# not respond. After all of it the caller may have left.
_SUSPECT_SHARE = 0.9
# Time in which data is read that arrived while this process was paused.
_CATCH_UP_S = 0.05
# Time until a caller that does not read, or another server, is checked again.
_RECHECK_S = 0.25


class ServerSilent(Exception):  # noqa: N818 - an outcome, not a program error
    """The stream leaves a silent server, since another one may continue it."""


@dataclasses.dataclass(frozen=True, slots=True)
class SilenceLimits:
    """Times without an event.

    Attributes:
        leave_s: After this time the stream may leave its server.
        suspect_s: After this time the server counts as one that does not
            respond.
    """

    leave_s: float
    suspect_s: float

    @classmethod
    def for_route(cls, route: routes.Route) -> SilenceLimits:
        """Returns the limits for the streams of a route."""
        patience_s = max(
            _MIN_PATIENCE_S,
            _PATIENCE_TARGETS * route.target_latency_s,
            _PATIENCE_EVENT_GAPS * route.event_gap_s,
        )
        return cls(_LEAVE_SHARE * patience_s, _SUSPECT_SHARE * patience_s)


class SilenceWatch:
    """Notices a silent server, and ends the wait for it once another is ready.

    Args:
        limits: Times without output.
        note_silent: Called once, when the stream leaves the server or it has
            been silent for too long.
        try_leave: Returns whether the stream leaves its silent server now;
            called until it does or the server sends an event.
    """

    def __init__(
        self,
        limits: SilenceLimits,
        note_silent: Callable[[], None],
        try_leave: Callable[[], bool],
    ) -> None:
        self._limits = limits
        self._note_silent = note_silent
        self._try_leave = try_leave
        self._loop = asyncio.get_running_loop()
        self._scope = asyncio.timeout(None)
        self._timer: asyncio.TimerHandle | None = None
        self._output_s = self._loop.time()
        self._paused_s: float | None = None
        self._output_count = 0
        # Output after which the limit was seen to have passed.
        self._overdue_count: int | None = None
        self._suspected = False
        self._silent = False

    @property
    def suspected(self) -> bool:
        """Whether `note_silent` was called."""
        return self._suspected

    @property
    def silent(self) -> bool:
        """Whether it was called and no output has followed."""
        return self._silent

    @contextlib.asynccontextmanager
    async def watching(self) -> AsyncIterator[None]:
        """Watches during the context.

        Raises:
            ServerSilent: The stream leaves the server.
        """
        self._output_s = self._loop.time()
        self._schedule(self._output_s + self._limits.leave_s)
        try:
            async with self._scope:
                yield
        except TimeoutError:
            if not self._scope.expired():
                raise
            self._suspect()
            raise ServerSilent from None
        finally:
            if self._timer is not None:
                self._timer.cancel()

    def pause(self) -> None:
        """Stops counting while the caller is written to.

        The stream stays if it was about to leave: output may arrive in the
        same step of the event loop, and a write must not be cancelled, since
        the caller would be sent its event again.
        """
        self._paused_s = self._loop.time()
        if self._scope.when() is not None:
            self._scope.reschedule(None)
            self._schedule(self._paused_s + _RECHECK_S)

    def resume(self, *, output: bool) -> float:
        """Counts again and returns the length of the pause in seconds.

        Args:
            output: Whether the server has sent an event.
        """
        now_s = self._loop.time()
        pause_s = 0.0 if self._paused_s is None else now_s - self._paused_s
        self._paused_s = None
        if output:
            self._output_s = now_s
            self._output_count += 1
            self._silent = False
        else:
            self._output_s += pause_s
        return pause_s

    def _schedule(self, time_s: float) -> None:
        self._timer = self._loop.call_at(time_s, self._check)

    def _check(self) -> None:
        now_s = self._loop.time()
        due_s = self._output_s + self._limits.leave_s
        if self._paused_s is not None:
            self._schedule(now_s + _RECHECK_S)
        elif now_s < due_s:
            self._schedule(due_s)
        elif self._overdue_count != self._output_count:
            self._overdue_count = self._output_count
            self._schedule(now_s + _CATCH_UP_S)
        else:
            self._check_silent(now_s)

    def _check_silent(self, now_s: float) -> None:
        if self._try_leave():
            self._scope.reschedule(now_s)
            return
        suspect_s = self._output_s + self._limits.suspect_s
        if now_s >= suspect_s:
            self._suspect()
            self._schedule(now_s + _RECHECK_S)
        else:
            self._schedule(min(suspect_s, now_s + _RECHECK_S))

    def _suspect(self) -> None:
        if not self._suspected:
            self._suspected = self._silent = True
            self._note_silent()
