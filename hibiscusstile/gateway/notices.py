"""Notices that gateway processes exchange to share routing state.

Notices are soft state: a lost notice can lead to a worse choice of server, but
never to a wrong response.
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
from collections.abc import Iterable
from typing import TYPE_CHECKING

from hibiscusstile.gateway import (
    allowances,
    crashsnapshot,
    exchange,
    load,
    noticeupdates,
    servermemory,
    serverstatements,
)
from hibiscusstile.peers import messages

if TYPE_CHECKING:
    from hibiscusstile.gateway import state as state_lib

__all__ = ["NoticeHandler", "NoticeOutbox", "announced_tokens"]

# A peer's load report expires after this time unless it is repeated.
_MAX_LOAD_AGE_S = 1.5
# The load of a server is sent when it differs by one of these amounts from the
# load last sent.
_MIN_RUNNING_CHANGE = 2
_MIN_WAITING_CHANGE_TOKENS = 1_500
# Maximum age of the prompt parts in the snapshot for a peer that has just
# connected: prefilling a part again within this time is charged.
_SNAPSHOT_WINDOW_S = 10.0
_MAX_SNAPSHOT_PREFIXES = 512
# Shorter parts cost less to prefill again than to announce.
_MIN_PART_TOKENS = 500


class NoticeOutbox:
    """Collects updates for other gateways until the next notice."""

    def __init__(self) -> None:
        # Same bound as the message fields; the oldest entries are dropped.
        max_entries = messages.MAX_NOTICE_ENTRIES
        self._prefixes: collections.deque[messages.PrefixUpdate] = (
            collections.deque(maxlen=max_entries)
        )
        self._weights_changes: collections.deque[
            messages.WeightsChangeUpdate
        ] = collections.deque(maxlen=max_entries)
        self._weights: collections.deque[messages.WeightsUpdate] = (
            collections.deque(maxlen=max_entries)
        )
        self._claims: collections.deque[messages.LeaseClaimUpdate] = (
            collections.deque(maxlen=max_entries)
        )
        self._prefills_done: collections.deque[messages.PrefillDoneUpdate] = (
            collections.deque(maxlen=max_entries)
        )
        # Latest prompt parts with the times at which they were added, oldest
        # first, for snapshots.
        self._recent_prefixes: collections.deque[
            tuple[float, messages.PrefixUpdate]
        ]
        self._recent_prefixes = collections.deque(maxlen=_MAX_SNAPSHOT_PREFIXES)
        self._urgent = asyncio.Event()

    @property
    def urgent(self) -> asyncio.Event:
        """Set when the next notice should be sent without delay."""
        return self._urgent

    def send_soon(self) -> None:
        """Requests that the next notice is sent without delay."""
        self._urgent.set()

    def add_prefix(
        self,
        server_id: str,
        salt: str,
        part: exchange.PromptPart,
        *,
        prefilling: bool,
        now_s: float,
    ) -> None:
        """Announces a prompt part that an engine prefills or has cached."""
        if part.tokens >= _MIN_PART_TOKENS:
            notice = messages.PrefixUpdate(
                server_id, salt, part.part_id, part.tokens, prefilling
            )
            self._prefixes.append(notice)
            self._recent_prefixes.append((now_s, notice))

    def recent_prefixes(
        self, since_s: float
    ) -> tuple[messages.PrefixUpdate, ...]:
        """Returns the prompt parts added since a monotonic time."""
        return tuple(
            notice
            for added_s, notice in self._recent_prefixes
            if added_s >= since_s
        )

    def add_prefill_done(self, salt: str, part: exchange.PromptPart) -> None:
        """Announces, without delay, that a part's prefill has ended."""
        if part.tokens >= _MIN_PART_TOKENS:
            self._prefills_done.append(
                messages.PrefillDoneUpdate(salt, part.part_id)
            )
            self._urgent.set()

    def add_weights_change(self, server_id: str, duration_s: float) -> None:
        """Announces, without delay, that an engine changes its weights."""
        self._weights_changes.append(
            messages.WeightsChangeUpdate(server_id, duration_s)
        )
        self._urgent.set()

    def add_weights(
        self,
        model: str,
        version: int,
        server_id: str,
        age_s: float | None = None,
    ) -> None:
        """Announces a weights version that a server has loaded.

        An empty server id announces a target version of an age in seconds;
        None if it is unknown.
        """
        self._weights.append(
            messages.WeightsUpdate(model, version, server_id, age_s)
        )

    def add_claim(self, fence: int) -> None:
        """Announces, without delay, that this process claimed the lease."""
        self._claims.append(messages.LeaseClaimUpdate(fence))
        self._urgent.set()

    def drain(
        self,
        loads: tuple[messages.LoadUpdate, ...],
        crashes: tuple[messages.CrashUpdate, ...] = (),
        clearances: tuple[messages.ClearanceUpdate, ...] = (),
        leaving: tuple[messages.LeavingUpdate, ...] = (),
        memory: tuple[messages.MemoryUpdate, ...] = (),
    ) -> messages.GatewayNotice | None:
        """Removes the collected updates and returns them with those given.

        Returns None if there is nothing to send.
        """
        self._urgent.clear()
        notice = messages.GatewayNotice(
            loads,
            tuple(self._prefixes),
            tuple(self._weights_changes),
            tuple(self._weights),
            tuple(self._claims),
            tuple(self._prefills_done),
            crashes=crashes,
            clearances=clearances,
            leaving=leaving,
            memory=memory,
        )
        for collected in (
            self._prefixes,
            self._weights_changes,
            self._weights,
            self._claims,
            self._prefills_done,
        ):
            collected.clear()
        return notice if notice != messages.GatewayNotice() else None


def announced_tokens(parts: Iterable[exchange.PromptPart]) -> int:
    """Returns the tokens of those parts that are announced to peers."""
    return sum(each.tokens for each in parts if each.tokens >= _MIN_PART_TOKENS)


class NoticeHandler:
    """Builds this process's notices and applies those of its peers.

    Args:
        state: State of this gateway process.
    """

    def __init__(self, state: state_lib.GatewayState) -> None:
        self._state = state
        # Running requests, waiting tokens and send time, by server id.
        self._sent_loads: dict[str, tuple[int, int, float]] = {}
        self._last_claim: tuple[str, int, float] | None = None
        self._highest_fence = 0

    @property
    def last_claim(self) -> tuple[str, int, float] | None:
        """Holder, fencing token and arrival time of a peer's last claim."""
        return self._last_claim

    @property
    def highest_fence(self) -> int:
        """Highest fencing token that peers have announced, 0 for none."""
        return self._highest_fence

    def next_notice(self) -> messages.GatewayNotice | None:
        """Returns the next notice for all peers, or None if it is empty."""
        news = self._state.crashing_parts.charges.news
        crashes, clearances = news.drain()
        notice = self._state.notices.drain(
            self._changed_loads(),
            noticeupdates.crash_updates(crashes),
            noticeupdates.clearance_updates(clearances),
            noticeupdates.leaving_updates(
                self._state.server_statements.drain()
            ),
            noticeupdates.memory_updates(self._state.server_memory.drain()),
        )
        if news:
            self._state.notices.send_soon()
        return notice

    def snapshot(self) -> messages.GatewayNotice:
        """Returns the state that a peer needs when it connects.

        The snapshot covers only this process's own requests; a new peer
        combines the snapshots of all processes.
        """
        now_s = self._state.clock.monotonic()
        crashes, clearances = crashsnapshot.take(
            self._state.crashing_parts.charges, now_s
        )
        told = self._state.allowances.ledger.tell_count()
        return messages.GatewayNotice(
            loads=tuple(
                messages.LoadUpdate(
                    server_id, each.running, each.waiting_tokens
                )
                for server_id, each in self._state.loads.items()
                if each.running
            ),
            prefixes=tuple(
                dataclasses.replace(
                    prefix,
                    reading=self._state.pending_prefills.is_pending(
                        prefix.salt, prefix.part
                    ),
                )
                for prefix in self._state.notices.recent_prefixes(
                    now_s - _SNAPSHOT_WINDOW_S
                )
            ),
            changes=tuple(
                messages.WeightsChangeUpdate(server_id, duration_s)
                for server_id, duration_s in self._state.weights.changing()
            )[-messages.MAX_NOTICE_ENTRIES :],
            weights=tuple(
                messages.WeightsUpdate(model, version, age_s=age_s)
                for model, version, age_s in self._state.weights.known_ages()
            )[-messages.MAX_NOTICE_ENTRIES :],
            rates=tuple(
                messages.RatesUpdate(service, each.sizes, each.observations)
                for service, each in self._state.all_engine_rates.items()
                if each.observations
            ),
            crashes=noticeupdates.crash_updates(crashes),
            clearances=noticeupdates.clearance_updates(clearances),
            leaving=noticeupdates.leaving_updates(
                self._state.server_statements.snapshot()
            ),
            memory=noticeupdates.memory_updates(
                self._state.server_memory.snapshot()
            ),
            counted=(
                messages.GatewayCountUpdate(*dataclasses.astuple(told))
                if told
                else None
            ),
        )

    def apply(self, peer_id: str, notice: messages.GatewayNotice) -> None:
        """Applies a notice from another gateway."""
        now_s = self._state.clock.monotonic()
        for peer_load in notice.loads:
            self._state.loads.for_server(peer_load.server).note_peer_load(
                peer_id,
                load.PeerLoad(
                    peer_load.running,
                    peer_load.waiting,
                    now_s + _MAX_LOAD_AGE_S,
                    now_s,
                ),
                now_s,
            )
        for prefix in notice.prefixes:
            self._state.loads.for_server(prefix.server).note_cached_part(
                prefix.salt, prefix.part, prefix.tokens
            )
            self._state.recent_prefills.note(prefix.salt, prefix.part, now_s)
            if prefix.reading:
                self._state.pending_prefills.begin(
                    prefix.salt,
                    exchange.PromptPart(prefix.part, prefix.tokens),
                    prefix.server,
                )
            server = self._state.fleet.get(prefix.server)
            if server is not None:
                self._state.even_load.traffic(server.service).note_announced(
                    prefix.tokens, now_s
                )
        for done in notice.reads:
            self._state.pending_prefills.finish(done.salt, done.part)
        for rates in notice.rates:
            self._state.engine_rates(rates.service).adopt(
                rates.sizes, rates.observations
            )
        if notice.counted is not None:
            self._state.allowances.ledger.note_told_count(
                allowances.ToldCount(*dataclasses.astuple(notice.counted))
            )
        self._apply_crashes(notice)
        for memory in notice.memory:
            self._state.server_memory.note_peer(
                peer_id,
                memory.server,
                servermemory.Footprint(memory.tokens, memory.body_bytes),
            )
        for leaving in notice.leaving:
            self._state.server_statements.note_leaving(
                serverstatements.LeavingServer(
                    leaving.server, leaving.started_ms, leaving.age_s, peer_id
                )
            )
        for change in notice.changes:
            self._state.weights.note_changing(change.server, change.for_s)
        for weights in notice.weights:
            self._apply_weights(peer_id, weights)
        for claim in notice.claims:
            self._last_claim = (peer_id, claim.fence, now_s)
            self._highest_fence = max(self._highest_fence, claim.fence)

    def _apply_crashes(self, notice: messages.GatewayNotice) -> None:
        charges = self._state.crashing_parts.charges
        noticeupdates.merge_crashes(notice, charges)
        if notice.crashes and charges.news:
            self._state.notices.send_soon()

    def _apply_weights(
        self, peer_id: str, weights: messages.WeightsUpdate
    ) -> None:
        table = self._state.weights
        if not weights.server:
            table.set_target(
                weights.model,
                weights.version,
                peer_id,
                weights.age_s,
                self._state.pauses.delay_s,
            )
            return
        current = table.version_at(weights.server, weights.model)
        if current is not None and weights.version > current:
            self._state.note_weights(
                weights.server, weights.model, weights.version, from_peer=True
            )

    def _changed_loads(self) -> tuple[messages.LoadUpdate, ...]:
        """Returns the loads to send; records them as sent."""
        now_s = self._state.clock.monotonic()
        changed = []
        for server_id, each in self._state.loads.items():
            running, waiting = each.running, each.waiting_tokens
            last_sent = self._sent_loads.get(server_id, (0, 0, 0.0))
            repeat_due = now_s - last_sent[2] > _MAX_LOAD_AGE_S / 2 and (
                running or waiting
            )
            if (
                abs(running - last_sent[0]) < _MIN_RUNNING_CHANGE
                and abs(waiting - last_sent[1]) < _MIN_WAITING_CHANGE_TOKENS
                and not repeat_due
            ):
                continue
            self._sent_loads[server_id] = (running, waiting, now_s)
            changed.append(messages.LoadUpdate(server_id, running, waiting))
        self._sent_loads = {
            server_id: self._sent_loads[server_id]
            for server_id, _ in self._state.loads.items()
            if server_id in self._sent_loads
        }
        return tuple(changed)
