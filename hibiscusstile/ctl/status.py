"""The command `hibiscusctl status`, which shows a process's status page."""

from __future__ import annotations

import asyncio
import json
import sys
from collections.abc import Callable, Sequence
from typing import Annotated, Any

import aiohttp
import cyclopts

from hibiscusstile import boundedhttp, ctl

__all__ = ["StatusCommand", "status"]

_TIMEOUT = aiohttp.ClientTimeout(total=5)
_LEADING_FIELDS = ("role", "peer_id", "incarnation", "revision", "digest")


@ctl.commands.register()
class StatusCommand(ctl.Command):
    """Shows the status page of one process."""

    name = "status"

    @property
    def handler(self) -> Callable[..., int]:
        """The function that runs the command."""
        return status


def status(
    *,
    url: str,
    as_json: Annotated[
        bool, cyclopts.Parameter(name="--json", negative="")
    ] = False,
) -> int:
    """Shows the revision in force, instances, backend servers and queues.

    Args:
        url: Base URL of the operators' port of an entry instance or sidecar.
        as_json: Print the page as one JSON object.
    """
    try:
        page = asyncio.run(_fetch(url.rstrip("/")))
    except (aiohttp.ClientError, TimeoutError, ValueError) as error:
        detail = " ".join(str(error).split()) or type(error).__name__
        print(
            f"status: cannot get the status of {url}: {detail}", file=sys.stderr
        )
        return ctl.EXIT_REFUSED
    if as_json:
        print(json.dumps(page))
        return ctl.EXIT_DONE
    for line in _format_page(page):
        print(line)
    return ctl.EXIT_DONE


async def _fetch(url: str) -> dict[str, Any]:
    """Returns the status page.

    Raises:
        ValueError: The response is not a status page.
    """
    async with (
        aiohttp.ClientSession(
            connector=boundedhttp.BoundedConnector(), timeout=_TIMEOUT
        ) as session,
        session.get(f"{url}/status") as response,
    ):
        body = await response.read()
        if response.status != 200:
            raise ValueError(f"/status returned HTTP status {response.status}")
    page = json.loads(body)
    if not isinstance(page, dict) or "revision" not in page:
        raise ValueError("the response is not a status page")
    return page


def _format_page(page: dict[str, Any]) -> list[str]:
    """Returns a line for each field, and one for each element of a list."""
    names = [name for name in _LEADING_FIELDS if name in page]
    names += [name for name in page if name not in names]
    lines = []
    for name in names:
        value = page[name]
        if isinstance(value, list):
            lines.append(f"{name}: {len(value)}")
            lines += [f"  {_format_row(each)}" for each in value]
        else:
            lines.append(f"{name}: {_format_row(value)}")
    return lines


def _format_row(value: Any) -> str:
    if isinstance(value, dict):
        return " ".join(
            f"{name}={_format_value(each)}" for name, each in value.items()
        )
    return _format_value(value)


def _format_value(value: Any) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, Sequence) and not isinstance(value, str):
        return ",".join(str(each) for each in value) or "-"
    return str(value) if value != "" else "-"
