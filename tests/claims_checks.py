"""Checks of single decisions of a ledger, for the state machine of claims."""

from __future__ import annotations

from collections.abc import Iterable

from hibiscusstile import outcome
from hibiscusstile.claims import decisions, encoding, entries
from tests import builders
from tests.builders import claims

__all__ = ["check_logged_reply", "check_refusal"]


def check_refusal(
    calls: Iterable[claims.ClientCall],
    call: claims.ClientCall,
    refusal: outcome.Refusal,
    run: claims.ServiceRun | None,
) -> None:
    """Checks that a refusal agrees with what has run."""
    others = [s for s in calls if s is not call and s.key == call.key]
    if refusal.reason is outcome.Reason.KEY_CONFLICT:
        assert any(other.body != call.body for other in others)
    if refusal.verdict is outcome.Verdict.RAN:
        assert run is not None
    elif refusal.verdict is outcome.Verdict.NOT_RUN:
        assert call.run is None
        if all(o.verdict is outcome.Verdict.NOT_RUN for o in others):
            assert run is None


def check_logged_reply(
    log: builders.InMemoryStream,
    decision: decisions.ReplayFromLog,
    run: claims.ServiceRun | None,
) -> None:
    """Checks that the log holds the reply of the run."""
    page = log.read(decision.offset, 1)
    records = encoding.decode(page.entries[0].payload)
    replies = [
        r.reply
        for r in records
        if isinstance(r, entries.Completed) and r.claim_id == decision.claim_id
    ]
    assert run is not None
    assert replies == [run.reply]
