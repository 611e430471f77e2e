"""Converts refusals to HTTP responses, and failures to refusals."""

from __future__ import annotations

import datetime
import json
import math

from aiohttp import web

from hibiscusstile import metrics, outcome
from hibiscusstile.peers import messages

__all__ = [
    "REQUEST_ID_HEADER",
    "VERDICT_HEADER",
    "error_body",
    "from_exception",
    "from_failed",
    "from_http_error",
    "peer_lost",
    "to_response",
]

VERDICT_HEADER = "Hibiscusstile-Verdict"
REQUEST_ID_HEADER = "Hibiscusstile-Request-Id"
_PEER_LOST_RETRY_AFTER = datetime.timedelta(seconds=1)

_STATUS_BY_REASON = {
    outcome.Reason.BAD_REQUEST: 400,
    outcome.Reason.UNAUTHORIZED: 401,
    outcome.Reason.FORBIDDEN: 403,
    outcome.Reason.NOT_FOUND: 404,
    outcome.Reason.METHOD_NOT_ALLOWED: 405,
    outcome.Reason.SLOW_CLIENT: 408,
    outcome.Reason.KEY_CONFLICT: 409,
    outcome.Reason.TOO_LARGE: 413,
    outcome.Reason.SUSPECT: 422,
    outcome.Reason.OVERLOADED: 429,
    outcome.Reason.OVER_ALLOWANCE: 429,
    outcome.Reason.INTERNAL: 500,
    outcome.Reason.BACKEND_FAILED: 502,
    outcome.Reason.BACKEND_CRASHED: 502,
    outcome.Reason.PEER_LOST: 502,
    outcome.Reason.EXPIRED: 504,
}
_DEFAULT_STATUS = 503


def from_failed(failed: messages.Failed) -> outcome.Refusal:
    """Returns the refusal that a sidecar's message carries, unchanged."""
    retry_s = failed.retry_after_s
    return outcome.Refusal(
        failed.reason,
        failed.message,
        failed.verdict,
        None if retry_s is None else datetime.timedelta(seconds=retry_s),
    )


def peer_lost(verdict: outcome.Verdict) -> outcome.Refusal:
    """Returns the refusal for a lost connection to a sidecar."""
    return outcome.Refusal(
        outcome.Reason.PEER_LOST,
        "the connection to the backend server's sidecar was lost",
        verdict,
        _PEER_LOST_RETRY_AFTER,
    )


def error_body(refusal: outcome.Refusal) -> str:
    """Returns a refusal as a JSON error object."""
    return json.dumps(
        {
            "error": {
                "type": refusal.reason.value,
                "message": refusal.message,
                "verdict": refusal.verdict.value,
            }
        }
    )


def to_response(refusal: outcome.Refusal, request_id: str) -> web.Response:
    """Returns the HTTP response for a refusal, and counts the refusal."""
    metrics.count_refusal(refusal)
    headers = {
        VERDICT_HEADER: refusal.verdict.value,
        REQUEST_ID_HEADER: request_id,
    }
    if refusal.retry_after is not None:
        seconds = max(1, math.ceil(refusal.retry_after.total_seconds()))
        headers["Retry-After"] = str(seconds)
    return web.Response(
        status=_STATUS_BY_REASON.get(refusal.reason, _DEFAULT_STATUS),
        text=error_body(refusal),
        content_type="application/json",
        headers=headers,
    )


def from_exception(error: Exception) -> outcome.Refusal:
    """Returns the refusal for an unexpected exception."""
    return outcome.Refusal(
        outcome.Reason.INTERNAL,
        f"internal error: {type(error).__name__}",
        outcome.Verdict.MAY_HAVE_RUN,
    )


def from_http_error(error: web.HTTPException) -> outcome.Refusal:
    """Returns the refusal for a request that aiohttp rejected."""
    reason = {
        404: outcome.Reason.NOT_FOUND,
        405: outcome.Reason.METHOD_NOT_ALLOWED,
        413: outcome.Reason.TOO_LARGE,
    }.get(error.status, outcome.Reason.BAD_REQUEST)
    return outcome.Refusal(reason, error.reason or "bad request")
