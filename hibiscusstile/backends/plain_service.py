"""Client of plain HTTP services, which never retries a call."""

from __future__ import annotations

import aiohttp
import yarl

from hibiscusstile import backends, outcome, request
from hibiscusstile.backends import httpsession

__all__ = ["PlainService"]

_MAX_REPLY_BYTES = 4 * 1024 * 1024
_MAX_CONTENT_TYPE_CHARS = 255
_CONNECT_TIMEOUT_S = 2.0


@backends.backend_kinds.register()
class PlainService(backends.ServiceBackend):
    """An HTTP service that is called over one connection per call."""

    name = "plain_service"

    def __init__(self, url: str) -> None:
        super().__init__(url)
        self._url = url
        self._session: aiohttp.ClientSession | None = None

    async def call(
        self, call: request.ServiceCall, *, timeout_s: float
    ) -> request.ServiceReply:
        """Makes one call, without retries."""
        url = yarl.URL(
            f"{self._url}/{call.path}"
            + (f"?{call.query}" if call.query else ""),
            encoded=True,
        )
        headers = {}
        if call.content_type:
            headers["Content-Type"] = call.content_type
        trace = httpsession.RequestTrace()
        try:
            async with self._open_session().request(
                call.method,
                url,
                data=call.body or None,
                headers=headers,
                allow_redirects=False,
                trace_request_ctx=trace,
                timeout=aiohttp.ClientTimeout(
                    total=timeout_s, sock_connect=_CONNECT_TIMEOUT_S
                ),
            ) as response:
                return await _read_reply(response)
        except (aiohttp.ClientError, TimeoutError) as error:
            raise outcome.Refused(_failure_refusal(trace, error)) from None

    async def is_reachable(self) -> bool:
        """Returns whether the service accepts connections."""
        try:
            async with self._open_session().get(
                f"{self._url}/health",
                timeout=aiohttp.ClientTimeout(total=_CONNECT_TIMEOUT_S),
            ):
                return True
        except (aiohttp.ClientError, TimeoutError):
            return False

    async def close(self) -> None:
        """Closes connections."""
        if self._session is not None:
            await self._session.close()

    def _open_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = httpsession.open_session(auto_decompress=False)
        return self._session


def _failure_refusal(
    trace: httpsession.RequestTrace, error: Exception
) -> outcome.Refusal:
    if not trace.connected:
        return outcome.Refusal(
            outcome.Reason.BACKEND_FAILED,
            f"the service cannot be reached: {type(error).__name__}",
        )
    return outcome.Refusal(
        outcome.Reason.BACKEND_FAILED,
        f"the service sent no complete response: {error!r}",
        outcome.Verdict.MAY_HAVE_RUN,
    )


async def _read_reply(
    response: aiohttp.ClientResponse,
) -> request.ServiceReply:
    body = await response.content.read(_MAX_REPLY_BYTES + 1)
    while not response.content.at_eof():
        chunk = await response.content.read(_MAX_REPLY_BYTES + 1)
        body += chunk
        if len(body) > _MAX_REPLY_BYTES:
            break
    if len(body) > _MAX_REPLY_BYTES:
        raise outcome.Refused(
            outcome.Refusal(
                outcome.Reason.TOO_LARGE,
                "the service's response exceeds 4 MiB",
                outcome.Verdict.RAN,
            )
        )
    return request.ServiceReply(response.status, _content_type(response), body)


def _content_type(response: aiohttp.ClientResponse) -> str:
    """Returns the content type, or a default if it is not ASCII text.

    A header with bytes that are not UTF-8 cannot be encoded in peer messages
    and log records.
    """
    value = response.headers.get("Content-Type", "")
    if value.isascii() and 0 < len(value) <= _MAX_CONTENT_TYPE_CHARS:
        return value
    return "application/octet-stream"
