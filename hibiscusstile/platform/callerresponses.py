"""Writes responses and refusals to the callers of the gateway."""

from __future__ import annotations

import multidict
from aiohttp import web

from hibiscusstile import memory, outcome
from hibiscusstile.gateway import exchange, service
from hibiscusstile.memory import unreadbytes
from hibiscusstile.platform import headers

__all__ = ["HttpResponseWriter", "http_status"]

_STATUS_BY_REASON = {
    outcome.Reason.BAD_REQUEST: 400,
    outcome.Reason.UNAUTHORIZED: 401,
    outcome.Reason.NOT_FOUND: 404,
    outcome.Reason.SLOW_CLIENT: 408,
    outcome.Reason.TOO_LARGE: 413,
    outcome.Reason.OVER_ALLOWANCE: 429,
    outcome.Reason.BACKEND_FAILED: 502,
    outcome.Reason.EXPIRED: 504,
    outcome.Reason.INTERNAL: 500,
}
_DEFAULT_STATUS = 503


def http_status(refusal: outcome.Refusal) -> int:
    """Returns the HTTP status of a refusal.

    Some statuses tell the caller that the request was not and will not be
    executed; they are used only if that is certain.
    """
    status = _STATUS_BY_REASON.get(refusal.reason, _DEFAULT_STATUS)
    if refusal.verdict is outcome.Verdict.NOT_RUN:
        return 503 if status in (502, 504) else status
    return 502 if status in headers.NOT_RUN_STATUSES else status


class HttpResponseWriter(exchange.ResponseWriter):
    """Writes the response to one HTTP request."""

    def __init__(
        self,
        request: web.BaseRequest,
        gateway: service.Gateway,
        holding: memory.Holding,
    ) -> None:
        self._request = request
        self._gateway = gateway
        self._unread = unreadbytes.UnreadBytes(request, holding)
        self._response: web.StreamResponse | None = None

    @property
    def response(self) -> web.StreamResponse:
        """The response that was started.

        Raises:
            ConnectionResetError: No response was started.
        """
        if self._response is None:
            raise ConnectionResetError(
                "the caller's connection ended before a response"
            )
        return self._response

    @property
    def started(self) -> bool:
        """Whether the head of the response was sent."""
        return self._response is not None

    async def send_response(
        self, head: exchange.ResponseHead, body: bytes
    ) -> None:
        """Sends a complete response."""
        response = web.Response(
            status=head.status,
            body=body,
            headers=multidict.CIMultiDict(head.headers),
        )
        await self._send(response)

    async def start_stream(self, head: exchange.ResponseHead) -> None:
        """Sends the head of a streamed response."""
        response = web.StreamResponse(
            status=head.status, headers=multidict.CIMultiDict(head.headers)
        )
        response.enable_chunked_encoding()
        self._response = response
        self._close_if_draining(response)
        await response.prepare(self._request)

    async def write(self, data: bytes) -> None:
        """Sends a chunk of a streamed response.

        The time limit of the request bounds the wait for a caller that does
        not read.

        Raises:
            ConnectionResetError: The caller closed the connection.
        """
        if self._request.transport is None:
            raise ConnectionResetError("the caller closed the connection")
        await self._unread.write(self.response, data)

    async def finish_stream(self) -> None:
        """Ends a streamed response.

        If it began before a stop, it has not announced that its connection
        closes. The caller may be sending its next request, so the connection
        stays open for that.
        """
        await self.response.write_eof()

    async def refuse(self, refusal: outcome.Refusal) -> None:
        """Sends a refusal."""
        response_headers = multidict.CIMultiDict(
            {
                headers.REQUEST_ID: self._request.headers.get(
                    headers.REQUEST_ID, ""
                )
            }
        )
        if refusal.retry_after is not None:
            response_headers["Retry-After"] = (
                f"{refusal.retry_after.total_seconds():g}"
            )
        await self._send(
            web.Response(
                status=http_status(refusal),
                text=refusal.message,
                headers=response_headers,
            )
        )

    def abort(self) -> None:
        """Resets the connection, so that the response is seen as incomplete."""
        if self._request.transport is not None:
            self._request.transport.abort()  # type: ignore[attr-defined]

    async def _send(self, response: web.Response) -> None:
        self._response = response
        self._close_if_draining(response)
        await response.prepare(self._request)
        await response.write_eof()

    def _close_if_draining(self, response: web.StreamResponse) -> None:
        """Makes the response the last on its connection while draining."""
        if self._gateway.draining:
            response.force_close()
