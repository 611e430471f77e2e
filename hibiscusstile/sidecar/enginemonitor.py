"""Health monitor that detects crashes, hangs and changes of the engine."""

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
    """Polls the engine's health endpoint.

    Args:
        engine: The engine to poll.
        view: Cache view, which is reset for a new engine incarnation.
        note_crash: Attributes a crash to the requests that the engine was
            running; takes the incarnation that crashed.
        fail_running: Ends running attempts with a refusal. The second
            argument is the current incarnation, whose attempts continue. The
            third one is the time since which the engine is silent; attempts
            with later output continue. None stands for a crash.
        announce_health: Sends the changed health to the peers.
        clock: Schedules the polls.
    """

    def __init__(
        self,
        engine: backends.EngineBackend,
        view: cacheview.CacheView,
        note_crash: Callable[[str], Awaitable[None]],
        fail_running: Callable[[outcome.Refusal, str, float | None], None],
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
        """The monitored engine."""
        return self._engine

    @property
    def health(self) -> backends.EngineHealth | None:
        """Last health reported by the engine, None while it is down."""
        return self._health

    async def run(self) -> None:
        """Polls until cancelled."""
        while True:
            await self.poll()
            await self._clock.sleep(_POLL_INTERVAL)

    async def poll(self, *, stream_broke: bool = False) -> None:
        """Probes the engine once and handles the result.

        Args:
            stream_broke: Whether a stream has just ended early. An engine
                that then does not answer counts as crashed, not as hung.
        """
        async with self._poll_lock:
            probe_started_s = self._clock.monotonic()
            result = await self._engine.probe(_PROBE_TIMEOUT.total_seconds())
            if isinstance(result, backends.EngineHealth):
                await self._handle_health(result)
            elif result is not backends.ProbeFailure.MALFORMED:
                await self._handle_probe_failure(
                    result, probe_started_s, stream_broke
                )

    async def _handle_health(self, health: backends.EngineHealth) -> None:
        if health.incarnation != self._incarnation:
            if self._incarnation:
                _log.warning(
                    "engine_restarted incarnation={}", health.incarnation
                )
                await self._note_crash(self._incarnation)
                self._fail_running(_crash_refusal(), health.incarnation, None)
            if self._view.incarnation != health.incarnation:
                self._view.reset(health.incarnation)
            self._incarnation = health.incarnation
        # Peers do not receive the fencing number.
        announced_health = self._health and dataclasses.replace(
            self._health, fencing_number=health.fencing_number
        )
        self._health = health
        if announced_health != health:
            await self._announce_health()

    async def _handle_probe_failure(
        self,
        failure: backends.ProbeFailure,
        probe_started_s: float,
        stream_broke: bool,
    ) -> None:
        # A busy engine may be slow to answer the probe while it generates, so
        # a silent probe ends only the attempts that got no output meanwhile.
        refused = failure is backends.ProbeFailure.REFUSED
        silent_since_s = None if refused else probe_started_s
        refusal = _timeout_refusal()
        if refused or stream_broke:
            refusal = _crash_refusal()
            await self._note_crash(self._incarnation)
        # Repeated while the engine is down, because an attempt that starts
        # after the first failure would otherwise wait on the hung engine.
        self._fail_running(refusal, "", silent_since_s)
        if self._health is not None:
            _log.warning("engine_down reason={}", failure.value)
            self._health = None
            await self._announce_health()


def _crash_refusal() -> outcome.Refusal:
    return outcome.Refusal(
        outcome.Reason.BACKEND_CRASHED,
        "the engine crashed while it ran the request",
        outcome.Verdict.MAY_HAVE_RUN,
    )


def _timeout_refusal() -> outcome.Refusal:
    return outcome.Refusal(
        outcome.Reason.BACKEND_FAILED,
        f"the engine did not answer for {_PROBE_TIMEOUT.total_seconds():g} s",
        outcome.Verdict.MAY_HAVE_RUN,
    )
