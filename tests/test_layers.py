"""Checks that decision modules do not depend on message transports."""

from __future__ import annotations

import subprocess
import sys

import pytest

_DECISIONS = (
    "gateway.allowances",
    "gateway.serverselection",
    "gateway.rolloutlease",
    "gateway.follower",
    "gateway.notices",
    "gateway.forwarding",
    "gateway.roomsharing",
    "gateway.rollout",
    "gateway.selection.expected_first_token",
    "gateway.selection.least_running",
    "gateway.service",
    "admission",
    "bidder",
    "cacheview",
    "configuration.fetching",
    "claims.ledger",
    "configuration.state",
    "configuration.follower",
    "configuration.freshness",
    "configuration.snapshot_stream",
    "configuration.store",
    "configuration.view",
    "records",
    "placement.entries",
    "placement.leases",
    "placement.plan",
    "policies",
    "policies.bidding",
    "policies.split",
    "prefix",
    "rendezvous",
    "retrybudget",
    "suspects",
    "zonecost",
)
_TRANSPORTS = ("aiohttp", "websockets", "cbor2")


@pytest.mark.parametrize("name", _DECISIONS)
def test_decisions_do_not_import_transports(name: str) -> None:
    """Guards against decision code that another front end cannot reuse."""
    code = (
        f"import sys, hibiscusstile.{name};"
        f"print([m for m in {_TRANSPORTS} if m in sys.modules])"
    )
    result = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True
    )
    assert result.stdout.strip() == "[]", result.stdout + result.stderr
