"""Has requests with the same prefix wait until it has been read once."""

from __future__ import annotations

import asyncio
import contextlib

import logbook

from hibiscusstile import logs
from hibiscusstile.gateway import exchange, load, pendingprefills, selection
from hibiscusstile.gateway import state as state_lib

__all__ = ["PrefillCoalescer"]

_log = logbook.Logger("prefixturn")

# Targets that a request waits at most; at the engine it would wait for the
# same read. Callers leave after four.
_MAX_WAIT_TARGETS = 2.0


class PrefillCoalescer:
    """One request's part in reading its prefix.

    Args:
        state: State of this gateway process.
        request: The request.
        target_s: Time in which its answer has its full value.
    """

    def __init__(
        self,
        state: state_lib.GatewayState,
        request: exchange.ForwardedRequest,
        target_s: float,
    ) -> None:
        self._state = state
        self._request = request
        self._wait_until_s = request.received_s + _MAX_WAIT_TARGETS * target_s
        self._shared_parts = request.parts[:-1]
        self._shared_tokens = sum(part.tokens for part in self._shared_parts)
        self._prefill_salt: str | None = None

    async def wait(self, selected: selection.SelectedServer) -> bool:
        """Waits while another request has the prefix read.

        Returns:
            Whether it waited: the server must then be selected anew, as it
            may have left or changed its weights meanwhile.
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
        """Notes, and tells other gateways, that the request is sent."""
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
        if uncached_tokens > load.LONG_PROMPT_TOKENS:
            self._state.notices.send_soon()

    def finish(self) -> None:
        """Notes that the prefix was read, or that its request has ended."""
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
        """Returns whether the server need not read the prefix."""
        candidate = selected.candidate
        if candidate.stored_tokens >= self._shared_tokens:
            return True
        cached = candidate.load.cached_tokens(
            candidate.cache_salt, self._shared_parts
        )
        # The reading engine's parts count as cached before they are read.
        return (
            cached >= self._shared_tokens
            and prefill.server_id != candidate.server.server_id
        )
