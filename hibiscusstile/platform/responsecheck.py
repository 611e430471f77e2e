"""Checks the heads of backend servers' responses."""

from __future__ import annotations

import aiohttp

from hibiscusstile import decimals, outcome
from hibiscusstile.gateway import exchange, fleet, serverstatements
from hibiscusstile.platform import headers

__all__ = ["check_response", "parse_weights_version"]

_MISDIRECTED_STATUS = 421
_FIRST_FINAL_STATUS = 200
_FIRST_REDIRECT_STATUS = 300
_LAST_STATUS = 599


def check_response(
    server: fleet.BackendServer,
    response: aiohttp.ClientResponse,
    statement: serverstatements.ServerStatement,
) -> None:
    """Checks that a response is a valid result.

    Args:
        server: The server that was addressed.
        response: Its response, of which the head has been read.
        statement: What the response says of the server.

    Raises:
        AttemptFailed: It is not a valid result.
    """
    failure = _failure(server, response)
    if failure is not None:
        failure.statement = statement
        raise failure


def parse_weights_version(response: aiohttp.ClientResponse) -> int | None:
    """Returns the weights version that a response reports, if any."""
    return decimals.parse(response.headers.get(headers.WEIGHTS_VERSION, ""))


def _failure(
    server: fleet.BackendServer, response: aiohttp.ClientResponse
) -> exchange.AttemptFailed | None:
    if response.status == _MISDIRECTED_STATUS:
        return exchange.AttemptFailed(
            exchange.FailureCause.REPLACED
            if response.headers.get(headers.SERVER_ID, "") != server.server_id
            else exchange.FailureCause.OTHER_WEIGHTS,
            outcome.Verdict.NOT_RUN,
            f"server has ID {response.headers.get(headers.SERVER_ID)}",
            parse_weights_version(response),
        )
    if headers.NOT_RUN in response.headers:
        return exchange.AttemptFailed(
            exchange.FailureCause.FULL,
            outcome.Verdict.NOT_RUN,
            f"rejected with HTTP status {response.status}",
        )
    if response.status in headers.NOT_RUN_STATUSES:
        # Relayed, the status would promise more than the server does.
        return exchange.AttemptFailed(
            exchange.FailureCause.INVALID,
            outcome.Verdict.MAY_HAVE_RUN,
            f"HTTP status {response.status} without {headers.NOT_RUN}",
        )
    if not _FIRST_FINAL_STATUS <= response.status <= _LAST_STATUS:
        return exchange.AttemptFailed(
            exchange.FailureCause.INVALID,
            outcome.Verdict.MAY_HAVE_RUN,
            f"HTTP status {response.status} is not the end of a request",
        )
    if "Content-Encoding" in response.headers:
        # The gateway itself requests no encoding, so the response is not taken
        # to be the server's.
        return exchange.AttemptFailed(
            exchange.FailureCause.INVALID,
            outcome.Verdict.MAY_HAVE_RUN,
            "the response has an unrequested content encoding",
        )
    succeeded = response.status < _FIRST_REDIRECT_STATUS
    if succeeded and headers.RESPONSE_DIGEST not in response.headers:
        return exchange.AttemptFailed(
            exchange.FailureCause.INVALID,
            outcome.Verdict.MAY_HAVE_RUN,
            "the response has no X-Response-Stamp header",
        )
    return None
