"""Tests of the store's era and of responses that a restore made obsolete."""

from __future__ import annotations

import asyncio
import datetime

import logbook
import pytest

from hibiscusstile import platform
from hibiscusstile.platform import platformstore, storeera, topics
from hibiscusstile_standins import store as store_lib
from tests import builders as base

_NO_WAIT = datetime.timedelta(0)


def _tracker(era: str) -> tuple[storeera.EraTracker, base.ManualClock]:
    clock = base.ManualClock()
    tracker = storeera.EraTracker(clock)
    assert tracker.note_response({"Store-Era": era}, None)
    return tracker, clock


@pytest.mark.parametrize(
    "text", [None, "", "-1", "+9", "9.0", "x", "\u0669", "9" * 400]
)
def test_an_unreadable_era_changes_nothing(text: str | None) -> None:
    """Guards against followers that a malformed header stops."""
    tracker, clock = _tracker("4")
    headers = {} if text is None else {"Store-Era": text}
    with logbook.TestHandler() as handler:
        for _ in range(100):
            assert tracker.note_response(headers, 4)
            clock.advance(1.0)
    assert tracker.era == 4
    assert len(handler.records) == 2


def test_a_late_response_of_an_older_era_is_rejected() -> None:
    """Guards against offsets of the time before a restore."""
    tracker, _ = _tracker("4")
    assert tracker.note_response({"Store-Era": "5"}, 4)
    assert not tracker.note_response({"Store-Era": "4"}, 4)
    assert tracker.era == 5


def test_a_store_whose_era_decreases_is_used() -> None:
    """Guards against a single wrong era that ends all reads for good."""
    tracker, _ = _tracker("4")
    assert tracker.note_response({"Store-Era": "9" * 18}, 4)
    assert tracker.note_response({"Store-Era": "4"}, int("9" * 18))
    assert tracker.era == 4


async def test_results_carry_the_era_of_their_response() -> None:
    """Guards against offsets that are taken for those of another era."""
    store = store_lib.PlatformStoreService()
    await store.start()
    log = platformstore.PlatformStore(f"127.0.0.1:{store.port}")
    try:
        assert log.era is None
        assert await log.append("t", b"a", 0) == platform.Appended(0, 1)
        store.take_copy()
        store.restore()
        store.restore()
        assert await log.append("t", b"b", 0) == topics.AppendConflict(1, 3)
        assert await log.read("t", 2, _NO_WAIT) == topics.Trimmed(0, 3)
        records = await log.read("t", 0, _NO_WAIT)
        assert records == topics.RecordBatch((b"a",), 0, 1, 3)
        assert await log.read_newest("t") == topics.NewestRecords((), 1, 3)
        await log.move("127.0.0.1:1")
        assert log.era is None
    finally:
        await log.close()
        await store.close()


async def test_a_response_that_a_restore_overtakes_is_thrown_away() -> None:
    """Guards against records that are read at offsets of the past."""
    held = asyncio.Event()

    async def answer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        era = 1 if b"from=7" in head else 2
        if era == 1:
            await held.wait()
        writer.write(
            b"HTTP/1.1 200 OK\r\nStore-Era: %d\r\nContent-Length: 16\r\n"
            b"Connection: close\r\n\r\n%s" % (era, bytes(16))
        )
        writer.close()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    log = platformstore.PlatformStore(f"127.0.0.1:{port}")
    try:
        late = asyncio.ensure_future(log.read("t", 7, _NO_WAIT))
        await asyncio.sleep(0.05)
        found = await log.read("t", 0, _NO_WAIT)
        assert found == topics.RecordBatch((), 0, 0, 2)
        held.set()
        assert isinstance(await late, platform.LogUnavailable)
        assert log.era == 2
    finally:
        await log.close()
        server.close()
