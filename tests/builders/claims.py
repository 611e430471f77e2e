"""State of calls and sidecars in the state machine of the claims."""

from __future__ import annotations

import dataclasses
from typing import Any

from hibiscusstile import outcome
from hibiscusstile.claims import decisions, ledger, outbox

__all__ = ["ClientCall", "ServiceRun", "SidecarState"]


@dataclasses.dataclass(eq=False)
class ServiceRun:
    """One run of a call by the service."""

    key: str
    body: bytes
    time_s: float
    reply: Any


@dataclasses.dataclass(eq=False)
class ClientCall:
    """One call of a client.

    Attributes:
        key: Idempotency key.
        body: Request body.
        slot: Index of the sidecar that processes the call.
        attempt: The ledger's attempt.
        state: `deciding`, `started`, `checked`, `running` or `ended`.
        verdict: Verdict that the client received, None before that.
        run: Run of the call, None if there is none.
    """

    key: str
    body: bytes
    slot: int
    attempt: decisions.CallAttempt
    state: str = "deciding"
    verdict: outcome.Verdict | None = None
    run: ServiceRun | None = None


@dataclasses.dataclass(eq=False)
class SidecarState:
    """One sidecar process.

    Attributes:
        ledger: Its ledger.
        frozen: Whether the process is suspended.
        batch: Batch whose append is in progress.
        is_appended: Whether that batch is in the log.
    """

    ledger: ledger.Ledger
    frozen: bool = False
    batch: outbox.Batch | None = None
    is_appended: bool = False
