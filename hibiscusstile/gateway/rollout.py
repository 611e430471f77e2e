"""Brings engines to the newest weights, a few at a time.

One process gives all orders for a while: it claims the duty with a record
that the log takes only where the duty's topic ends. The record's offset is
the fencing token. A claim holds for a fixed time from the moment before it
was sent, and the next one may come only after the claim and a pause have
passed since it was read, so that two holders never order within the lease.
"""

from __future__ import annotations

import abc
import asyncio
import dataclasses
import datetime
import enum
import hashlib
import json
from collections.abc import Mapping

import logbook

from hibiscusstile import logs, platform
from hibiscusstile.gateway import fleet, notices, state
from hibiscusstile.platform import topics

__all__ = [
    "EngineOrders",
    "EngineReport",
    "OrderAnswer",
    "OrderResult",
    "Rollout",
    "WeightsOrder",
]

_log = logbook.Logger("rollout")

_TOPIC = "hibiscusstile.weights"
# A rollout of today's fleets takes two to three seconds.
_CLAIM = datetime.timedelta(seconds=2.5)
# Engines of a model that change weights at the same time. Loading slows down
# beyond a third of the fleet on all of today's deployments.
_WAVE_SHARE = 1 / 3
# How long an engine is expected to be away for one change, at most: requests
# end first, and loading takes 0.6 s.
_CHANGE_S = 1.5
_POLL = datetime.timedelta(milliseconds=50)
_TICK = datetime.timedelta(milliseconds=100)
_REPORT_PAUSE = datetime.timedelta(milliseconds=150)
# Loading takes 0.57 s; the next engine's order goes out then, while reports,
# which are up to 200 ms old, still show the load.
_LOAD = datetime.timedelta(milliseconds=600)
# The holder of the last claim goes on at once; others wait until no engine
# has changed for this long.
_SUCCESSION_S = 2.0
# A claim is renewed when less than this is left and engines are behind.
_RENEWAL_S = 1.2
# Processes that could claim at the same moment spread over this time.
_SPREAD_S = 0.4
_RETRY_S = 0.5
_MAX_REFUSAL_PAUSE = datetime.timedelta(seconds=1.2)
_UNKNOWN_PAUSE = datetime.timedelta(milliseconds=20)
# A lost answer to an order is followed up by reports for this long.
_ORDER_S = 6.0


class OrderResult(enum.Enum):
    """What became of an order."""

    ACCEPTED = "accepted"
    HOLDS = "holds"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    REPLACED = "replaced"


@dataclasses.dataclass(frozen=True, slots=True)
class OrderAnswer:
    """Answer to an order.

    Attributes:
        result: What became of the order.
        detail: Why, for logs.
    """

    result: OrderResult
    detail: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class EngineReport:
    """What an engine says of itself.

    Attributes:
        versions: Versions of weights by model.
        busy: Whether it carries out an order.
        orders_taken: Orders accepted in its lifetime.
        running: Requests that run.
        waiting: Requests that wait.
    """

    versions: Mapping[str, int]
    busy: bool
    orders_taken: int
    running: int
    waiting: int


@dataclasses.dataclass(frozen=True, slots=True)
class WeightsOrder:
    """An order to load a version of a model's weights.

    Attributes:
        model: The model.
        version: The version.
        mode: What becomes of requests that run.
        holder: Name of the process that orders.
        fence: Fencing token of its claim.
        orders_taken: Orders that the engine must have accepted before.
    """

    model: str
    version: int
    mode: str
    holder: str
    fence: int
    orders_taken: int


class EngineOrders(abc.ABC):
    """Gives orders to engines."""

    @abc.abstractmethod
    async def report(self, server: fleet.BackendServer) -> EngineReport | None:
        """Returns an engine's report, None if it gave none."""

    @abc.abstractmethod
    async def change_weights(
        self, server: fleet.BackendServer, order: WeightsOrder
    ) -> OrderAnswer:
        """Orders an engine to load a version, once."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Claim:
    holder: str
    fence: int
    until_s: float


class Rollout:
    """Watches for engines with older weights and has them changed.

    Args:
        known: What this process knows.
        log: Holds the claims.
        orders: Speaks to engines.
        reader: Knows the claims that other processes told of.
        name: Name of this process, unique among all.
        pause: Least time between the orders of two holders.
        mode: What becomes of requests that run during a change.
    """

    def __init__(
        self,
        known: state.GatewayState,
        log: topics.KeyedLog,
        orders: EngineOrders,
        reader: notices.NoticeReader,
        name: str,
        pause: datetime.timedelta,
        mode: str = "continue",
    ) -> None:
        self._known = known
        self._clock = known.clock
        self._log = log
        self._orders = orders
        self._reader = reader
        self._name = name
        self._pause_s = pause.total_seconds()
        self._mode = mode
        self._last_claim: _Claim | None = None
        self._end: int | None = None
        self._not_before_s = 0.0
        self._loading_until_s: dict[str, float] = {}
        self._refusals: dict[str, int] = {}
        self._behind_ids: frozenset[str] = frozenset()
        self._behind_since_s = 0.0

    async def run(self) -> None:
        """Watches until cancelled."""
        while True:
            await self._clock.sleep(_TICK)
            if (
                self._note_progress()
                and self._may_claim()
                and await self._claim()
            ):
                await self._hold()

    def _behind(self) -> list[tuple[str, fleet.BackendServer]]:
        """Returns the engines that lack a named version."""
        table = self._known.table
        if table is None:
            return []
        found = []
        for service in table.services.values():
            if service.engine is None:
                continue
            for model in service.engine.models:
                named = self._known.weights.named(model)
                if named is None:
                    continue
                for server in self._known.fleet.usable(service.name):
                    version = self._known.weights.version_at(
                        server.server_id, model
                    )
                    if (version is None or version < named.version) and (
                        self._known.health.is_up(server.server_id)
                    ):
                        found.append((model, server))
        return found

    def _note_progress(self) -> bool:
        """Returns whether engines are behind, and notes when one changed."""
        behind = frozenset(server.server_id for _, server in self._behind())
        if behind != self._behind_ids:
            self._behind_ids = behind
            self._behind_since_s = self._clock.monotonic()
        return bool(behind)

    def _may_claim(self) -> bool:
        """Returns whether it is this process's turn to claim the duty."""
        now_s = self._clock.monotonic()
        if now_s < self._not_before_s:
            return False
        last = self._last_claim
        if last is not None and last.holder == self._name:
            return True
        waited_s = now_s - self._behind_since_s
        if last is None and self._end is None:
            return waited_s >= _SPREAD_S * self._position()
        return waited_s >= _SUCCESSION_S + _SPREAD_S * self._position()

    def _position(self) -> float:
        """Returns this process's place in the order of claims, 0 to 1."""
        digest = hashlib.blake2b(self._name.encode(), digest_size=2).digest()
        return int.from_bytes(digest, "big") / 65_536

    async def _claim(self) -> bool:
        """Appends a claim where the topic ends; returns whether it holds."""
        if self._end is None and not await self._read_claims():
            self._not_before_s = self._clock.monotonic() + _RETRY_S
            return False
        if self._clock.monotonic() < self._not_before_s:
            return False
        sent_s = self._clock.monotonic()
        payload = json.dumps({"holder": self._name}).encode()
        result = await self._log.append(_TOPIC, payload, self._end)
        if isinstance(result, platform.Appended):
            self._end = result.offset + 1
            self._last_claim = _Claim(
                self._name,
                result.offset + 1,
                sent_s + _CLAIM.total_seconds(),
            )
            self._known.notices.note_claim(result.offset + 1)
            logs.event(_log, "duty_won", fence=result.offset + 1)
            return True
        if isinstance(result, topics.Conflict):
            logs.event(_log, "duty_lost", end=result.end)
            await self._read_claims()
            return False
        # An append without an answer may still be done seconds later, but
        # only while the topic ends where it did; the claims are read anew.
        logs.event(_log, "duty_unknown", error=result.message)
        self._end = None
        self._not_before_s = self._clock.monotonic() + _RETRY_S
        return False

    async def _read_claims(self) -> bool:
        """Learns the last claim and when the next one may come."""
        offset = self._end or 0
        last: bytes | None = None
        while True:
            records = await self._log.read(
                _TOPIC, offset, datetime.timedelta(0)
            )
            if isinstance(records, platform.LogUnavailable):
                self._end = None
                return False
            if isinstance(records, topics.Trimmed):
                offset = records.first
                continue
            if records.payloads:
                last = records.payloads[-1]
            offset = records.next_offset
            if offset >= records.end or not records.payloads:
                break
        self._end = records.end
        if last is not None:
            self._note_claim(last, records.end)
        return True

    def _note_claim(self, payload: bytes, fence: int) -> None:
        try:
            holder = str(json.loads(payload)["holder"])
        except (ValueError, KeyError, TypeError):
            holder = ""
        # The claim was sent before it was read, or told by its holder.
        sent_s = self._clock.monotonic()
        told = self._reader.claim
        if told is not None and told[:2] == (holder, fence):
            sent_s = told[2]
        until_s = sent_s + _CLAIM.total_seconds()
        self._last_claim = _Claim(holder, fence, until_s)
        if holder != self._name:
            self._not_before_s = until_s + self._pause_s
            logs.event(_log, "duty_held", holder=holder, fence=fence)

    async def _hold(self) -> None:
        """Changes engines in waves until all are done or the claim ends."""
        async with asyncio.TaskGroup() as changes:
            under_way: dict[str, asyncio.Task[None]] = {}
            while (left_s := self._claimed_s()) > 0:
                behind = self._behind()
                for server_id in list(under_way):
                    if under_way[server_id].done():
                        del under_way[server_id]
                if not behind and not under_way:
                    return
                if behind and left_s < _RENEWAL_S and not await self._claim():
                    return
                for model, server in self._next(behind, set(under_way)):
                    under_way[server.server_id] = changes.create_task(
                        self._change(model, server)
                    )
                await self._clock.sleep(_POLL)

    def _claimed_s(self) -> float:
        """Returns for how long this process still holds the duty."""
        claim = self._last_claim
        if claim is None or claim.holder != self._name:
            return 0.0
        return claim.until_s - self._clock.monotonic()

    def _next(
        self,
        behind: list[tuple[str, fleet.BackendServer]],
        under_way: set[str],
    ) -> list[tuple[str, fleet.BackendServer]]:
        """Returns the engines to change now, the least busy ones first."""
        waiting = [
            (model, server)
            for model, server in behind
            if server.server_id not in under_way
        ]
        if not waiting:
            return []
        fleet_size = len(self._known.fleet.usable(waiting[0][1].service))
        room = max(1, int(fleet_size * _WAVE_SHARE)) - self._loading(under_way)
        waiting.sort(
            key=lambda each: (
                self._known.loads.of(each[1].server_id).running,
                each[1].server_id,
            )
        )
        return waiting[: max(0, room)]

    def _loading(self, under_way: set[str]) -> int:
        """Returns how many engines under way have not loaded yet."""
        now_s = self._clock.monotonic()
        return sum(
            now_s < self._loading_until_s.get(server_id, now_s + 1)
            for server_id in under_way
        )

    async def _change(self, model: str, server: fleet.BackendServer) -> None:
        """Has one engine load the newest version, and waits for it."""
        named = self._known.weights.named(model)
        report = await self._orders.report(server)
        if named is None or report is None:
            await self._clock.sleep(_REPORT_PAUSE)
            return
        self._note_report(server, report)
        if report.versions.get(model, named.version) >= named.version:
            return
        claim = self._last_claim
        if report.busy or claim is None or self._claimed_s() <= 0:
            await self._clock.sleep(_REPORT_PAUSE)
            return
        self._known.weights.note_changing(server.server_id, _CHANGE_S)
        self._known.notices.note_change(server.server_id, _CHANGE_S)
        self._loading_until_s.pop(server.server_id, None)
        answer = await self._orders.change_weights(
            server,
            WeightsOrder(
                model,
                named.version,
                self._mode,
                self._name,
                claim.fence,
                report.orders_taken,
            ),
        )
        logs.event(
            _log,
            "weights_ordered",
            server=server.server_id,
            model=model,
            version=named.version,
            result=answer.result.value,
            detail=answer.detail,
            running=report.running,
            fence=claim.fence,
        )
        if answer.result is OrderResult.REPLACED:
            self._known.health.note_replaced(server.server_id)
            return
        if answer.result in (OrderResult.REFUSED, OrderResult.UNKNOWN):
            # An order without an answer may be carried out later; the next
            # one is valid only as long as the engine has not taken it.
            self._known.weights.note_changing(server.server_id, 0.0)
            self._known.notices.note_change(server.server_id, 0.0)
            await self._clock.sleep(self._refusal_pause(server, answer))
            return
        self._refusals.pop(server.server_id, None)
        self._loading_until_s[server.server_id] = (
            self._clock.monotonic() + _LOAD.total_seconds()
        )
        await self._wait_changed(model, named.version, server)

    def _refusal_pause(
        self, server: fleet.BackendServer, answer: OrderAnswer
    ) -> datetime.timedelta:
        """Returns the time before the next order to an engine."""
        if answer.result is OrderResult.UNKNOWN:
            return _UNKNOWN_PAUSE
        refusals = self._refusals.get(server.server_id, 0)
        self._refusals[server.server_id] = refusals + 1
        pause: datetime.timedelta = _REPORT_PAUSE * 2**refusals
        return min(_MAX_REFUSAL_PAUSE, pause)

    async def _wait_changed(
        self, model: str, version: int, server: fleet.BackendServer
    ) -> None:
        end_s = self._clock.monotonic() + _ORDER_S
        await self._clock.sleep(_LOAD)
        while self._clock.monotonic() < end_s:
            seen = self._known.weights.version_at(server.server_id, model)
            if seen is not None and seen >= version:
                return
            if self._known.fleet.get(server.server_id) is None:
                return
            report = await self._orders.report(server)
            if report is not None:
                self._note_report(server, report)
                if not report.busy and report.versions.get(model) != version:
                    return
            await self._clock.sleep(_REPORT_PAUSE)

    def _note_report(
        self, server: fleet.BackendServer, report: EngineReport
    ) -> None:
        for model, version in report.versions.items():
            known = self._known.weights.version_at(server.server_id, model)
            if known is None or version > known or not report.busy:
                self._known.note_weights(server.server_id, model, version)
