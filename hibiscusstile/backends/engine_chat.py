"""Client of model engines with a chat-completions protocol."""

from __future__ import annotations

import json
from collections.abc import AsyncIterator
from typing import Any

import aiohttp

from hibiscusstile import backends, boundedhttp, outcome
from hibiscusstile.backends import engine_protocol, httpsession

__all__ = ["EngineChat", "EngineChatUnfenced"]

_CONTROL_TIMEOUT = aiohttp.ClientTimeout(total=5.0)
_CANCEL_TIMEOUT = aiohttp.ClientTimeout(total=1.0)
_ORDER_TIMEOUT = aiohttp.ClientTimeout(total=60.0)
_STREAM_TIMEOUT = aiohttp.ClientTimeout(total=None, sock_connect=2.0)
_CRASH_PROBE_TIMEOUT_S = 0.3
_MAX_MESSAGE_CHARS = 200
# Statuses that an engine sends before it starts what it was asked for. Others
# of 400 to 499, such as 408 (Request Timeout), tell nothing of that.
_NOT_STARTED_STATUSES = frozenset(
    (*range(400, 406), 409, 411, 412, 413, 414, 415, 417, 422, 429, 431)
)
_MAX_CONTROL_BYTES = 256 * 1024
# Exported KV cache, or a list of all cached blocks.
_MAX_TRANSFER_BYTES = 16 * 1024 * 1024


@backends.backend_kinds.register()
class EngineChat(backends.EngineBackend):
    """An engine that refuses orders with an outdated fencing number."""

    name = "engine_chat"
    checks_fencing = True

    def __init__(self, url: str) -> None:
        super().__init__(url)
        self._url = url
        self._session: aiohttp.ClientSession | None = None
        self._read_session: aiohttp.ClientSession | None = None
        self._incarnation = ""

    async def generate(
        self, generation: backends.GenerationRequest
    ) -> AsyncIterator[backends.EngineEvent]:
        """Yields one `EngineStarted`, `EngineText`s and one `EngineEnd`."""
        trace = httpsession.RequestTrace()
        incarnation = self._incarnation
        try:
            async with self._open_session().post(
                f"{self._url}/v1/chat/completions",
                json=engine_protocol.encode_generation_request(generation),
                timeout=_STREAM_TIMEOUT,
                allow_redirects=False,
                trace_request_ctx=trace,
            ) as response:
                if response.status != 200:
                    raise outcome.Refused(await _status_refusal(response))
                async for line in response.content:
                    if not line.endswith(b"\n"):
                        # The stream ended inside an event.
                        break
                    event = engine_protocol.parse_line(line)
                    if event is not None:
                        yield event
                    if isinstance(event, backends.EngineStarted):
                        incarnation = event.incarnation or incarnation
                    if isinstance(event, backends.EngineEnd):
                        return
            error: Exception | None = None
        # aiohttp raises ValueError if a line exceeds its buffer.
        except (aiohttp.ClientError, TimeoutError, ValueError) as caught:
            error = caught
        if not trace.connected:
            raise outcome.Refused(_unreachable_refusal(error))
        reason = await self._classify_stream_failure(incarnation)
        raise outcome.Refused(
            engine_protocol.stream_refusal(
                repr(error) if error else "it ended early", reason
            )
        )

    async def cancel(self, attempt_id: str) -> None:
        """Cancels an attempt; an unknown or ended one is ignored."""
        await self._post(f"/v1/cancel/{attempt_id}", {}, _CANCEL_TIMEOUT)

    async def cache_events(self, after: int) -> backends.CacheEvents | None:
        """Returns events after number `after`, None if unreachable."""
        return engine_protocol.parse_events(
            await self._get(f"/cache/events?after={after}")
        )

    async def cache_blocks(self) -> backends.CacheEvents | None:
        """Returns all cached blocks as stored events, None if unreachable."""
        return engine_protocol.parse_events(await self._get("/cache/blocks"))

    async def load(self) -> backends.EngineLoad | None:
        """Returns the delayed load report, None if unreachable."""
        return engine_protocol.parse_load(await self._get("/load"))

    async def health(self) -> backends.EngineHealth | None:
        """Returns the engine's health, None if unreachable."""
        result = await self.probe(_CONTROL_TIMEOUT.total or 0.0)
        return result if isinstance(result, backends.EngineHealth) else None

    async def probe(
        self, timeout_s: float
    ) -> backends.EngineHealth | backends.ProbeFailure:
        """Returns the engine's health, or the failure of the probe."""
        try:
            async with self._open_read_session().get(
                f"{self._url}/health",
                timeout=aiohttp.ClientTimeout(total=timeout_s),
            ) as response:
                body = await boundedhttp.read_body(response, _MAX_CONTROL_BYTES)
                status = response.status
        except TimeoutError:
            return backends.ProbeFailure.SILENT
        except aiohttp.ClientError:
            return backends.ProbeFailure.REFUSED
        health = engine_protocol.parse_health(body)
        if status != 200 or health is None:
            return backends.ProbeFailure.MALFORMED
        self._incarnation = health.incarnation
        return health

    async def order(self, order: backends.EngineOrder) -> backends.OrderResult:
        """Sends an order and waits until it is applied or refused."""
        status, text, may_be_sent = await self._post(
            "/orders",
            engine_protocol.encode_engine_order(order),
            _ORDER_TIMEOUT,
        )
        if status == 200:
            return backends.OrderResult(True)
        if status == 0:
            return backends.OrderResult(
                False,
                f"no response from the engine: {text}",
                may_be_applied=may_be_sent,
            )
        return backends.OrderResult(
            False,
            f"the engine responded with status {status}: {text}",
            may_be_applied=status not in _NOT_STARTED_STATUSES,
        )

    async def export_kv(self, salt: str, digest: int) -> bytes | None:
        """Returns the KV cache of a prefix, None if it is not cached."""
        return await self._get(f"/kv/{digest}?salt={salt}")

    async def import_kv(self, salt: str, digest: int, data: bytes) -> bool:
        """Imports the KV cache of a prefix; returns False if refused."""
        try:
            async with self._open_session().put(
                f"{self._url}/kv/{digest}?salt={salt}",
                data=data,
                timeout=_CONTROL_TIMEOUT,
                allow_redirects=False,
            ) as response:
                # A response that is cut may precede the end of the data.
                await boundedhttp.read_body(response, _MAX_CONTROL_BYTES)
                return response.status in (200, 201, 204)
        except (aiohttp.ClientError, TimeoutError):
            return False

    async def close(self) -> None:
        """Closes connections."""
        for session in (self._session, self._read_session):
            if session is not None:
                await session.close()

    async def _classify_stream_failure(
        self, incarnation: str
    ) -> outcome.Reason:
        """Distinguishes an engine crash from a broken stream."""
        health = await self.probe(_CRASH_PROBE_TIMEOUT_S)
        if health is backends.ProbeFailure.REFUSED:
            return outcome.Reason.BACKEND_CRASHED
        if (
            isinstance(health, backends.EngineHealth)
            and incarnation
            and health.incarnation != incarnation
        ):
            return outcome.Reason.BACKEND_CRASHED
        return outcome.Reason.BACKEND_FAILED

    def _open_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = httpsession.open_session()
        return self._session

    def _open_read_session(self) -> aiohttp.ClientSession:
        if self._read_session is None:
            self._read_session = httpsession.open_read_session()
        return self._read_session

    async def _get(self, path: str) -> bytes | None:
        try:
            async with self._open_read_session().get(
                self._url + path, timeout=_CONTROL_TIMEOUT
            ) as response:
                if response.status != 200:
                    return None
                return await boundedhttp.read_body(
                    response, _MAX_TRANSFER_BYTES
                )
        except (aiohttp.ClientError, TimeoutError):
            return None

    async def _post(
        self,
        path: str,
        body: dict[str, Any],
        request_timeout: aiohttp.ClientTimeout,
    ) -> tuple[int, str, bool]:
        """Returns status, text, and whether bytes may have been sent.

        The status is 0 if there was no response.
        """
        trace = httpsession.RequestTrace()
        try:
            async with self._open_session().post(
                self._url + path,
                json=body,
                timeout=request_timeout,
                allow_redirects=False,
                trace_request_ctx=trace,
            ) as response:
                text = await boundedhttp.read_body(response, _MAX_CONTROL_BYTES)
                return response.status, text.decode(errors="replace"), True
        except (aiohttp.ClientError, TimeoutError) as error:
            return 0, repr(error), trace.connected


@backends.backend_kinds.register()
class EngineChatUnfenced(EngineChat):
    """An engine that does not check fencing numbers."""

    name = "engine_chat_unfenced"
    checks_fencing = False


def _unreachable_refusal(error: Exception | None) -> outcome.Refusal:
    return outcome.Refusal(
        outcome.Reason.BACKEND_FAILED,
        f"the engine cannot be reached: {type(error).__name__}",
    )


async def _status_refusal(
    response: aiohttp.ClientResponse,
) -> outcome.Refusal:
    body = await boundedhttp.read_body(response, _MAX_CONTROL_BYTES)
    text = body.decode(errors="replace")[:_MAX_MESSAGE_CHARS]
    try:
        message = str(json.loads(text).get("message", ""))
    except (ValueError, AttributeError):
        message = ""
    reason = outcome.Reason.BACKEND_FAILED
    if response.status == 409:
        reason = outcome.Reason.NOT_LOADED
    return outcome.Refusal(
        reason,
        f"the engine responded with status {response.status} {message}".strip(),
        outcome.Verdict.NOT_RUN
        if response.status in _NOT_STARTED_STATUSES
        else outcome.Verdict.MAY_HAVE_RUN,
    )
