"""Relays the configuration to gateways that the store rejects.

The store may reject some processes while it serves others. If a peer's messages
keep showing an older version than the one in force here, this process sends it
the configuration record.
"""

from __future__ import annotations

from collections.abc import Sequence

import logbook
import xxhash

from hibiscusstile import logs
from hibiscusstile.gateway import follower, routes
from hibiscusstile.gateway import state as state_lib
from hibiscusstile.peers import messages
from hibiscusstile.platform import topics

__all__ = ["ConfigurationRelay"]

_log = logbook.Logger("configurationrelay")

# The store delivers a version to all processes within milliseconds; a process
# that lacks it for longer has no connection to the store.
_MIN_LAG_S = 0.5
# Offers of different peers spread over this time, so that usually only one
# of them sends the record.
_OFFER_SPREAD_S = 1.5
_RESEND_INTERVAL_S = 4.0


class ConfigurationRelay(follower.Consumer):
    """Keeps the configuration record in force and offers it to outdated peers.

    Args:
        name: Name of this process.
        state: State of this gateway process.
        consumer: Applies records.
        key: Key of the configuration record.
    """

    def __init__(
        self,
        name: str,
        state: state_lib.GatewayState,
        consumer: follower.Consumer,
        key: str,
    ) -> None:
        self._name = name
        self._state = state
        self._clock = state.clock
        self._consumer = consumer
        self._key = key
        self._record: topics.KeyedRecord | None = None
        self._applied_s = 0.0
        self._outdated_peers: set[str] = set()
        self._sent_s: dict[str, float] = {}

    def apply_all(self, records: Sequence[topics.KeyedRecord]) -> None:
        """Applies the newest record of every key."""
        before = self._state.table
        self._consumer.apply_all(records)
        for record in records:
            self._keep_if_changed(record, before)

    def apply(self, record: topics.KeyedRecord) -> None:
        """Applies a record and keeps it if it changes the configuration."""
        before = self._state.table
        self._consumer.apply(record)
        self._keep_if_changed(record, before)

    def note_lost(self) -> None:
        """Tells the consumer that reading the topic starts to fail."""
        self._consumer.note_lost()

    def note_back(self, last_failed_s: float) -> None:
        """Tells the consumer that the topic can be read again."""
        self._consumer.note_back(last_failed_s)

    def _keep_if_changed(
        self, record: topics.KeyedRecord, before: routes.RoutingTable | None
    ) -> None:
        if record.key == self._key and self._state.table is not before:
            self._record = record
            self._applied_s = self._clock.monotonic()
            self._outdated_peers.clear()
            self._sent_s.clear()

    def receive(
        self, peer_id: str, message: messages.GatewayConfiguration
    ) -> None:
        """Applies a record that a peer has relayed, if it is newer."""
        logs.event(_log, "configuration_received", peer=peer_id)
        self.apply(topics.KeyedRecord(self._key, message.record, -1))

    def note_peer_version(self, peer_id: str, version: int) -> None:
        """Records the configuration version that a peer's message shows."""
        table = self._state.table
        age_s = self._clock.monotonic() - self._applied_s
        if table is not None and version < table.version and age_s > _MIN_LAG_S:
            self._outdated_peers.add(peer_id)
        else:
            self._outdated_peers.discard(peer_id)

    def offer(self, peer_id: str) -> messages.GatewayConfiguration | None:
        """Returns the record if it should be sent to a peer now."""
        now_s = self._clock.monotonic()
        if self._record is None or peer_id not in self._outdated_peers:
            return None
        if (
            now_s
            < self._applied_s
            + _MIN_LAG_S
            + self._spread_position(peer_id) * _OFFER_SPREAD_S
        ):
            return None
        sent_s = self._sent_s.get(peer_id)
        if sent_s is not None and now_s - sent_s < _RESEND_INTERVAL_S:
            return None
        self._sent_s[peer_id] = now_s
        logs.event(_log, "configuration_passed_on", peer=peer_id)
        return messages.GatewayConfiguration(self._record.value)

    def _spread_position(self, peer_id: str) -> float:
        """Returns this process's place in the spread of offers, 0 to 1."""
        digest = xxhash.xxh3_64_intdigest(f"{self._name} {peer_id}".encode())
        return float(digest / 2**64)
