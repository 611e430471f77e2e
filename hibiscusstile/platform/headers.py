"""Names, parsing and forwarding rules of the platform's HTTP headers."""

from __future__ import annotations

import datetime
import email.utils
import re
from collections.abc import Iterable

import multidict

from hibiscusstile import decimals, opaquekeys
from hibiscusstile.gateway import exchange, serverstatements

__all__ = [
    "AUTHORIZATION",
    "CACHE_SALT",
    "EXPECTED_SERVER",
    "EXPECTED_VERSION",
    "FETCH_FROM",
    "LAST_EVENT_ID",
    "LEAVING",
    "MODEL",
    "NOT_RUN",
    "NOT_RUN_STATUSES",
    "PROMPT_PARTS",
    "RANK",
    "REQUEST_ID",
    "RESPONSE_DIGEST",
    "RETRY_AFTER",
    "SAVE_TO",
    "SERVER_ID",
    "TIME_LEFT",
    "TOKEN_COUNTS",
    "WEIGHTS_VERSION",
    "WORKSPACE",
    "format_rank",
    "forwarded_request_headers",
    "forwarded_response_headers",
    "parse_prompt_parts",
    "parse_statement",
    "parse_token_counts",
]

AUTHORIZATION = "Authorization"
CACHE_SALT = "X-Cache-Salt"
EXPECTED_SERVER = "X-Expect-Instance"
EXPECTED_VERSION = "X-Expect-Version"
FETCH_FROM = "X-Kv-Fetch"
LAST_EVENT_ID = "Last-Event-Id"
# Set to 1 by servers that are shutting down.
LEAVING = "Server-Leaving"
MODEL = "X-Model"
# States that the server did not execute the request; no other header does.
NOT_RUN = "X-Not-Executed"
# Statuses by which callers may conclude that the request was not executed.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# Parts of the prompt in order, as ID:TOKENS separated by commas.
PROMPT_PARTS = "X-Prompt-Prefix"
RANK = "X-Request-Priority"
REQUEST_ID = "X-Request-Id"
RETRY_AFTER = "Retry-After"
SAVE_TO = "X-Kv-Save"
# Digest by which callers check that a response is complete.
RESPONSE_DIGEST = "X-Response-Stamp"
SERVER_ID = "X-Instance-Id"
# Milliseconds that the sender still waits, not a point in time.
TIME_LEFT = "X-Deadline-Ms"
# Prompt tokens and the maximum number of output tokens.
TOKEN_COUNTS = "X-Token-Usage"
WEIGHTS_VERSION = "X-Weight-Versions"
WORKSPACE = "X-Tenant-Id"

# Headers of a single connection (RFC 9110, section 7.6.1).
_HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
# Dropped from callers' requests: only the gateway may set these headers, or it
# sets its own value for each attempt.
_GATEWAY_ONLY = frozenset(
    name.lower()
    for name in (
        AUTHORIZATION,
        CACHE_SALT,
        EXPECTED_SERVER,
        EXPECTED_VERSION,
        FETCH_FROM,
        LAST_EVENT_ID,
        RANK,
        SAVE_TO,
        TIME_LEFT,
        WORKSPACE,
        "Kv-From",
        "X-Hold",
        "X-Kv-Backup",
        "X-Pin-Ms",
    )
)
_BODY_TRANSFER = frozenset({"content-length", "expect"})
_MAX_RANK = 9
_UNAVAILABLE_STATUS = 503
_DECIMAL = re.compile(r"[0-9]{1,9}(\.[0-9]*)?|\.[0-9]+")
_HUGE = re.compile(r"[0-9]{10,}(\.[0-9]*)?")


def forwarded_request_headers(
    headers: Iterable[tuple[str, str]], connection: str
) -> exchange.Headers:
    """Returns the headers of a caller's request that are forwarded.

    Args:
        headers: Headers as received.
        connection: Value of the Connection header, which lists further
            hop-by-hop headers.
    """
    connection_options = {
        name.strip().lower() for name in connection.split(",")
    }
    dropped = _HOP_BY_HOP | _GATEWAY_ONLY | _BODY_TRANSFER | connection_options
    return tuple(
        (name, value) for name, value in headers if name.lower() not in dropped
    )


def forwarded_response_headers(
    headers: Iterable[tuple[str, str]], connection: str
) -> exchange.Headers:
    """Returns the headers of a server's response that are forwarded.

    Args:
        headers: Headers as received.
        connection: Value of the Connection header, which lists further
            hop-by-hop headers.
    """
    connection_options = {
        name.strip().lower() for name in connection.split(",")
    }
    dropped = _HOP_BY_HOP | {"content-length"} | connection_options
    return tuple(
        (name, value) for name, value in headers if name.lower() not in dropped
    )


def parse_prompt_parts(value: str) -> tuple[exchange.PromptPart, ...]:
    """Returns the prompt parts before the first malformed one."""
    parts = []
    for item in value.split(","):
        part_id, _, tokens = item.strip().rpartition(":")
        count = decimals.parse(tokens)
        if not part_id or count is None:
            break
        key = opaquekeys.to_key(part_id)
        parts.append(exchange.PromptPart(key, count))
    return tuple(parts)


def parse_token_counts(value: str) -> tuple[int, int]:
    """Returns the prompt tokens and maximum output tokens; 0 if unknown."""
    prompt, _, output = value.partition(",")
    return (
        decimals.parse(prompt.strip()) or 0,
        decimals.parse(output.strip()) or 0,
    )


def format_rank(rank: int) -> str:
    """Returns a rank as a header value, limited to 0 to 9."""
    return str(max(0, min(_MAX_RANK, rank)))


def parse_statement(
    status: int, received: multidict.CIMultiDictProxy[str], addressed_id: str
) -> serverstatements.ServerStatement:
    """Returns what a response says of the server that sent it.

    Args:
        status: HTTP status.
        received: Headers as received.
        addressed_id: Id of the server that the request was sent to.
    """
    server_id = received.get(SERVER_ID, "").strip()
    is_other = server_id not in ("", addressed_id)
    delays = [
        delay
        for value in received.getall(RETRY_AFTER, ())
        if (delay := _parse_delay(value, received.get("Date", "")))
    ]
    return serverstatements.ServerStatement(
        leaving=any(
            value.strip() == "1" for value in received.getall(LEAVING, ())
        ),
        retry_after=(
            max(delays, default=None)
            if status == _UNAVAILABLE_STATUS and not is_other
            else None
        ),
        server_id=server_id if is_other else "",
    )


def _parse_delay(value: str, date: str) -> datetime.timedelta | None:
    """Returns a delay above 0 s, None if there is none or it is malformed.

    Args:
        value: Seconds, or an HTTP date.
        date: Value of the Date header. An HTTP date is compared with it, since
            the clocks of servers and gateways may differ.
    """
    value = value.strip()
    if _HUGE.fullmatch(value):
        return datetime.timedelta.max
    if _DECIMAL.fullmatch(value):
        return datetime.timedelta(seconds=float(value)) or None
    try:
        delay = email.utils.parsedate_to_datetime(
            value
        ) - email.utils.parsedate_to_datetime(date)
    except (TypeError, ValueError, OverflowError):
        return None
    return delay if delay > datetime.timedelta(0) else None
