"""Finds the other gateways through the platform's store."""

from __future__ import annotations

import asyncio
import datetime
import json
from collections.abc import Sequence

import logbook
import pydantic

from hibiscusstile import logs, platform
from hibiscusstile.gateway import follower, state
from hibiscusstile.peers import mesh
from hibiscusstile.platform import topics

__all__ = ["TOPIC", "MemberFeed"]

_log = logbook.Logger("members")

TOPIC = "keyed.hibiscusstile.members"
_RETRY = datetime.timedelta(milliseconds=500)


class _Member(pydantic.BaseModel):
    address: str
    secret: str


class MemberFeed(follower.Consumer):
    """Announces this process and connects it to the others.

    Args:
        log: Where processes announce themselves.
        links: The connections to other gateways.
        known: Is told the number of gateways.
    """

    def __init__(
        self,
        log: topics.KeyedLog,
        links: mesh.Mesh,
        known: state.GatewayState,
    ) -> None:
        self._log = log
        self._links = links
        self._known = known
        self._name = links.name
        self._members: dict[str, mesh.Peer] = {}
        self._changed = asyncio.Event()

    async def announce(self) -> None:
        """Announces this process, then follows the members' changes."""
        await self._links.wait_listening()
        value = json.dumps(
            {"address": self._links.address, "secret": self._links.secret}
        ).encode()
        while not await self._write(value):
            await self._known.clock.sleep(_RETRY)
        while True:
            await self._changed.wait()
            self._changed.clear()
            self._known.note_processes(len(self._members) + 1)
            await self._links.set_peers(dict(self._members))

    async def withdraw(self) -> None:
        """Announces that this process leaves."""
        await self._write(b"")

    def apply_all(self, records: Sequence[topics.KeyedRecord]) -> None:
        """Takes in the newest record of every process."""
        self._members.clear()
        for record in records:
            self.apply(record)

    def apply(self, record: topics.KeyedRecord) -> None:
        """Takes in a process's announcement, or its leaving."""
        if record.key == self._name:
            return
        self._changed.set()
        if not record.value:
            self._members.pop(record.key, None)
            return
        try:
            member = _Member.model_validate_json(record.value)
        except pydantic.ValidationError as error:
            logs.warn(
                _log,
                "record_unreadable",
                key=record.key,
                error=error.errors(include_input=False)[0]["msg"],
            )
            return
        self._members[record.key] = mesh.Peer(
            record.key, member.address, member.secret
        )

    async def _write(self, value: bytes) -> bool:
        payload = topics.encode_keyed(self._name, value)
        result = await self._log.append(TOPIC, payload)
        return isinstance(result, platform.Appended)
