"""Follows the event logs of the KV cache stores."""

from __future__ import annotations

import asyncio
import datetime
from typing import Any

import aiohttp
import pydantic

from hibiscusstile import boundedhttp, opaquekeys, sockets
from hibiscusstile.gateway import routes
from hibiscusstile.gateway import state as state_lib

__all__ = ["CacheEventFeed"]

# The longest wait that a store accepts. It charges calls that wait less than
# 200 ms as probes.
_LONG_POLL_WAIT = datetime.timedelta(milliseconds=1000)
# Must exceed `_LONG_POLL_WAIT`.
_TIMEOUT = aiohttp.ClientTimeout(total=2.0, sock_connect=0.4)
_RETRY_DELAY = datetime.timedelta(milliseconds=500)
# Delay after a response with status 429: other processes have used up the
# store's call limit. Meanwhile the table of its prompt parts is not updated.
_THROTTLED_DELAY = datetime.timedelta(seconds=5)
_TOO_MANY_REQUESTS = 429
# A store keeps its newest 4,000 events, of about 100 bytes each.
_MAX_RESPONSE_BYTES = 4 * 1024 * 1024
_CONFIGURATION_POLL_INTERVAL = datetime.timedelta(milliseconds=500)


class _Events(pydantic.BaseModel):
    # Changes when the store restarts.
    epoch: int
    # Sequence number to pass as `since` in the next call.
    next: int
    # Whether events before the first returned one were dropped. Not used: the
    # table of prompt parts then lacks these changes.
    lost: bool = False
    # Rows of sequence number, sign (`+` for stored, otherwise evicted), salt,
    # part ID, token count and model.
    events: list[list[Any]] = []


class CacheEventFeed:
    """Updates the table of KV cache stores and the prompt parts they hold.

    Args:
        state: State with the configured stores and the table to update.
    """

    def __init__(self, state: state_lib.GatewayState) -> None:
        self._state = state
        self._session: aiohttp.ClientSession | None = None

    async def run(self) -> None:
        """Follows every configured store until cancelled."""
        tasks_by_address: dict[str, asyncio.Task[None]] = {}
        async with asyncio.TaskGroup() as task_group:
            while True:
                routing_table = self._state.table
                stores = routing_table.prefix_stores if routing_table else ()
                addresses = {store.address for store in stores}
                for address in set(tasks_by_address) - addresses:
                    tasks_by_address.pop(address).cancel()
                for store in stores:
                    if store.address not in tasks_by_address:
                        tasks_by_address[store.address] = (
                            task_group.create_task(self._follow_store(store))
                        )
                await self._state.clock.sleep(_CONFIGURATION_POLL_INTERVAL)

    async def close(self) -> None:
        """Closes the HTTP session."""
        if self._session is not None:
            await self._session.close()

    async def _follow_store(self, store: routes.PrefixStore) -> None:
        since = 0
        epoch = None
        store_table = self._state.prefix_stores
        while True:
            try:
                status, events = await self._read_events(store.address, since)
            except (
                aiohttp.ClientError,
                TimeoutError,
                OSError,
                pydantic.ValidationError,
            ):
                store_table.note_alive(store.address, False)
                await self._state.clock.sleep(_RETRY_DELAY)
                continue
            store_table.note_alive(store.address, True)
            if events is None:
                delay = (
                    _THROTTLED_DELAY
                    if status == _TOO_MANY_REQUESTS
                    else _RETRY_DELAY
                )
                await self._state.clock.sleep(delay)
                continue
            if epoch is not None and events.epoch != epoch:
                # The store has restarted, empty. These events follow `since`,
                # which belongs to the previous epoch: read from the start.
                store_table.note_emptied(store.address)
                since, epoch = 0, events.epoch
                continue
            epoch, since = events.epoch, events.next
            for row in events.events:
                self._apply_event(store.address, row)

    def _apply_event(self, address: str, row: list[Any]) -> None:
        if len(row) < 5:
            # Malformed rows are ignored.
            return
        _, sign, salt, part_id, tokens = row[:5]
        is_held = sign == "+" and isinstance(tokens, int) and tokens > 0
        seen_s = self._state.clock.monotonic() if is_held else None
        self._state.prefix_stores.note_part(
            address, str(salt), opaquekeys.to_key(str(part_id)), seen_s
        )

    async def _read_events(
        self, address: str, since: int
    ) -> tuple[int, _Events | None]:
        """Returns the HTTP status, and the events if the status is 200."""
        async with self._get_session().get(
            f"http://{address}/v1/kv-events",
            params={"since": str(since)},
            headers={
                "Wait-Ms": str(round(_LONG_POLL_WAIT.total_seconds() * 1000))
            },
        ) as response:
            body = await boundedhttp.read_body(response, _MAX_RESPONSE_BYTES)
            if response.status != 200:
                return response.status, None
            return 200, _Events.model_validate_json(body)

    def _get_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            # The store charges new connections. A reused one whose peer is
            # gone delays a call by at most `_TIMEOUT.total`.
            self._session = sockets.open_session(
                _TIMEOUT, reuse_connections=True
            )
        return self._session
