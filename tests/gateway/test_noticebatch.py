"""Tests of the batches of notices for other zones."""

from __future__ import annotations

from hibiscusstile.gateway import noticebatch
from hibiscusstile.peers import messages


def _load(server: str, running: int) -> messages.GatewayNotice:
    return messages.GatewayNotice((messages.LoadUpdate(server, running, 0),))


def test_notices_to_few_gateways_are_not_delayed() -> None:
    """Guards against old knowledge in a small fleet."""
    batch = noticebatch.NoticeBatch()
    for number in range(3):
        batch.add(_load("i-1", number))
        assert batch.drain(5, number / 100) == _load("i-1", number)
    assert batch.drain(5, 1.0) is None


def test_messages_do_not_grow_with_the_fleet() -> None:
    """Guards against messages in proportion to the number of gateways.

    Each of 68 gateways sent every notice to 67 others; the days of the large
    site took too much processor time to be played.
    """
    sent = 0
    batch = noticebatch.NoticeBatch()
    for step in range(500):
        batch.add(_load("i-1", step))
        if batch.drain(56, step / 50) is not None:
            sent += 56
    assert sent / 10 < 80


def test_a_batch_has_the_effect_of_its_notices_in_order() -> None:
    """Guards against a batch that overwrites newer knowledge with older."""
    prefix = messages.PrefixUpdate("i-1", "v1", "aa", 900, reading=True)
    batch = noticebatch.NoticeBatch()
    batch.add(_load("i-1", 0))
    assert batch.drain(56, 10.0) == _load("i-1", 0)
    batch.add(_load("i-1", 3))
    batch.add(_load("i-2", 1))
    batch.add(messages.GatewayNotice(prefixes=(prefix,)))
    batch.add(_load("i-1", 4))
    batch.add(
        messages.GatewayNotice(reads=(messages.PrefillDoneUpdate("v1", "aa"),))
    )
    assert batch.drain(56, 10.1) is None
    merged = batch.drain(56, 10.8)
    assert merged is not None
    assert {each.server: each.running for each in merged.loads} == {
        "i-1": 4,
        "i-2": 1,
    }
    assert [each.reading for each in merged.prefixes] == [False]
    assert batch.drain(56, 20.0) is None


def test_weights_changes_claims_and_crashes_are_not_delayed() -> None:
    """Guards against requests to engines that load weights meanwhile."""
    for urgent in (
        messages.GatewayNotice(
            changes=(messages.WeightsChangeUpdate("i-1", 0.6),)
        ),
        messages.GatewayNotice(claims=(messages.LeaseClaimUpdate(3),)),
        messages.GatewayNotice(crashes=(messages.CrashUpdate("i-1", ("a",)),)),
    ):
        batch = noticebatch.NoticeBatch()
        batch.add(_load("i-1", 0))
        assert batch.drain(56, 10.0) is not None
        batch.add(_load("i-1", 1))
        assert batch.drain(56, 10.1) is None
        batch.add(urgent)
        merged = batch.drain(56, 10.1)
        assert merged is not None
        assert merged.crashes == urgent.crashes


def test_a_batch_fits_into_a_message() -> None:
    """Guards against a batch that its receivers reject as too long."""
    batch = noticebatch.NoticeBatch()
    for number in range(messages.MAX_NOTICE_ENTRIES + 10):
        batch.add(_load(f"i-{number}", 1))
    merged = batch.drain(56, 10.0)
    assert merged is not None
    assert len(merged.loads) == messages.MAX_NOTICE_ENTRIES
    assert merged.loads[-1].server == f"i-{messages.MAX_NOTICE_ENTRIES + 9}"


def test_a_leaving_server_is_told_without_delay() -> None:
    """Guards against gateways of other zones that send to a leaving server."""
    batch = noticebatch.NoticeBatch()
    batch.add(messages.GatewayNotice(claims=(messages.LeaseClaimUpdate(1),)))
    assert batch.drain(100, 1.0) is not None
    leaving = (messages.LeavingUpdate("i-1", 7, 0.5),)
    batch.add(messages.GatewayNotice(leaving=leaving))
    assert batch.drain(100, 1.001) == messages.GatewayNotice(leaving=leaving)
