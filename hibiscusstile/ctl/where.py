"""The command `hibiscusctl where`: where a request would go now, and why."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable
from typing import Annotated, Any

import aiohttp
import cyclopts

from hibiscusstile import boundedhttp, ctl, placementquery
from hibiscusstile.ctl import output

__all__ = ["WhereCommand", "where"]

_TIMEOUT = aiohttp.ClientTimeout(total=5)
_SERVER_FIELDS = (
    "server",
    "zone",
    "expected_s",
    "cost",
    "cached_tokens",
    "running",
    "slots",
    "waiting_tokens",
    "healthy",
)


@ctl.commands.register()
class WhereCommand(ctl.Command):
    """Explains where a request would go now, without sending it."""

    name = "where"

    @property
    def handler(self) -> Callable[..., int]:
        """The function that runs the command."""
        return where


def where(
    host: str,
    path: str,
    *,
    url: str,
    workspace: str = "",
    model: str = "",
    part: tuple[str, ...] = (),
    prompt_tokens: int = 0,
    output_tokens: int = 0,
    body_bytes: int = 0,
    request_id: str = "",
    as_json: Annotated[
        bool, cyclopts.Parameter(name="--json", negative="")
    ] = False,
) -> int:
    """Explains where a gateway would send a request now, and why.

    Nothing is sent to a backend server.

    Args:
        host: Host that the request names.
        path: Path of the request.
        url: Base URL of the operators' port of a gateway.
        workspace: Name of the caller's workspace.
        model: Name of the model.
        part: A part of the prompt as ID:TOKENS, in order; may be repeated.
        prompt_tokens: Length of the prompt; by default the sum of its parts.
        output_tokens: Upper bound on generated tokens.
        body_bytes: Size of the body.
        request_id: Identifier of the request; decides a traffic split.
        as_json: Print the result as JSON.
    """
    fields = {
        "host": host,
        "path": path,
        "workspace": workspace,
        "model": model,
        "prompt_tokens": prompt_tokens,
        "output_tokens": output_tokens,
        "body_bytes": body_bytes,
        "request_id": request_id,
    }
    try:
        query = placementquery.from_fields(fields, part)
    except placementquery.QueryError as error:
        print(f"where: {error}", file=sys.stderr)
        return ctl.EXIT_BAD_USAGE
    try:
        result = asyncio.run(_ask(url.rstrip("/"), query))
    except (aiohttp.ClientError, TimeoutError, ValueError) as error:
        detail = " ".join(str(error).split()) or type(error).__name__
        print(f"where: cannot ask {url}: {detail}", file=sys.stderr)
        return ctl.EXIT_REFUSED
    if as_json:
        output.print_json(result)
    else:
        for line in _format(result):
            print(line)
    return ctl.EXIT_DONE


async def _ask(
    url: str, query: placementquery.PlacementQuery
) -> dict[str, Any]:
    """Returns the gateway's answer.

    Raises:
        ValueError: The process is no gateway, or rejects the description.
    """
    async with (
        aiohttp.ClientSession(
            connector=boundedhttp.BoundedConnector(), timeout=_TIMEOUT
        ) as session,
        session.post(f"{url}/where", data=query.model_dump_json()) as response,
    ):
        if response.status != 200:
            text = (await response.text())[:200]
            raise ValueError(f"/where returned {response.status}: {text}")
        page = await response.json()
    if not isinstance(page, dict) or "verdict" not in page:
        raise ValueError("the response is not a placement")
    return page


def _format(page: dict[str, Any]) -> list[str]:
    lines = [
        f"{name}: {page[name]}"
        for name in page
        if name != "servers" and page[name] not in ("", None)
    ]
    for server in page.get("servers", ()):
        fields = " ".join(
            f"{name}={server.get(name, '')}" for name in _SERVER_FIELDS
        )
        lines.append(f"  {fields}")
    return lines
