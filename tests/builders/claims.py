"""State that the machine of the claims keeps of calls and sidecars."""

from __future__ import annotations

import dataclasses
from typing import Any

from hibiscusstile import outcome
from hibiscusstile.claims import decisions, ledger, outbox

__all__ = ["ClientCall", "ServiceRun", "SidecarState"]


@dataclasses.dataclass(eq=False)
class ServiceRun:
    """One run of a call at the service."""

    key: str
    body: bytes
    time_s: float
    reply: Any


@dataclasses.dataclass(eq=False)
class ClientCall:
    """One sender's call; `state` is where its task stands."""

    key: str
    body: bytes
    slot: int
    attempt: decisions.CallAttempt
    state: str = "deciding"
    verdict: outcome.Verdict | None = None
    run: ServiceRun | None = None


@dataclasses.dataclass(eq=False)
class SidecarState:
    """One sidecar; `batch` is on its way to the log."""

    ledger: ledger.Ledger
    frozen: bool = False
    batch: outbox.Batch | None = None
    is_appended: bool = False
