"""Discovery of the other gateways through the platform's store."""

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
from hibiscusstile.platform import addresses, bounded, recorderrors, topics

__all__ = ["MEMBER_TOPIC", "GatewayMembership"]

_log = logbook.Logger("members")

MEMBER_TOPIC = "keyed.hibiscusstile.members"
_UPDATE_INTERVAL = datetime.timedelta(milliseconds=500)
# Longer than any network partition or restart that a process recovers from.
_REMOVE_AFTER = datetime.timedelta(seconds=60)
# A gateway whose announcement is missing after the store was restored from a
# copy announces itself again within about 4 s.
_KEEP_MISSING_S = 8.0


class _Member(pydantic.BaseModel):
    address: addresses.IpAddress
    secret: bounded.Text
    # Absent in the records of earlier versions.
    zone: bounded.Text = ""


class GatewayMembership(follower.Consumer):
    """Announces this gateway and connects it to the announced others.

    Args:
        log: Log with the topic of announcements.
        peer_mesh: Connections to the other gateways.
        state: State that is updated with the number of gateways.
    """

    def __init__(
        self,
        log: topics.KeyedLog,
        peer_mesh: mesh.Mesh,
        state: state_lib.GatewayState,
    ) -> None:
        self._log = log
        self._mesh = peer_mesh
        self._state = state
        self._own_name = peer_mesh.name
        self._peers: dict[str, mesh.Peer] = {}
        self._peers_changed = False
        # Times since which peers are missing from the listed announcements.
        self._missing_since_s: dict[str, float] = {}
        self._own_value = b""
        self._is_announced = False
        self._is_leaving = False
        # Whether the first list read held no announcement of an earlier process
        # of this gateway; None before.
        self._is_joining: bool | None = None

    async def announce(self) -> None:
        """Keeps this gateway announced and the mesh up to date until cancelled.

        Also removes gateways that have been unreachable for a minute.
        """
        await self._mesh.wait_listening()
        self._own_value = json.dumps(
            {
                "address": self._mesh.address,
                "secret": self._mesh.secret,
                "zone": self._state.zone,
            }
        ).encode()
        while True:
            if not self._is_announced:
                self._is_announced = await self._append_record(
                    self._own_name, self._own_value
                )
            self._drop_missing()
            if self._is_joining is not None:
                self._state.allowances.ledger.note_gateways(
                    tuple(self._peers), joining=self._is_joining
                )
            if self._peers_changed:
                self._peers_changed = False
                self._state.set_process_count(len(self._peers) + 1)
                await self._mesh.set_peers(dict(self._peers))
            for name in self._mesh.disconnected_for(
                _REMOVE_AFTER.total_seconds()
            ):
                await self._remove_lost(name)
            await self._state.clock.sleep(_UPDATE_INTERVAL)

    async def withdraw(self) -> None:
        """Removes this gateway's announcement before it stops."""
        self._is_leaving = True
        await self._append_record(self._own_name, b"")

    def apply_all(self, records: Sequence[topics.KeyedRecord]) -> None:
        """Applies the newest records of all gateways.

        Peers that are missing are kept for a moment.
        """
        self._peers_changed = True
        self._is_announced = self._is_leaving
        now_s = self._state.clock.monotonic()
        listed = {record.key for record in records}
        if self._is_joining is None:
            # Its own announcement does not tell that others count it yet.
            self._is_joining = not any(
                record.key == self._own_name
                and record.value not in (b"", self._own_value)
                for record in records
            )
        for name in self._peers:
            if name not in listed:
                self._missing_since_s.setdefault(name, now_s)
        for record in records:
            self.apply(record)

    def apply(self, record: topics.KeyedRecord) -> None:
        """Applies the announcement of a gateway, or its removal."""
        if record.key == self._own_name:
            # After another value, `announce` appends the announcement again:
            # it is empty if another gateway took this one for lost, and of an
            # earlier start if the store was restored from a copy. A leaving
            # gateway removed its announcement itself.
            is_own = bool(record.value) and record.value == self._own_value
            self._is_announced = is_own or self._is_leaving
            return
        self._peers_changed = True
        self._missing_since_s.pop(record.key, None)
        if not record.value:
            self._peers.pop(record.key, None)
            return
        try:
            member = _Member.model_validate_json(record.value)
        except pydantic.ValidationError as error:
            logs.warn(
                _log,
                "record_unreadable",
                key=record.key,
                error=recorderrors.describe_first(error),
            )
            return
        self._peers[record.key] = mesh.Peer(
            record.key, member.address, member.secret, member.zone
        )

    def _drop_missing(self) -> None:
        now_s = self._state.clock.monotonic()
        for name, since_s in list(self._missing_since_s.items()):
            if now_s - since_s >= _KEEP_MISSING_S:
                del self._missing_since_s[name]
                self._peers.pop(name, None)
                self._peers_changed = True

    async def _remove_lost(self, name: str) -> None:
        """Removes the record of a gateway that cannot be reached.

        The record of a gateway that ended without a shutdown would stay
        forever. A gateway that still runs announces itself again.
        """
        if self._peers.pop(name, None) is not None:
            self._peers_changed = True
            logs.event(_log, "member_forgotten", peer=name)
            await self._append_record(name, b"")

    async def _append_record(self, name: str, value: bytes) -> bool:
        payload = topics.encode_keyed_record(name, value)
        result = await self._log.append(MEMBER_TOPIC, payload)
        return isinstance(result, platform.Appended)
