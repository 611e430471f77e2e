"""Detects that this process did not run for a while."""

from __future__ import annotations

import datetime

import logbook

from hibiscusstile import clock as clock_lib
from hibiscusstile import logs

__all__ = ["PauseDetector"]

_log = logbook.Logger("pausedetection")

_TICK = datetime.timedelta(milliseconds=250)
# Shorter pauses change no age of a fact by more than its bound's margin.
_MIN_PAUSE_S = 1.0
# Data that arrived during a pause has been read this long after its end.
_CATCH_UP_S = 0.5


class PauseDetector:
    """Bounds the delay of data that waited while this process was frozen.

    Args:
        clock: Measures pauses; must advance during them.
    """

    def __init__(self, clock: clock_lib.Clock) -> None:
        self._clock = clock
        self._last_tick_s: float | None = None
        self._resumed_s = float("-inf")
        self._pause_s = 0.0

    @property
    def delay_s(self) -> float:
        """Longest time for which data read now may have waited."""
        now_s = self._clock.monotonic()
        if self._last_tick_s is None:
            return 0.0
        # A pause ends before the first tick after it.
        since_tick_s = now_s - self._last_tick_s
        if since_tick_s > _MIN_PAUSE_S:
            return since_tick_s
        since_resumed_s = now_s - self._resumed_s
        if since_resumed_s < _CATCH_UP_S:
            return self._pause_s + since_resumed_s
        return 0.0

    async def run(self) -> None:
        """Detects pauses until cancelled."""
        while True:
            self.tick()
            await self._clock.sleep(_TICK)

    def tick(self) -> None:
        """Records that the process runs."""
        now_s = self._clock.monotonic()
        if self._last_tick_s is not None:
            pause_s = now_s - self._last_tick_s
            if pause_s > _MIN_PAUSE_S:
                self._resumed_s, self._pause_s = now_s, pause_s
                logs.event(_log, "process_paused", pause_s=round(pause_s, 3))
        self._last_tick_s = now_s
