"""Notices that the local engine has crashed, frozen or changed."""

from __future__ import annotations

import asyncio
import dataclasses
import datetime
from collections.abc import Awaitable, Callable

import logbook

from hibiscusstile import backends, cacheview, outcome
from hibiscusstile import clock as clock_lib

__all__ = ["EngineMonitor"]

_log = logbook.Logger("sidecar")

_POLL_INTERVAL = datetime.timedelta(milliseconds=500)
_PROBE_TIMEOUT = datetime.timedelta(milliseconds=1500)


class EngineMonitor:
    """Polls the engine's health.

    Args:
        engine: The engine.
        view: Reset when the engine has a new incarnation.
        note_crash: Charges a crash to what the engine was running; takes the
            incarnation that ended.
        fail_running: Ends running attempts with a refusal; the second
            argument names the present incarnation, whose attempts go on.
        announce_health: Tells peers that `health` has changed.
        clock: Paces the polls.
    """

    def __init__(
        self,
        engine: backends.EngineBackend,
        view: cacheview.CacheView,
        note_crash: Callable[[str], Awaitable[None]],
        fail_running: Callable[[outcome.Refusal, str], None],
        announce_health: Callable[[], Awaitable[None]],
        clock: clock_lib.Clock,
    ) -> None:
        self._engine = engine
        self._view = view
        self._note_crash = note_crash
        self._fail_running = fail_running
        self._announce_health = announce_health
        self._clock = clock
        self._health: backends.EngineHealth | None = None
        self._incarnation = ""
        self._poll_lock = asyncio.Lock()

    @property
    def engine(self) -> backends.EngineBackend:
        """The engine."""
        return self._engine

    @property
    def health(self) -> backends.EngineHealth | None:
        """What the engine last said of itself, None while it is down."""
        return self._health

    async def run(self) -> None:
        """Polls until cancelled."""
        while True:
            await self.poll()
            await self._clock.sleep(_POLL_INTERVAL)

    async def poll(self, *, stream_broke: bool = False) -> None:
        """Asks the engine once and acts on what it says.

        Args:
            stream_broke: Whether a stream has just ended early. An engine that
                does not answer then is taken as crashed and not as frozen.
        """
        async with self._poll_lock:
            result = await self._engine.probe(_PROBE_TIMEOUT.total_seconds())
            if isinstance(result, backends.EngineHealth):
                await self._handle_health(result)
            elif result is not backends.ProbeFailure.MALFORMED:
                await self._handle_probe_failure(result, stream_broke)

    async def _handle_health(self, health: backends.EngineHealth) -> None:
        if health.incarnation != self._incarnation:
            if self._incarnation:
                _log.warning(
                    "engine_restarted incarnation={}", health.incarnation
                )
                await self._note_crash(self._incarnation)
                self._fail_running(_crash_refusal(), health.incarnation)
            if self._view.incarnation != health.incarnation:
                self._view.reset(health.incarnation)
            self._incarnation = health.incarnation
        # The fencing number changes nothing that peers know.
        announced = self._health and dataclasses.replace(
            self._health, fencing_number=health.fencing_number
        )
        self._health = health
        if announced != health:
            await self._announce_health()

    async def _handle_probe_failure(
        self, failure: backends.ProbeFailure, stream_broke: bool
    ) -> None:
        # Also while it is known to be down: an attempt that was on its way
        # would hang on a frozen engine until the next change.
        if failure is backends.ProbeFailure.REFUSED or stream_broke:
            await self._note_crash(self._incarnation)
            self._fail_running(_crash_refusal(), "")
        else:
            self._fail_running(_timeout_refusal(), "")
        if self._health is not None:
            _log.warning("engine_down reason={}", failure.value)
            self._health = None
            await self._announce_health()


def _crash_refusal() -> outcome.Refusal:
    return outcome.Refusal(
        outcome.Reason.BACKEND_CRASHED,
        "the engine crashed",
        outcome.Verdict.MAY_HAVE_RUN,
    )


def _timeout_refusal() -> outcome.Refusal:
    return outcome.Refusal(
        outcome.Reason.BACKEND_FAILED,
        f"the engine did not answer for {_PROBE_TIMEOUT.total_seconds():g} s",
        outcome.Verdict.MAY_HAVE_RUN,
    )
