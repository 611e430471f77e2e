"""Tests of the lease that lets one process at a time order weights."""

from __future__ import annotations

import datetime
import json

import pytest

from hibiscusstile import platform
from hibiscusstile.gateway import notices, rolloutlease
from hibiscusstile.peers import messages
from hibiscusstile.platform import platformstore, topics
from hibiscusstile_standins import store as store_lib
from tests import builders as base
from tests.builders import gateway as builders
from tests.builders import rollout as rollouts

_TOPIC = "hibiscusstile.weights"
_PAUSE = datetime.timedelta(seconds=3)
# A claim's duration, the longest delivery of an order and the pause.
_HELD_S = 6.0


class _Processes:
    """Processes that share a log, each with its lease and notice handler."""

    def __init__(self, log: rollouts.MemoryLog) -> None:
        self.clock = base.ManualClock()
        self.log = log
        self.handlers: dict[str, notices.NoticeHandler] = {}

    def start(
        self, name: str, address: str = "192.0.2.1"
    ) -> rolloutlease.RolloutLease:
        state = builders.gateway_state(self.clock)
        self.handlers[name] = notices.NoticeHandler(state)
        holder = rolloutlease.Holder(name, address)
        return rolloutlease.RolloutLease(
            state, self.log, self.handlers[name], holder, _PAUSE
        )

    async def claim(
        self, lease: rolloutlease.RolloutLease
    ) -> tuple[int, float]:
        """Claims until it succeeds; returns the token and the time it took."""
        started_s = self.clock.monotonic()
        while not await lease.claim():
            self.clock.advance(0.1)
            assert self.clock.monotonic() < started_s + 20
        assert lease.held_claim
        return lease.held_claim.fence, self.clock.monotonic() - started_s

    async def read(self) -> None:
        """Lets the processes see the era, as reads of other topics do."""
        await self.log.read_newest("keyed.op")


@pytest.mark.parametrize(
    "payload",
    [
        b"[" * 100_000,
        b'{"holder": ' + b"[" * 900 + b"]" * 900 + b"}",
        b'{"holder": "\\ud800"}',
        json.dumps({"holder": "x" * 200_000}).encode(),
        b'{"holder": {"holder": "a"}}',
        b'{"holder": "a", "era": 1e999}',
        b'{"holder": "a", "era": "1"}',
        b'{"holder": "b", "era": ' + b"9" * 5000 + b"}",
        b'["a"]',
        b"\xff",
        b"",
    ],
)
@pytest.mark.parametrize("era", [None, 1])
async def test_an_odd_claim_record_counts_as_a_claim_of_another_holder(
    payload: bytes, era: int | None
) -> None:
    """Guards against a record of another writer that ends the rollout task."""
    processes = _Processes(rollouts.MemoryLog(era))
    processes.log.payloads[_TOPIC] = [payload]
    _, waited_s = await processes.claim(processes.start("a"))
    assert waited_s == pytest.approx(_HELD_S, abs=0.15)


@pytest.mark.parametrize("kept", [0, 1, 2])
async def test_tokens_grow_over_restores(kept: int) -> None:
    """Guards against tokens that go back with the offsets."""
    processes = _Processes(rollouts.MemoryLog(1))
    leases = [processes.start(name) for name in ("a", "b")]
    tokens = []
    for _ in range(3):
        for lease in leases:
            for _ in range(3):
                tokens.append((await processes.claim(lease))[0])
        processes.log.restore(_TOPIC, kept)
    assert tokens == sorted(set(tokens))
    assert tokens[-1] < 2**53


@pytest.mark.parametrize("restarted", [False, True])
async def test_a_claim_that_a_restore_has_lost_is_waited_for(
    restarted: bool,
) -> None:
    """Guards against a holder beside one whose claim the log has lost."""
    processes = _Processes(rollouts.MemoryLog(1))
    other = processes.start("b")
    holder = processes.start("a")
    await processes.claim(other)
    processes.clock.advance(20)
    await processes.claim(holder)
    processes.log.restore(_TOPIC, 1)
    if restarted:
        other = processes.start("b")
    _, waited_s = await processes.claim(other)
    assert waited_s == pytest.approx(_HELD_S, abs=0.15)


async def test_the_holder_stops_at_a_restore_and_claims_again_at_once() -> None:
    """Guards against orders by a claim of an earlier era, and long pauses."""
    processes = _Processes(rollouts.MemoryLog(4))
    lease = processes.start("a")
    for _ in range(5):
        before, _ = await processes.claim(lease)
    processes.log.trimmed_before = 3
    processes.log.restore(_TOPIC, 4)
    assert lease.held_claim
    await processes.read()
    assert not lease.held_claim
    assert lease.status() == {
        "era": 4,
        "holder": "a",
        "held": False,
        "highest_token": before,
    }
    after, waited_s = await processes.claim(lease)
    assert after > before
    assert waited_s < 0.6


async def test_an_old_holder_does_not_claim_at_once_after_a_restore() -> None:
    """Guards against a holder that was cut off while another one claimed."""
    processes = _Processes(rollouts.MemoryLog(1))
    lease = processes.start("a")
    await processes.claim(lease)
    processes.clock.advance(_HELD_S + 1)
    await processes.claim(processes.start("b"))
    processes.log.restore(_TOPIC, 1)
    _, waited_s = await processes.claim(lease)
    assert waited_s == pytest.approx(_HELD_S, abs=0.15)


async def test_a_claim_without_a_response_is_not_held() -> None:
    """Guards against a lease counted from when its claim was read back."""
    processes = _Processes(rollouts.MemoryLog(1))
    lease = processes.start("a")
    await processes.claim(lease)
    processes.clock.advance(2.6)
    for _ in range(2):
        processes.log.lose_next = True
        assert not await lease.claim()
        assert not lease.held_claim
        processes.clock.advance(0.6)


async def test_a_claim_in_forgotten_history_is_waited_for() -> None:
    """Guards against two holders when the log deletes a recent claim."""
    processes = _Processes(rollouts.MemoryLog(1))
    other = processes.start("b")
    await processes.read()
    await other.refresh()
    await processes.claim(processes.start("a"))
    processes.log.trimmed_before = 1
    _, waited_s = await processes.claim(other)
    assert waited_s == pytest.approx(_HELD_S, abs=0.15)


class _RefusingLog(rollouts.MemoryLog):
    """Log that refuses or loses the next appends."""

    failures: list[platform.AppendRefused | platform.AppendUnknown] = []

    async def append(
        self, topic: str, payload: bytes, expected_end: int | None = None
    ) -> (
        platform.Appended
        | topics.AppendConflict
        | platform.AppendRefused
        | platform.AppendUnknown
    ):
        if self.failures:
            return self.failures.pop()
        return await super().append(topic, payload, expected_end)


@pytest.mark.parametrize(
    "failure", [platform.AppendRefused("x"), platform.AppendUnknown("x")]
)
async def test_an_old_claim_is_not_waited_for_again(
    failure: platform.AppendRefused | platform.AppendUnknown,
) -> None:
    """Guards against a rollout that each failed append delays by 6 s."""
    log = _RefusingLog(1)
    processes = _Processes(log)
    await processes.claim(processes.start("b"))
    later = processes.start("a")
    await later.refresh()
    processes.clock.advance(60.0)
    log.failures = [failure] * 3
    _, waited_s = await processes.claim(later)
    assert waited_s < 3.0


class _RestoringLog(rollouts.MemoryLog):
    """Log that is restored just before it appends the next claim."""

    restores_next = False

    async def append(
        self, topic: str, payload: bytes, expected_end: int | None = None
    ) -> (
        platform.Appended
        | topics.AppendConflict
        | platform.AppendRefused
        | platform.AppendUnknown
    ):
        if self.restores_next:
            self.restores_next = False
            self.restore(topic, expected_end or 0)
        return await super().append(topic, payload, expected_end)


async def test_a_claim_appended_after_a_restore_does_not_count() -> None:
    """Guards against a claim at an offset that is given out again."""
    log = _RestoringLog(1)
    processes = _Processes(log)
    lease = processes.start("a")
    await processes.claim(lease)
    log.restores_next = True
    assert not await lease.claim()
    assert not lease.held_claim
    await processes.claim(lease)
    # A process that starts sees that the last claim is one of this era.
    later = processes.start("b")
    _, waited_s = await processes.claim(later)
    assert waited_s == pytest.approx(_HELD_S, abs=0.15)


async def test_a_started_process_waits_only_without_a_claim_of_the_era() -> (
    None
):
    """Guards against rollouts that wait after each start of all processes."""
    processes = _Processes(rollouts.MemoryLog(1))
    first = processes.start("a")
    await processes.claim(first)
    _, waited_s = await processes.claim(processes.start("a"))
    assert not waited_s


@pytest.mark.parametrize("restored", [False, True])
async def test_processes_that_start_together_need_not_wait(
    restored: bool,
) -> None:
    """Guards against refused streams after a restart of all processes.

    None of the processes before them had claimed the lease in this era.
    """
    processes = _Processes(rollouts.MemoryLog(1))
    before = [processes.start(name) for name in "abc"]
    if restored:
        await processes.claim(before[0])
        processes.log.restore(_TOPIC, 0)
    await processes.read()
    for _ in range(200):
        processes.clock.advance(0.1)
        for lease in before:
            await lease.refresh()
            await lease.open_era()
    assert len(processes.log.payloads[_TOPIC]) == 1
    await processes.read()
    after = [processes.start(name) for name in "abc"]
    for lease in after:
        await lease.refresh()
    assert after[1].may_claim(0.5)
    _, waited_s = await processes.claim(after[1])
    assert not waited_s
    # The others wait for that claim.
    assert not await after[0].claim()
    assert not after[0].may_claim(_HELD_S - 0.1)


async def test_an_opening_counts_in_its_era_only() -> None:
    """Guards against two holders after a restore that lost a claim."""
    processes = _Processes(rollouts.MemoryLog(1))
    opener, holder = processes.start("a"), processes.start("b")
    await processes.read()
    for _ in range(200):
        processes.clock.advance(0.1)
        await opener.refresh()
        await opener.open_era()
    await processes.claim(holder)
    processes.log.restore(_TOPIC, 1)
    await processes.read()
    _, waited_s = await processes.claim(processes.start("c"))
    assert waited_s == pytest.approx(_HELD_S, abs=0.15)


async def test_a_replaced_instance_is_another_holder() -> None:
    """Guards against orders of two machines with one name in turn."""
    processes = _Processes(rollouts.MemoryLog(1))
    await processes.claim(processes.start("a"))
    _, waited_s = await processes.claim(processes.start("a", "192.0.2.2"))
    assert waited_s == pytest.approx(_HELD_S, abs=0.15)


async def test_a_log_without_eras_gives_tokens_from_offsets() -> None:
    """Guards against a change of behaviour with older logs."""
    processes = _Processes(rollouts.MemoryLog())
    lease = processes.start("a")
    assert await processes.claim(lease) == (1, 0.0)
    assert await processes.claim(lease) == (2, 0.0)
    assert json.loads(processes.log.payloads[_TOPIC][0])["holder"] == "a"


@pytest.mark.parametrize("era", [2**21, 10**17])
async def test_a_token_out_of_range_is_not_used(era: int) -> None:
    """Guards against tokens that engines cannot represent."""
    processes = _Processes(rollouts.MemoryLog(era))
    lease = processes.start("a")
    for _ in range(100):
        assert not await lease.claim()
        processes.clock.advance(0.1)


async def test_a_wrong_era_delays_claims_only_for_a_while() -> None:
    """Guards against a lease that one wrong response ends for good."""
    processes = _Processes(rollouts.MemoryLog(1))
    lease = processes.start("a")
    before, _ = await processes.claim(lease)
    processes.log.store_era = 77
    await processes.read()
    lease.observe_era()
    processes.log.store_era = 1
    await processes.read()
    after, waited_s = await processes.claim(lease)
    assert after == before + 1
    assert waited_s < _HELD_S


async def test_a_token_is_above_those_that_peers_announced() -> None:
    """Guards against a lower token where the log does not tell its era."""
    processes = _Processes(rollouts.MemoryLog())
    lease = processes.start("a")
    processes.handlers["a"].apply(
        "b",
        messages.GatewayNotice(
            claims=(messages.LeaseClaimUpdate(3), messages.LeaseClaimUpdate(1))
        ),
    )
    assert (await processes.claim(lease))[0] == 4


async def test_a_claim_in_the_platforms_store_counts_in_its_era() -> None:
    """Guards against a lease that does not see the store's eras."""
    store = store_lib.PlatformStoreService()
    await store.start()
    client = platformstore.PlatformStore(f"127.0.0.1:{store.port}")
    clock = base.ManualClock()
    state = builders.gateway_state(clock)
    holder = rolloutlease.Holder("a", "192.0.2.1")
    lease = rolloutlease.RolloutLease(
        state, client, notices.NoticeHandler(state), holder, _PAUSE
    )
    try:
        tokens = []
        for _ in range(2):
            store.take_copy()
            assert not await lease.claim()
            clock.advance(_HELD_S)
            assert await lease.claim()
            assert lease.held_claim
            tokens.append(lease.held_claim.fence)
            store.restore()
            await client.read_newest("keyed.op")
            assert not lease.held_claim
            clock.advance(_HELD_S)
        assert tokens == [(1 << 32) + 1, (2 << 32) + 1]
    finally:
        await client.close()
        await store.close()
