"""HTTP client of the platform's store, a log with topics and keyed records."""

from __future__ import annotations

import asyncio
import base64
import datetime
import struct

import aiohttp
import pydantic

from hibiscusstile import boundedhttp, metrics, platform, sockets
from hibiscusstile import clock as clock_lib
from hibiscusstile.platform import storeera, topics

__all__ = ["PlatformStore"]

_CALL_TIMEOUT = datetime.timedelta(milliseconds=1500)
_READ_TIMEOUT_MARGIN = datetime.timedelta(milliseconds=1500)
_CONNECT_TIMEOUT_S = 0.8
_TIMEOUT = aiohttp.ClientTimeout(sock_connect=_CONNECT_TIMEOUT_S)
_READ_HEADER = struct.Struct(">QQ")
_LENGTH_PREFIX = struct.Struct(">I")
_MAX_CONNECTIONS = 6
# A page holds 1 MB of records, which base64 encodes as 1.4 MB.
_MAX_RESPONSE_BYTES = 4 * 1024 * 1024
# All pages of the newest records of a topic.
_MAX_NEWEST_BYTES = 64 * 1024 * 1024


class _Item(pydantic.BaseModel):
    key: str
    value: str
    offset: int


class _NewestPage(pydantic.BaseModel):
    items: list[_Item]
    has_more: bool = False
    end: int


class _Position(pydantic.BaseModel):
    offset: int = 0
    end: int = 0
    first: int = 0


class PlatformStore(topics.KeyedLog):
    """Keyed log in the platform's store.

    Args:
        address: Address of the store, as `ip:port`.
        clock: Clock for the time since which the store's era is known.
    """

    def __init__(
        self, address: str, clock: clock_lib.Clock | None = None
    ) -> None:
        self._address = address
        self._eras = storeera.EraTracker(clock or clock_lib.SystemClock())
        self._session: aiohttp.ClientSession | None = None

    @property
    def address(self) -> str:
        """Address of the store."""
        return self._address

    @property
    def era(self) -> int | None:
        """Newest known era of the store; None if unknown."""
        return self._eras.era

    @property
    def era_known_for_s(self) -> float | None:
        """Seconds since the era became known; None if it is not."""
        return self._eras.known_for_s

    async def move(self, address: str) -> None:
        """Switches to another address and closes the connections."""
        self._address = address
        self._eras.reset()
        await self.close()

    async def read_newest(
        self, topic: str
    ) -> topics.NewestRecords | platform.LogUnavailable:
        """Reads the newest record of each key of a topic."""
        records: list[topics.KeyedRecord] = []
        parameters = {"topic": topic, "part": "0"}
        received_bytes = 0
        while received_bytes <= _MAX_NEWEST_BYTES:
            status, body = await self._call(
                "GET", "log-newest", parameters, _CALL_TIMEOUT
            )
            if status != 200:
                return platform.LogUnavailable(_describe_error(status, body))
            received_bytes += len(body)
            try:
                page = _NewestPage.model_validate_json(body)
                records += [
                    topics.KeyedRecord(
                        each.key, base64.b64decode(each.value), each.offset
                    )
                    for each in page.items
                ]
            except ValueError:
                return platform.LogUnavailable(
                    "the store's response is malformed"
                )
            if not page.has_more or not page.items:
                return topics.NewestRecords(tuple(records), page.end, self.era)
            parameters["after"] = page.items[-1].key
        return platform.LogUnavailable(
            f"the newest records of {topic} exceed {_MAX_NEWEST_BYTES} bytes"
        )

    async def read(
        self, topic: str, offset: int, wait: datetime.timedelta
    ) -> topics.RecordBatch | topics.Trimmed | platform.LogUnavailable:
        """Reads records from `offset` on, waiting up to `wait` for new ones."""
        parameters = {"topic": topic, "part": "0", "from": str(offset)}
        wait_ms = round(wait.total_seconds() * 1000)
        if wait_ms:
            parameters["wait_ms"] = str(wait_ms)
        status, body = await self._call(
            "GET", "log-read", parameters, wait + _READ_TIMEOUT_MARGIN
        )
        if status == 410:
            return topics.Trimmed(_parse_position(body).first, self.era)
        if status != 200:
            return platform.LogUnavailable(_describe_error(status, body))
        try:
            return _split_records(body, offset, self.era)
        except (struct.error, ValueError):
            return platform.LogUnavailable("the store's response is malformed")

    async def append(
        self, topic: str, payload: bytes, expected_end: int | None = None
    ) -> (
        platform.Appended
        | topics.AppendConflict
        | platform.AppendRefused
        | platform.AppendUnknown
    ):
        """Appends one record without retrying."""
        parameters = {"topic": topic, "part": "0"}
        if expected_end is not None:
            parameters["at"] = str(expected_end)
        data = _LENGTH_PREFIX.pack(len(payload)) + payload
        status, body = await self._call(
            "POST", "log-append", parameters, _CALL_TIMEOUT, data
        )
        if status == 200:
            return platform.Appended(_parse_position(body).offset, self.era)
        if status == 412:
            return topics.AppendConflict(_parse_position(body).end, self.era)
        if status in (0, 500, 502, 504):
            return platform.AppendUnknown(_describe_error(status, body))
        return platform.AppendRefused(_describe_error(status, body))

    async def close(self) -> None:
        """Closes the HTTP session."""
        if self._session is not None:
            session, self._session = self._session, None
            await session.close()

    async def _call(
        self,
        method: str,
        endpoint: str,
        parameters: dict[str, str],
        time_limit: datetime.timedelta,
        data: bytes | None = None,
    ) -> tuple[int, bytes]:
        """Returns the HTTP status and body, or 0 and the error without one.

        A response of an older era than the newest known one is an error.
        """
        era_at_sending = self.era
        try:
            async with self._get_session().request(
                method,
                f"http://{self._address}/v1/{endpoint}",
                params=parameters,
                data=data,
                timeout=aiohttp.ClientTimeout(
                    total=time_limit.total_seconds(),
                    sock_connect=_CONNECT_TIMEOUT_S,
                ),
            ) as response:
                body = await boundedhttp.read_body(
                    response, _MAX_RESPONSE_BYTES
                )
            metrics.count_store_call(endpoint, str(response.status))
            if self._eras.note_response(response.headers, era_at_sending):
                return response.status, body
            return 0, b"the response precedes a restore of the store"
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            metrics.count_store_call(endpoint, "no_answer")
            return 0, repr(error).encode()
        except asyncio.CancelledError:
            # Closing the session also cancels calls that wait for one of its
            # connections, although their tasks go on.
            task = asyncio.current_task()
            if task is None or task.cancelling():
                raise
            metrics.count_store_call(endpoint, "no_answer")
            return 0, b"the session was closed"

    def _get_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = sockets.open_session(
                _TIMEOUT, max_connections=_MAX_CONNECTIONS
            )
        return self._session


def _split_records(
    body: bytes, offset: int, era: int | None
) -> topics.RecordBatch:
    end, _ = _READ_HEADER.unpack_from(body)
    payloads = []
    position = _READ_HEADER.size
    while position < len(body):
        (size,) = _LENGTH_PREFIX.unpack_from(body, position)
        position += _LENGTH_PREFIX.size
        if position + size > len(body):
            raise ValueError("the last record is truncated")
        payloads.append(body[position : position + size])
        position += size
    return topics.RecordBatch(tuple(payloads), offset, end, era)


def _parse_position(body: bytes) -> _Position:
    try:
        return _Position.model_validate_json(body)
    except pydantic.ValidationError:
        return _Position()


def _describe_error(status: int, body: bytes) -> str:
    if status:
        return f"store returned HTTP status {status}"
    return f"no response from the store: {body.decode(errors='replace')}"
