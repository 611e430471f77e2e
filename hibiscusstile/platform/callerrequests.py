"""Parses the requests that callers send to the gateway."""

from __future__ import annotations

from aiohttp import web

from hibiscusstile import decimals, opaquekeys, outcome
from hibiscusstile.gateway import exchange
from hibiscusstile.platform import headers

__all__ = ["parse_request"]

_AUTHORIZATION_SCHEME = "token "


def parse_request(
    request: web.BaseRequest, body: bytes, received_s: float
) -> exchange.ForwardedRequest | outcome.Refusal:
    """Returns the request to forward, or a refusal if it is malformed.

    Args:
        request: The request as received.
        body: Its complete body.
        received_s: Arrival time of its head, on the monotonic clock.
    """
    received = request.headers
    request_id = received.get(headers.REQUEST_ID, "")
    target = request.raw_path
    if not request_id:
        return outcome.Refusal(
            outcome.Reason.BAD_REQUEST,
            f"the {headers.REQUEST_ID} header is missing",
        )
    # A server might take what follows a `#` for no part of the target.
    if not target.startswith("/") or "#" in target:
        return outcome.Refusal(
            outcome.Reason.BAD_REQUEST,
            "the request target is not a path, or has a `#` that is not "
            "percent-encoded",
        )
    time_left_ms = decimals.parse(received.get(headers.TIME_LEFT, "").strip())
    authorization = received.get(headers.AUTHORIZATION, "")
    key = ""
    if authorization.lower().startswith(_AUTHORIZATION_SCHEME):
        key = authorization[len(_AUTHORIZATION_SCHEME) :].strip()
    parts = headers.parse_prompt_parts(received.get(headers.PROMPT_PARTS, ""))
    prompt_tokens, output_tokens = headers.parse_token_counts(
        received.get(headers.TOKEN_COUNTS, "")
    )
    return exchange.ForwardedRequest(
        request_id=request_id,
        method=request.method,
        target=target,
        host=received.get("Host", ""),
        key=key,
        headers=headers.forwarded_request_headers(
            received.items(), received.get("Connection", "")
        ),
        body=body,
        received_s=received_s,
        caller_timeout_s=time_left_ms / 1000
        if time_left_ms is not None
        else None,
        model=opaquekeys.to_model_key(received.get(headers.MODEL, "")),
        parts=parts,
        prompt_tokens=prompt_tokens or sum(part.tokens for part in parts),
        max_output_tokens=output_tokens,
        last_event_id=received.get(headers.LAST_EVENT_ID, ""),
    )
