"""Access of commands to the configuration log."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Annotated, TypeVar

import cyclopts

from hibiscusstile import clock as clock_lib
from hibiscusstile import logs, platform
from hibiscusstile.configuration import follower as follower_lib
from hibiscusstile.configuration import store as store_lib

__all__ = ["LogUnusable", "LogUrl", "read_state", "run_with_log"]

_T = TypeVar("_T")
_LOG_CLIENT_KIND = "http"

LogUrl = Annotated[
    str,
    cyclopts.Parameter("--log", help="Base URL of the log service."),
]


class LogUnusable(Exception):  # noqa: N818 - names the state of the log
    """The configuration cannot be read from the log.

    The message gives the reason.
    """


def run_with_log(
    url: str, action: Callable[[platform.LogClient], Awaitable[_T]]
) -> _T:
    """Runs an action with a log client and closes the client."""
    logs.start_logging(logs.LogFormat.KEY_VALUE, "CRITICAL")

    async def run() -> _T:
        log = platform.get_log_client_by_name(_LOG_CLIENT_KIND)(url.rstrip("/"))
        try:
            return await action(log)
        finally:
            await log.close()

    return asyncio.run(run())


async def read_state(log: platform.LogClient) -> store_lib.ConfigurationStore:
    """Returns the configuration as of the end of the log.

    Raises:
        LogUnusable: The log does not respond, or it has expired records that
            no snapshot covers.
    """
    store = store_lib.ConfigurationStore(author="hibiscusctl")
    follower = follower_lib.LogFollower(log, store, clock_lib.SystemClock())
    outcome = await follower.catch_up()
    if outcome is follower_lib.ReadOutcome.GAP:
        raise LogUnusable(
            "records have expired from the log and no snapshot covers them"
        )
    if outcome is not follower_lib.ReadOutcome.CAUGHT_UP:
        raise LogUnusable("the log service does not respond")
    return store
