"""The time by which a request must have its final response."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator

from hibiscusstile import clock as clock_lib
from hibiscusstile import outcome
from hibiscusstile.gateway import exchange, routes

__all__ = ["RequestDeadline", "time_limit_s"]


def time_limit_s(
    request: exchange.ForwardedRequest, route: routes.Route
) -> float:
    """Returns how long a request may take after its arrival, in seconds."""
    if request.caller_timeout_s is None:
        return route.timeout_s
    return min(route.timeout_s, request.caller_timeout_s)


class RequestDeadline:
    """Ends the work on a request in time, earlier if the process stops.

    Args:
        request: The request.
        route: Its route.
        clock: Clock of the request's arrival time.
    """

    def __init__(
        self,
        request: exchange.ForwardedRequest,
        route: routes.Route,
        clock: clock_lib.Clock,
    ) -> None:
        self._clock = clock
        self._end_s = request.received_s + time_limit_s(request, route)
        self._in_stop = False
        self._is_stopping = False
        self._timeout: asyncio.Timeout | None = None

    @property
    def time_left_s(self) -> float:
        """Seconds until the deadline; negative after it."""
        return self._end_s - self._clock.monotonic()

    @property
    def in_stop(self) -> bool:
        """Whether the process has been told to stop."""
        return self._in_stop

    @contextlib.asynccontextmanager
    async def enforced(self) -> AsyncIterator[None]:
        """Cancels the body of the context at the deadline.

        Raises:
            TimeoutError: The deadline passed before the body ended.
        """
        try:
            async with asyncio.timeout(max(0.0, self.time_left_s)) as timeout:
                self._timeout = timeout
                yield
        finally:
            self._timeout = None

    def end_by(self, end_s: float) -> None:
        """Makes the deadline earlier, since the process stops.

        Args:
            end_s: Time for the final response, on the monotonic clock.
        """
        self._in_stop = True
        if end_s >= self._end_s:
            return
        self._end_s = end_s
        self._is_stopping = True
        if self._timeout is not None and not self._timeout.expired():
            self._timeout.reschedule(
                asyncio.get_running_loop().time() + max(0.0, self.time_left_s)
            )

    def refusal(self, verdict: outcome.Verdict) -> outcome.Refusal:
        """Returns the refusal of a request that has reached the deadline.

        Args:
            verdict: Whether a server may have run the request.
        """
        if self._is_stopping:
            return outcome.Refusal(
                outcome.Reason.LEAVING,
                "the instance stops before a server has responded",
                verdict,
            )
        return outcome.Refusal(
            outcome.Reason.EXPIRED,
            "no complete response before the deadline",
            verdict,
        )
