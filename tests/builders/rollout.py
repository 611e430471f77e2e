"""In-memory log and engines for tests of rollouts."""

from __future__ import annotations

import datetime
import types
from collections.abc import Generator

from hibiscusstile import platform
from hibiscusstile.gateway import engineorders, fleet
from hibiscusstile.gateway import state as state_lib
from hibiscusstile.platform import topics

__all__ = ["MemoryEngines", "MemoryLog", "SteppedLog"]


class MemoryLog(topics.KeyedLog):
    """In-memory log that can fail, lose responses and be restored.

    Args:
        era: First era that responses carry; None for a log without eras.
    """

    def __init__(self, era: int | None = None) -> None:
        self.payloads: dict[str, list[bytes]] = {}
        self.down = False
        self.lose_next = False
        self.trimmed_before = 0
        self.newest_reads = 0
        self.store_era = era
        self._seen_era: int | None = None

    @property
    def era(self) -> int | None:
        """Newest era that a response has carried."""
        return self._seen_era

    def restore(self, topic: str, kept: int) -> None:
        """Returns to a copy with the first `kept` records of a topic."""
        del self.payloads.setdefault(topic, [])[kept:]
        self.trimmed_before = min(self.trimmed_before, kept)
        if self.store_era is not None:
            self.store_era += 1

    async def read_newest(
        self, topic: str
    ) -> topics.NewestRecords | platform.LogUnavailable:
        """Returns no records, as rollouts read no keyed topics."""
        self.newest_reads += 1
        self._seen_era = self.store_era
        return topics.NewestRecords((), len(self.payloads.get(topic, [])))

    async def read(
        self, topic: str, offset: int, wait: datetime.timedelta
    ) -> topics.RecordBatch | topics.Trimmed | platform.LogUnavailable:
        """Returns the records from an offset on."""
        if self.down:
            return platform.LogUnavailable("down")
        self._seen_era = self.store_era
        if offset < self.trimmed_before:
            return topics.Trimmed(self.trimmed_before, self.store_era)
        kept = self.payloads.get(topic, [])
        if offset > len(kept):
            return topics.Trimmed(0, self.store_era)
        return topics.RecordBatch(
            tuple(kept[offset:]), offset, len(kept), self.store_era
        )

    async def append(
        self, topic: str, payload: bytes, expected_end: int | None = None
    ) -> (
        platform.Appended
        | topics.AppendConflict
        | platform.AppendRefused
        | platform.AppendUnknown
    ):
        """Appends a record if the topic ends at `expected_end`."""
        if self.down:
            return platform.AppendRefused("down")
        kept = self.payloads.setdefault(topic, [])
        if expected_end is not None and expected_end != len(kept):
            self._seen_era = self.store_era
            return topics.AppendConflict(len(kept), self.store_era)
        kept.append(payload)
        if self.lose_next:
            self.lose_next = False
            return platform.AppendUnknown("lost")
        self._seen_era = self.store_era
        return platform.Appended(len(kept) - 1, self.store_era)

    async def close(self) -> None:
        """Does nothing, as there are no resources to release."""


@types.coroutine
def _step() -> Generator[None, None, None]:
    """Suspends a coroutine that is run step by step."""
    yield


class SteppedLog(topics.KeyedLog):
    """One process's client of a shared log, whose calls are run in two steps.

    The first step carries out the call and the second one receives the
    response. The fate of the call is read at its first step.

    Args:
        store: The shared log.
    """

    def __init__(self, store: MemoryLog) -> None:
        self._store = store
        self._era: int | None = None
        self.fate = "done"
        # Appends without a response that the log may still carry out.
        self.late: list[tuple[str, bytes, int | None]] = []
        self.sending: tuple[str, bytes, int | None] | None = None

    @property
    def era(self) -> int | None:
        """Newest era that a response has carried."""
        return self._era

    def learn(self) -> None:
        """Receives a response of another call."""
        self._note_era(self._store.store_era)

    def _note_era(self, era: int | None) -> None:
        if era is not None:
            self._era = max(self._era or 0, era)

    async def read_newest(
        self, topic: str
    ) -> topics.NewestRecords | platform.LogUnavailable:
        """Returns no records, as rollouts read no keyed topics."""
        return platform.LogUnavailable("not used")

    async def read(
        self, topic: str, offset: int, wait: datetime.timedelta
    ) -> topics.RecordBatch | topics.Trimmed | platform.LogUnavailable:
        """Returns the records from an offset on, or that they are lost."""
        await _step()
        fate = self.fate
        result = await self._store.read(topic, offset, wait)
        await _step()
        if fate == "refused":
            return platform.LogUnavailable(fate)
        if not isinstance(result, platform.LogUnavailable):
            self._note_era(result.era)
        return result

    async def append(
        self, topic: str, payload: bytes, expected_end: int | None = None
    ) -> (
        platform.Appended
        | topics.AppendConflict
        | platform.AppendRefused
        | platform.AppendUnknown
    ):
        """Appends a record now, later or not at all."""
        self.sending = (topic, payload, expected_end)
        await _step()
        self.sending = None
        fate = self.fate
        if fate == "late":
            self.late.append((topic, payload, expected_end))
        if fate in ("late", "refused"):
            await _step()
            return platform.AppendUnknown(fate)
        result = await self._store.append(topic, payload, expected_end)
        await _step()
        if fate == "lost":
            return platform.AppendUnknown(fate)
        if isinstance(result, platform.Appended | topics.AppendConflict):
            self._note_era(result.era)
        return result

    async def close(self) -> None:
        """Does nothing, as there are no resources to release."""


class MemoryEngines(engineorders.EngineOrders):
    """Engines that load weights instantly and record accepted orders."""

    def __init__(
        self, state: state_lib.GatewayState, model: str = "m1"
    ) -> None:
        self._state = state
        self._model = model
        self.versions: dict[str, int] = {}
        self.orders: list[tuple[float, str, engineorders.WeightsOrder]] = []
        self.results: list[engineorders.OrderResult] = []

    async def report(
        self, server: fleet.BackendServer
    ) -> engineorders.EngineReport | None:
        """Returns an engine's version and its number of accepted orders."""
        version = self.versions.setdefault(server.server_id, 1)
        accepted = sum(each[1] == server.server_id for each in self.orders)
        return engineorders.EngineReport(
            {self._model: version}, False, accepted, 0, 0
        )

    async def change_weights(
        self, server: fleet.BackendServer, order: engineorders.WeightsOrder
    ) -> engineorders.OrderResponse:
        """Accepts an order, or returns the next scripted result."""
        result = self.results.pop(0) if self.results else None
        if (
            result is not None
            and result is not engineorders.OrderResult.ACCEPTED
        ):
            return engineorders.OrderResponse(result, "scripted result")
        now_s = self._state.clock.monotonic()
        self.orders.append((now_s, server.server_id, order))
        self.versions[server.server_id] = order.version
        return engineorders.OrderResponse(engineorders.OrderResult.ACCEPTED)
