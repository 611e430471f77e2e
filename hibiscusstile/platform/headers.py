"""Names of the platform's headers, and which ones pass through."""

from __future__ import annotations

from collections.abc import Iterable

from hibiscusstile.gateway import exchange

__all__ = [
    "AUTHORIZATION",
    "CACHE_SALT",
    "EXPECTED_SERVER",
    "EXPECTED_VERSION",
    "FETCH_FROM",
    "LAST_EVENT_ID",
    "MODEL",
    "NOT_RUN",
    "PROMPT_PARTS",
    "RANK",
    "REQUEST_ID",
    "RESPONSE_DIGEST",
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
    "parse_token_counts",
]

AUTHORIZATION = "Authorization"
CACHE_SALT = "X-Cache-Salt"
EXPECTED_SERVER = "X-Expect-Instance"
EXPECTED_VERSION = "X-Expect-Version"
FETCH_FROM = "X-Kv-Fetch"
LAST_EVENT_ID = "Last-Event-Id"
MODEL = "X-Model"
# The server did not run the request; no other header states this.
NOT_RUN = "X-Not-Executed"
# Parts of the prompt in order, as ID:TOKENS separated by commas.
PROMPT_PARTS = "X-Prompt-Prefix"
RANK = "X-Request-Priority"
REQUEST_ID = "X-Request-Id"
# Digest by which callers check that an answer is whole.
SAVE_TO = "X-Kv-Save"
RESPONSE_DIGEST = "X-Response-Stamp"
SERVER_ID = "X-Instance-Id"
# Milliseconds that the sender still waits; no point in time.
TIME_LEFT = "X-Deadline-Ms"
# Prompt tokens and the most tokens of the answer.
TOKEN_COUNTS = "X-Token-Usage"
WEIGHTS_VERSION = "X-Weight-Versions"
WORKSPACE = "X-Tenant-Id"

# Headers of one connection (RFC 9110, section 7.6.1).
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
# Set by the system alone, or set anew for each attempt.
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
_FRAMING = frozenset({"content-length", "expect"})
_MAX_RANK = 9


def forwarded_request_headers(
    headers: Iterable[tuple[str, str]], connection: str
) -> exchange.Headers:
    """Returns a caller's headers without the ones that must not pass.

    Args:
        headers: The headers as they came.
        connection: Value of the Connection header, which names more headers
            of the connection alone.
    """
    connection_options = {
        name.strip().lower() for name in connection.split(",")
    }
    dropped = _HOP_BY_HOP | _GATEWAY_ONLY | _FRAMING | connection_options
    return tuple(
        (name, value) for name, value in headers if name.lower() not in dropped
    )


def forwarded_response_headers(
    headers: Iterable[tuple[str, str]], connection: str
) -> exchange.Headers:
    """Returns a server's headers without the ones of its connection."""
    connection_options = {
        name.strip().lower() for name in connection.split(",")
    }
    dropped = _HOP_BY_HOP | {"content-length"} | connection_options
    return tuple(
        (name, value) for name, value in headers if name.lower() not in dropped
    )


def parse_prompt_parts(value: str) -> tuple[exchange.PromptPart, ...]:
    """Returns a prompt's parts; those that cannot be read end the list."""
    parts = []
    for item in value.split(","):
        part_id, _, tokens = item.strip().rpartition(":")
        if not part_id or not tokens.isdecimal():
            break
        parts.append(exchange.PromptPart(part_id, int(tokens)))
    return tuple(parts)


def parse_token_counts(value: str) -> tuple[int, int]:
    """Returns prompt tokens and the most output tokens, 0 where unknown."""
    prompt, _, output = value.partition(",")
    prompt, output = prompt.strip(), output.strip()
    return (
        int(prompt) if prompt.isdecimal() else 0,
        int(output) if output.isdecimal() else 0,
    )


def format_rank(rank: int) -> str:
    """Returns a rank as engines take it, from 0 to 9."""
    return str(max(0, min(_MAX_RANK, rank)))
