"""HTTP client of the log service."""

from __future__ import annotations

import base64
import datetime

import aiohttp
import pydantic

from hibiscusstile import boundedhttp, platform

__all__ = ["HttpLog"]

_APPEND_TIMEOUT = datetime.timedelta(seconds=3)
_READ_TIMEOUT_MARGIN = datetime.timedelta(seconds=3)
_MAX_CLIENT_ERROR_STATUS = 499
_MAX_RESPONSE_BYTES = 32 * 1024 * 1024


class _Entry(pydantic.BaseModel):
    offset: int
    time: datetime.datetime
    payload: str


class _Page(pydantic.BaseModel):
    entries: list[_Entry]
    earliest: int
    end: int


class _Position(pydantic.BaseModel):
    offset: int


@platform.log_clients.register()
class HttpLog(platform.LogClient):
    """Reads and appends entries over HTTP.

    Args:
        url: Base URL without a trailing slash.
    """

    name = "http"

    def __init__(self, url: str) -> None:
        super().__init__(url)
        self._url = url
        self._session: aiohttp.ClientSession | None = None

    async def append(
        self, stream: str, payload: bytes
    ) -> platform.Appended | platform.AppendRefused | platform.AppendUnknown:
        """Appends one entry without retrying."""
        timeout = aiohttp.ClientTimeout(total=_APPEND_TIMEOUT.total_seconds())
        try:
            async with self._get_session().post(
                f"{self._url}/streams/{stream}", data=payload, timeout=timeout
            ) as response:
                body = await boundedhttp.read_body(
                    response, _MAX_RESPONSE_BYTES
                )
                status = response.status
        except aiohttp.ClientConnectorError as error:
            return platform.AppendRefused(f"cannot connect to the log: {error}")
        except (aiohttp.ClientError, TimeoutError) as error:
            return platform.AppendUnknown(
                f"no response from the log: {error!r}"
            )
        if status in (200, 201):
            return self._parse_position(body)
        if status <= _MAX_CLIENT_ERROR_STATUS:
            return platform.AppendRefused(f"log returned HTTP status {status}")
        return platform.AppendUnknown(f"log returned HTTP status {status}")

    async def read(
        self,
        stream: str,
        offset: int,
        *,
        limit: int = 500,
        wait: datetime.timedelta = datetime.timedelta(0),
    ) -> platform.LogEntries | platform.LogUnavailable:
        """Reads entries from `offset` on, waiting up to `wait` for new ones."""
        total_s = (wait + _READ_TIMEOUT_MARGIN).total_seconds()
        parameters = {
            "offset": str(offset),
            "limit": str(limit),
            "wait": f"{wait.total_seconds():g}",
        }
        try:
            async with self._get_session().get(
                f"{self._url}/streams/{stream}",
                params=parameters,
                timeout=aiohttp.ClientTimeout(total=total_s),
            ) as response:
                if response.status != 200:
                    return platform.LogUnavailable(
                        f"log returned HTTP status {response.status}"
                    )
                page = _Page.model_validate_json(
                    await boundedhttp.read_body(response, _MAX_RESPONSE_BYTES)
                )
        except (aiohttp.ClientError, TimeoutError) as error:
            return platform.LogUnavailable(
                f"no response from the log: {error!r}"
            )
        except pydantic.ValidationError:
            return platform.LogUnavailable("the log's response is malformed")
        return _decode_page(page)

    async def close(self) -> None:
        """Closes the HTTP session."""
        if self._session is not None:
            await self._session.close()

    def _get_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=boundedhttp.BoundedConnector()
            )
        return self._session

    @staticmethod
    def _parse_position(
        body: bytes,
    ) -> platform.Appended | platform.AppendUnknown:
        try:
            return platform.Appended(_Position.model_validate_json(body).offset)
        except pydantic.ValidationError:
            return platform.AppendUnknown("the log's response is malformed")


def _decode_page(page: _Page) -> platform.LogEntries:
    entries = tuple(
        platform.LogEntry(
            entry.offset, entry.time, base64.b64decode(entry.payload)
        )
        for entry in page.entries
    )
    return platform.LogEntries(entries, page.earliest, page.end)
