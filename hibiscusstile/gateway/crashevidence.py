"""What one request tells about prompt parts that crash engines."""

from __future__ import annotations

import asyncio
import functools
import hashlib

from hibiscusstile import outcome
from hibiscusstile.gateway import crashfacts, exchange, fleet, resolving
from hibiscusstile.gateway import state as state_lib

__all__ = ["RequestEvidence"]

_MAX_KEY_CHARS = 128
_DIGEST_BYTES = 16


class RequestEvidence:
    """Keys of one request, and what its runs tell about them.

    A request has a key for each of its shared prompt parts, and one for the
    whole request. The last part has none, since it belongs to the request or
    its session alone.

    Args:
        state: State of this gateway process.
        request: The request.
        destination: Route, service and workspace of the request.
    """

    def __init__(
        self,
        state: state_lib.GatewayState,
        request: exchange.ForwardedRequest,
        destination: resolving.Destination,
    ) -> None:
        self._state = state
        self._charges = state.crashing_parts.charges
        self._request = request
        self._destination = destination
        keys = (
            f"{request.model}/{part.part_id}" for part in request.parts[:-1]
        )
        self._part_keys = tuple(dict.fromkeys(_bounded(key) for key in keys))
        self._survived = False

    @functools.cached_property
    def _fingerprint(self) -> str:
        """Key that is the same whenever the request is sent again."""
        workspace = self._destination.workspace
        digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
        for field in (
            workspace.name if workspace else "",
            self._request.method,
            self._request.host,
            self._request.target,
        ):
            data = field.encode(errors="surrogateescape")
            digest.update(len(data).to_bytes(8, "big"))
            digest.update(data)
        digest.update(self._request.body)
        return crashfacts.request_key(digest.hexdigest())

    @property
    def _keys(self) -> tuple[str, ...]:
        return (*self._part_keys, self._fingerprint)

    @property
    def survived(self) -> bool:
        """Whether the server of the current attempt has run the request."""
        return self._survived

    def begin_attempt(self) -> None:
        """Records that the request is sent to a server."""
        self._survived = False

    def refusal(self, verdict: outcome.Verdict) -> outcome.Refusal | None:
        """Returns why the request must not run, or None.

        Args:
            verdict: Whether a server may have run the request.
        """
        table = self._state.crashing_parts
        if not table.has_blocks:
            return None
        return table.refusal(self._keys, verdict)

    async def note_crash(self, server: fleet.BackendServer) -> None:
        """Charges the crash of the request's server to the request."""
        # A server that starts again under its id has another start time.
        crash_id = f"{server.server_id}@{server.started_ms}"
        async with self._state.crashing_parts.charging:
            self._charges.note_crash(
                crash_id, self._keys, survived=self._survived
            )
            self._state.notices.send_soon()
            await asyncio.sleep(0)

    def note_survived(self) -> None:
        """Clears the request of the crashes so far.

        A server has completed it, or has gone on after its first event.
        """
        self._survived = True
        self._charges.note_completed(self._part_keys)
        # Most requests never crash a server; their fingerprints are not kept.
        groups = self._charges.groups
        if len(groups) and self._fingerprint in groups:
            self._charges.note_completed((self._fingerprint,))


def _bounded(key: str) -> str:
    """Returns a key that fits into a message."""
    if len(key) <= _MAX_KEY_CHARS:
        return key
    data = key.encode(errors="surrogateescape")
    return hashlib.blake2b(data, digest_size=_DIGEST_BYTES).hexdigest()
