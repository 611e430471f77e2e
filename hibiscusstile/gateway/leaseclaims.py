"""Claims of the rollout lease and their holders."""

from __future__ import annotations

import dataclasses
import hashlib

from hibiscusstile.platform import claimrecords

__all__ = ["Claim", "Holder"]


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """A claim of the lease that this process has won.

    Attributes:
        fence: Fencing token of the claim.
        era: Era of the log in which it counts; None if the log tells none.
        expires_s: Expiry time on the monotonic clock.
    """

    fence: int
    era: int | None
    expires_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Holder:
    """One instance that may hold the lease.

    An instance that replaces another one may bear its name, but engines see
    orders from two machines.

    Attributes:
        name: Name of the instance.
        address: IP address of the instance.
    """

    name: str
    address: str

    @property
    def spread_position(self) -> float:
        """Place of the instance among claimants, from 0 to 1."""
        digest = hashlib.blake2b(self.name.encode(), digest_size=2).digest()
        return int.from_bytes(digest, "big") / 65_536

    def record(self, era: int | None, *, opens_era: bool = False) -> bytes:
        """Returns a claim of the lease, or the opening of an era."""
        return claimrecords.encode(
            claimrecords.ClaimRecord(self.name, self.address, era, opens_era)
        )
