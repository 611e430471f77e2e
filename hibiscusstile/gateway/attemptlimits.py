"""Which servers a request avoids, and how often it is sent again."""

from __future__ import annotations

from hibiscusstile.gateway import exchange

__all__ = ["AttemptLimits"]

# Attempts that failed at a server, or were rejected by it, after which the
# request is still sent again; 5xx responses are not counted.
_MAX_FAILED_DELIVERIES = 5
# Failed connection attempts after which the request is still sent again.
_MAX_CONNECT_FAILURES = 6
# Failures after which another attempt at the server may succeed.
_PASSING_CAUSES = (
    exchange.FailureCause.NOT_REACHED,
    exchange.FailureCause.FULL,
    exchange.FailureCause.OTHER_WEIGHTS,
    exchange.FailureCause.STALLED,
)
# Failures of a server that has not run the request.
_REJECTIONS = (
    exchange.FailureCause.NOT_REACHED,
    exchange.FailureCause.FULL,
    exchange.FailureCause.OTHER_WEIGHTS,
    exchange.FailureCause.REPLACED,
)
# Failures that may have cut off the rest of a response.
_BREAKING_CAUSES = (exchange.FailureCause.LOST, exchange.FailureCause.INVALID)


class AttemptLimits:
    """Counts the failed attempts of one request."""

    def __init__(self) -> None:
        self._excluded_until_pause: set[str] = set()
        self._excluded_for_request: set[str] = set()
        self._failed_deliveries = 0
        self._connect_failures = 0
        self._silent_server_id = ""
        self._returns = False
        self._broken_off = False

    @property
    def excluded(self) -> set[str]:
        """Ids of the servers that the next attempt avoids."""
        return self._excluded_until_pause | self._excluded_for_request

    @property
    def delivery_failed(self) -> bool:
        """Whether a server has received the request and failed."""
        return self._failed_deliveries > 0

    @property
    def left_silent_server(self) -> bool:
        """Whether a stream has left a server that sent no event."""
        return bool(self._silent_server_id)

    @property
    def return_to(self) -> str:
        """Id of the silent server that the stream goes back to, or empty.

        It does so once another server has rejected it: the silent one is known
        to have run the request, and further ones may reject it, too.
        """
        return self._silent_server_id if self._returns else ""

    @property
    def broken_off(self) -> bool:
        """Whether a server that had received the request failed to answer it.

        Silent servers that were left for others do not count.
        """
        return self._broken_off

    def excludes_for_request(self, server_id: str) -> bool:
        """Returns whether a server gets the request no more."""
        return server_id in self._excluded_for_request

    def exclude(self, server_id: str) -> None:
        """Excludes a server from all further attempts."""
        self._excluded_for_request.add(server_id)

    def end_pause(self) -> None:
        """Allows the servers again that were excluded until a pause."""
        self._excluded_until_pause.clear()

    def note_failure(
        self, server_id: str, cause: exchange.FailureCause
    ) -> None:
        """Counts a failed attempt and excludes its server."""
        if cause is exchange.FailureCause.NOT_REACHED:
            self._connect_failures += 1
        else:
            self._failed_deliveries += 1
        if cause is exchange.FailureCause.STALLED:
            self._silent_server_id = server_id
        self._returns = (
            cause in _REJECTIONS and server_id != self._silent_server_id
        )
        if cause in _BREAKING_CAUSES:
            self._broken_off = True
        if cause in _PASSING_CAUSES:
            self._excluded_until_pause.add(server_id)
        else:
            self._excluded_for_request.add(server_id)

    def allow_retry_after(self, cause: exchange.FailureCause) -> bool:
        """Returns whether the request may be sent again after a failure."""
        if cause is exchange.FailureCause.NOT_REACHED:
            return self._connect_failures <= _MAX_CONNECT_FAILURES
        return self._failed_deliveries <= _MAX_FAILED_DELIVERIES
