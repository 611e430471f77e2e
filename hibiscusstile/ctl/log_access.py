"""Reads the configuration from the log for commands."""

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
    """The state cannot be read from the log; the text says why."""


def run_with_log(
    url: str, action: Callable[[platform.LogClient], Awaitable[_T]]
) -> _T:
    """Runs an action with a client of the log and closes the client."""
    logs.start_logging(logs.LogFormat.KEY_VALUE, "CRITICAL")

    async def run() -> _T:
        log = platform.get_log_client_by_name(_LOG_CLIENT_KIND)(url.rstrip("/"))
        try:
            return await action(log)
        finally:
            await log.close()

    return asyncio.run(run())


async def read_state(log: platform.LogClient) -> store_lib.ConfigurationStore:
    """Returns the configuration at the log's end.

    Raises:
        LogUnusable: The log does not answer, or retention left a gap that no
            snapshot covers.
    """
    store = store_lib.ConfigurationStore(author="hibiscusctl")
    follower = follower_lib.LogFollower(log, store, clock_lib.SystemClock())
    step = await follower.catch_up()
    if step is follower_lib.ReadOutcome.GAP:
        raise LogUnusable(
            "the log no longer holds all records and no snapshot covers them"
        )
    if step is not follower_lib.ReadOutcome.CAUGHT_UP:
        raise LogUnusable("the log does not answer")
    return store
