"""HTTP client of the instance list."""

from __future__ import annotations

import datetime

import aiohttp
import pydantic

from hibiscusstile import boundedhttp, platform

__all__ = ["HttpInstanceList"]

_TIMEOUT = datetime.timedelta(seconds=3)


_MAX_RESPONSE_BYTES = 4 * 1024 * 1024


class _Instance(pydantic.BaseModel):
    peer_id: str
    role: str
    host: str
    port: int
    zone: str
    region: str
    leaving: bool = False


class _Page(pydantic.BaseModel):
    instances: list[_Instance]


@platform.instance_lists.register()
class HttpInstanceList(platform.InstanceList):
    """Reads the instance list over HTTP.

    Args:
        url: Base URL without a trailing slash.
    """

    name = "http"

    def __init__(self, url: str) -> None:
        super().__init__(url)
        self._url = url
        self._session: aiohttp.ClientSession | None = None

    async def list_instances(
        self, region: str
    ) -> platform.Listing | platform.ListUnavailable:
        """Returns the instances currently listed for a region."""
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=boundedhttp.BoundedConnector()
            )
        timeout = aiohttp.ClientTimeout(total=_TIMEOUT.total_seconds())
        try:
            async with self._session.get(
                f"{self._url}/instances",
                params={"region": region},
                timeout=timeout,
            ) as response:
                if response.status != 200:
                    return platform.ListUnavailable(
                        f"instance list returned HTTP status {response.status}"
                    )
                page = _Page.model_validate_json(
                    await boundedhttp.read_body(response, _MAX_RESPONSE_BYTES)
                )
        except (aiohttp.ClientError, TimeoutError) as error:
            return platform.ListUnavailable(
                f"no response from the instance list: {error!r}"
            )
        except pydantic.ValidationError:
            return platform.ListUnavailable(
                "the instance list's response is malformed"
            )
        return platform.Listing(
            tuple(
                platform.ListedInstance(**each.model_dump())
                for each in page.instances
            )
        )

    async def close(self) -> None:
        """Closes the HTTP session."""
        if self._session is not None:
            await self._session.close()
