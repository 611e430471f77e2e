"""Allowances of workspaces over all gateways.

Each gateway spends only tokens that it holds: those that its own buckets have
gained, and those that other gateways have handed over. The design and the proof
of its bound are in docs/design/allowances.md.
"""

from __future__ import annotations

from hibiscusstile.gateway.allowances.admission import (
    AllowanceAdmission,
    Charge,
    Peer,
)
from hibiscusstile.gateway.allowances.ledger import (
    AllowanceLedger,
    Ask,
    Cost,
    Grant,
)
from hibiscusstile.gateway.allowances.shares import ToldCount, Tolerance

__all__ = [
    "AllowanceAdmission",
    "AllowanceLedger",
    "Ask",
    "Charge",
    "Cost",
    "Grant",
    "Peer",
    "ToldCount",
    "Tolerance",
]
