"""Delays requests whose shared prefix another request is prefilling."""

from __future__ import annotations

import asyncio
import contextlib

import logbook

from hibiscusstile import logs
from hibiscusstile.gateway import (
    enginerates,
    exchange,
    notices,
    pendingprefills,
    selection,
)
from hibiscusstile.gateway import state as state_lib

__all__ = ["PrefillCoalescer"]

_log = logbook.Logger("prefixturn")

# Time from a request's arrival until which it may wait, in multiples of the
# target latency. If sent, it would queue behind the same prefill at the engine.
# Callers abandon a request without an event after four times the target.
_MAX_WAIT_TARGETS = 2.0


class PrefillCoalescer:
    """Coordinates one request's prefill of its shared prefix with others.

    Args:
        state: State of this gateway process.
        request: The request.
        target_latency_s: Target latency of the route.
        rates: Estimate of the service's engines.
    """

    def __init__(
        self,
        state: state_lib.GatewayState,
        request: exchange.ForwardedRequest,
        target_latency_s: float,
        rates: enginerates.EngineRates,
    ) -> None:
        self._state = state
        self._rates = rates
        self._request = request
        self._wait_until_s = (
            request.received_s + _MAX_WAIT_TARGETS * target_latency_s
        )
        self._shared_parts = request.shared_parts
        self._shared_tokens = sum(part.tokens for part in self._shared_parts)
        self._prefill_salt: str | None = None

    async def wait(self, selected: selection.SelectedServer) -> bool:
        """Waits while another request prefills the prefix.

        Returns:
            Whether it waited. The caller must then select a server again, as
            the selected one may have left or changed its weights.
        """
        prefill = self._state.pending_prefills.find(
            selected.candidate.cache_salt, self._shared_parts
        )
        remaining_s = self._wait_until_s - self._state.clock.monotonic()
        if (
            prefill is None
            or remaining_s <= 0
            or self._needs_no_prefill(selected, prefill)
        ):
            return False
        logs.event(
            _log,
            "prefix_awaited",
            request=self._request.request_id,
            server=prefill.server_id,
            most_s=round(remaining_s, 3),
        )
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(remaining_s):
                await prefill.done.wait()
        return True

    def begin(self, selected: selection.SelectedServer) -> None:
        """Records and announces that the request is being sent.

        Unless the server has the shared parts, they count as pending prefills
        until `finish`.
        """
        candidate = selected.candidate
        salt, server_id = candidate.cache_salt, candidate.server.server_id
        prefilling = selected.cached_tokens < self._shared_tokens
        if prefilling:
            self._prefill_salt = salt
        now_s = self._state.clock.monotonic()
        for part in self._shared_parts:
            self._state.recent_prefills.note(salt, part.part_id, now_s)
            self._state.notices.add_prefix(
                server_id,
                salt,
                part,
                prefilling=prefilling,
                now_s=now_s,
            )
            if prefilling:
                self._state.pending_prefills.begin(salt, part, server_id)
        uncached_tokens = self._request.prompt_tokens - selected.cached_tokens
        prefill_s = uncached_tokens / self._rates.prefill_tokens_per_s
        is_long = prefill_s > selection.LONG_PREFILL_S
        if is_long:
            self._state.notices.send_soon()
        self._state.even_load.traffic(candidate.server.service).note_sent(
            prefill_s if is_long else 0.0,
            notices.announced_tokens(self._shared_parts),
            now_s,
        )

    def finish(self) -> None:
        """Records that the prefill has finished or the request has ended."""
        salt, self._prefill_salt = self._prefill_salt, None
        if salt is None:
            return
        for part in self._shared_parts:
            self._state.pending_prefills.finish(salt, part.part_id)
            self._state.notices.add_prefill_done(salt, part)

    def _needs_no_prefill(
        self,
        selected: selection.SelectedServer,
        prefill: pendingprefills.PendingPrefill,
    ) -> bool:
        """Returns whether the server has or can fetch the whole prefix."""
        candidate = selected.candidate
        if candidate.stored_tokens >= self._shared_tokens:
            return True
        cached = candidate.load.cached_tokens(
            candidate.cache_salt, self._shared_parts
        )
        # On the prefilling engine, parts count as cached before they are
        # computed.
        return (
            cached >= self._shared_tokens
            and prefill.server_id != candidate.server.server_id
        )
