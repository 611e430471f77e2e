"""Tests of the configuration state, its snapshots and its view."""

from __future__ import annotations

import dataclasses
import hashlib
import json

import pytest

from hibiscusstile.configuration import snapshot as snapshot_lib
from hibiscusstile.configuration import state as state_lib
from hibiscusstile.configuration import store as store_lib
from tests import builders

_RANK = builders.record("rank", "routine", level=1)
_POLICY = builders.record("routing_policy", "default", algorithm="bidding")
_WORKSPACE = builders.record(
    "workspace", "growers", **builders.workspace_body()
)
_INVALID_WORKSPACE = {**_WORKSPACE, "body": {"keys": "none"}}
_WORKSPACE_V2 = {
    "kind": "workspace",
    "name": "growers",
    "schema_version": 2,
    "body": {
        "rank": "routine",
        "callers": {
            "shed": {
                "keys": [
                    {"key_id": "k-0002", "salt": "ab" * 16, "digest": "c" * 64}
                ]
            }
        },
    },
}


def _forged_snapshot(
    store: store_lib.ConfigurationStore, **changes: object
) -> bytes:
    taken = snapshot_lib.take(store.state)
    return snapshot_lib.encode(dataclasses.replace(taken, **changes))


def test_concurrent_appends_accept_one_and_reject_the_other() -> None:
    """Guards against a lost update."""
    store = builders.config_store(_RANK)
    racing = [
        {**_RANK, "expect_revision": 0, "author": author}
        for author in ("ana", "luz")
    ]
    results = store.apply(
        tuple(builders.config_entry(n + 1, r) for n, r in enumerate(racing))
    )
    assert results[0] == state_lib.Accepted(1)
    assert isinstance(results[1], state_lib.Rejected)
    assert "found 1" in results[1].reason


def test_a_missing_entry_is_not_skipped() -> None:
    """Guards against a state that lacks a record."""
    store = builders.config_store(_RANK)
    with pytest.raises(state_lib.OutOfOrder):
        store.apply((builders.config_entry(2, _POLICY),))
    assert store.next_offset == 1


@pytest.mark.parametrize("restart", [False, True])
@pytest.mark.parametrize("snapshot_by", [1, 9])
def test_an_invalid_body_keeps_the_previous_one_in_force(
    restart: bool, snapshot_by: int
) -> None:
    """Guards against losing a workspace, also after a restart."""
    bad_v2 = {**_WORKSPACE_V2, "body": {"callers": 1}}
    payloads = (
        _RANK,
        _WORKSPACE,
        _WORKSPACE_V2,
        bad_v2,
        _INVALID_WORKSPACE,
        bad_v2,
    )
    store = builders.config_store(*payloads)
    if restart:
        writer = builders.config_store(*payloads, schema_versions=snapshot_by)
        store = builders.config_store()
        store.adopt(writer.snapshot())
    assert set(store.view.keys) == {"k-0002"}
    old = builders.config_store(*payloads, schema_versions=1)
    assert set(old.view.keys) == {"k-0001"}
    assert old.digest == store.digest


def test_the_newest_known_schema_version_is_in_force_in_any_order() -> None:
    """Guards against a record of an old version overriding a newer one."""
    for payloads in ((_WORKSPACE_V2, _WORKSPACE), (_WORKSPACE, _WORKSPACE_V2)):
        assert set(builders.config_store(*payloads).view.keys) == {"k-0002"}


def test_a_body_that_makes_its_schema_fail_has_no_effect() -> None:
    """Guards against a process stopped by a record on the log."""
    failing = builders.record("rank", "urgent", level=0, queue_time_s=10**15)
    store = builders.config_store(_RANK, failing, b"\x00", b"null", _POLICY)
    assert set(store.view.ranks) == {"routine"}
    assert store.revision == 4


def test_unresolved_references_use_defaults_and_are_reported() -> None:
    """Guards against a key that gains priority from an unknown rank."""
    body = builders.workspace_body(policy="gone", models=["gone"])
    body["keys"][0]["rank"] = "gone"
    urgent = builders.record("rank", "urgent", level=0)
    store = builders.config_store(
        urgent, _RANK, builders.record("workspace", "growers", **body)
    )
    workspace, key = store.view.keys["k-0001"]
    assert workspace.policy == "default"
    assert store.view.policies["default"].default_rank == "routine"
    assert key.rank == "routine"
    assert {f.path for f in store.reference_faults} == {
        "policy",
        "models.0",
        "keys.0.rank",
    }


def test_a_duplicate_key_id_belongs_to_one_workspace() -> None:
    """Guards against a second workspace taking over a key."""
    store = builders.config_store(
        {**_WORKSPACE, "name": "second"}, _WORKSPACE, _POLICY, _RANK
    )
    assert store.view.keys["k-0001"][0].name == "growers"
    assert "belongs to" in store.reference_faults[0].message


def test_unchanged_records_are_not_rebuilt() -> None:
    """Guards the cost of one change with 860 workspaces."""
    store = builders.config_store(_RANK, _POLICY, _WORKSPACE)
    previous_workspace = store.view.workspaces["growers"]
    store.apply((builders.config_entry(3, _RANK),))
    assert store.view.workspaces["growers"] is previous_workspace


def test_a_peer_one_change_behind_receives_a_delta() -> None:
    """Guards the limit of 29 KB/s for control traffic of a node."""
    many = [{**_WORKSPACE, "name": f"w{n}"} for n in range(200)]
    behind = builders.config_store(*many)
    ahead = builders.config_store(*many, _RANK)
    assert len(ahead.snapshot(behind.revision)) < 1000
    assert behind.adopt(ahead.snapshot(behind.revision), ahead.digest) == (
        store_lib.Adopted(200)
    )
    assert behind.digest == ahead.digest


def test_older_and_equal_states_are_not_adopted() -> None:
    """Guards against reverting to an older state of a peer."""
    old, new = (
        builders.config_store(_RANK),
        builders.config_store(_RANK, _WORKSPACE_V2),
    )
    assert new.adopt(old.snapshot()) == store_lib.NotNewer()
    assert new.adopt(new.snapshot()) == store_lib.NotNewer()


def test_corrupt_snapshots_are_refused() -> None:
    """Guards against a corrupt or malicious state from a peer."""
    good = builders.config_store(_RANK, _POLICY).snapshot()
    oversized = b"x" * snapshot_lib.MAX_ENCODED_BYTES
    flipped = good[:-1] + bytes([good[-1] ^ 1])
    corrupt = [b"", good[:40], flipped, oversized, oversized + b"x", good[::-1]]
    corrupt.append(hashlib.sha256(b"").digest())
    for encoded in corrupt:
        store = builders.config_store(_RANK)
        refused = store.adopt(encoded)
        assert isinstance(refused, store_lib.AdoptionRefused)
        assert store.revision == 0


def test_snapshots_that_contradict_the_log_are_refused() -> None:
    """Guards against valid checksums on a state of another log."""
    own = builders.config_store(_RANK, _POLICY)
    other = builders.config_store(_POLICY, _RANK, _WORKSPACE)
    lost = builders.config_store(_RANK, b"", _WORKSPACE)
    whole = builders.config_store(_RANK, _POLICY, _WORKSPACE)
    for forged_snapshot in (
        other.snapshot(),
        lost.snapshot(),
        _forged_snapshot(whole, revision=7, next_offset=9),
        _forged_snapshot(whole, next_offset=2),
        _forged_snapshot(whole, digest="0" * 64),
        _forged_snapshot(whole, records=()),
        _forged_snapshot(whole, since=1, records=()),
        _forged_snapshot(whole, since=2),
    ):
        previous_digest = own.digest
        assert isinstance(own.adopt(forged_snapshot), store_lib.AdoptionRefused)
        assert (own.digest, own.next_offset) == (previous_digest, 2)
    assert isinstance(
        own.adopt(whole.snapshot(), "0" * 64), store_lib.AdoptionRefused
    )
    assert own.adopt(whole.snapshot(), whole.digest) == store_lib.Adopted(2)


def test_the_digest_does_not_depend_on_how_a_state_was_reached() -> None:
    """Guards the comparison of digests between processes."""
    payloads = [
        _RANK,
        _WORKSPACE,
        json.dumps(_WORKSPACE_V2).encode(),
        _INVALID_WORKSPACE,
    ]
    folded = builders.config_store(*payloads)
    restored = builders.config_store()
    restored.adopt(folded.snapshot())
    assert restored.digest == folded.digest
    assert restored.view == folded.view
