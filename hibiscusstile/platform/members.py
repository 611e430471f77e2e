"""Finds the other gateways through the platform's store."""

from __future__ import annotations

import datetime
import json
from collections.abc import Sequence

import logbook
import pydantic

from hibiscusstile import logs, platform
from hibiscusstile.gateway import follower
from hibiscusstile.gateway import state as state_lib
from hibiscusstile.peers import mesh
from hibiscusstile.platform import topics

__all__ = ["TOPIC", "MemberFeed"]

_log = logbook.Logger("members")

TOPIC = "keyed.hibiscusstile.members"
_TICK = datetime.timedelta(milliseconds=500)
# Longer than any cut or restart that a process comes back from by itself.
_FORGET_AFTER = datetime.timedelta(seconds=60)


class _Member(pydantic.BaseModel):
    address: str
    secret: str


class MemberFeed(follower.Consumer):
    """Announces this process and connects it to the others.

    Args:
        log: Where processes announce themselves.
        links: The connections to other gateways.
        state: Is told the number of gateways.
    """

    def __init__(
        self,
        log: topics.KeyedLog,
        links: mesh.Mesh,
        state: state_lib.GatewayState,
    ) -> None:
        self._log = log
        self._links = links
        self._state = state
        self._name = links.name
        self._members: dict[str, mesh.Peer] = {}
        self._changed = False
        self._announced = False
        self._leaving = False

    async def announce(self) -> None:
        """Announces this process, then follows the members' changes."""
        await self._links.wait_listening()
        value = json.dumps(
            {"address": self._links.address, "secret": self._links.secret}
        ).encode()
        while True:
            if not self._announced:
                self._announced = await self._write(self._name, value)
            if self._changed:
                self._changed = False
                self._state.set_process_count(len(self._members) + 1)
                await self._links.set_peers(dict(self._members))
            for name in self._links.disconnected_for(
                _FORGET_AFTER.total_seconds()
            ):
                await self._forget(name)
            await self._state.clock.sleep(_TICK)

    async def withdraw(self) -> None:
        """Announces that this process leaves."""
        self._leaving = True
        await self._write(self._name, b"")

    def apply_all(self, records: Sequence[topics.KeyedRecord]) -> None:
        """Takes in the newest record of every process."""
        self._members.clear()
        self._changed = True
        self._announced = any(each.key == self._name for each in records)
        for record in records:
            self.apply(record)

    def apply(self, record: topics.KeyedRecord) -> None:
        """Takes in a process's announcement, or its leaving."""
        if record.key == self._name:
            # Another process has taken this one for gone.
            self._announced = bool(record.value) or self._leaving
            return
        self._changed = True
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

    async def _forget(self, name: str) -> None:
        """Drops the record of a process that cannot be reached.

        Instances are lost without a word, and their records would stay for
        ever. A process that lives announces itself again.
        """
        if self._members.pop(name, None) is not None:
            self._changed = True
            logs.event(_log, "member_forgotten", peer=name)
            await self._write(name, b"")

    async def _write(self, name: str, value: bytes) -> bool:
        payload = topics.encode_keyed_record(name, value)
        result = await self._log.append(TOPIC, payload)
        return isinstance(result, platform.Appended)
