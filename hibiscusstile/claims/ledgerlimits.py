"""Limits of a ledger of claims."""

from __future__ import annotations

import dataclasses
import datetime

__all__ = ["LedgerLimits"]


@dataclasses.dataclass(frozen=True, slots=True)
class LedgerLimits:
    """Limits of a ledger.

    Attributes:
        max_keys: Number of keys in memory at which new claims are refused.
        max_reply_bytes: Size of the reply cache.
        claim_timeout: Time limit to append a claim and read it back.
    """

    # At 444 bytes per key (averaged over 100,000 keys) these take 111 MB of
    # the 256 MB available on a node.
    max_keys: int = 250_000
    max_reply_bytes: int = 16 * 1024 * 1024
    claim_timeout: datetime.timedelta = datetime.timedelta(seconds=2)
