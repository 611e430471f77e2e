"""Outcomes of requests: reason, message, and whether the request ran."""

from __future__ import annotations

import dataclasses
import datetime
import enum

__all__ = ["Reason", "Refusal", "Refused", "Verdict", "refused"]


class Verdict(enum.Enum):
    """Whether a backend server has run a request.

    The component that knows sets it. Others pass it on, combined with the
    verdicts of earlier attempts.
    """

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"

    def combined_with(self, other: Verdict) -> Verdict:
        """Returns the verdict of two attempts at the same request."""
        return max(self, other, key=_VERDICT_ORDER.index)


_VERDICT_ORDER = (Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN, Verdict.RAN)


class Reason(enum.Enum):
    """Reason of a refusal; its value is the error `type` sent to callers."""

    BAD_REQUEST = "bad_request"
    UNAUTHORIZED = "unauthorized"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not_found"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    TOO_LARGE = "too_large"
    SLOW_CLIENT = "slow_client"
    KEY_CONFLICT = "key_conflict"
    OVERLOADED = "overloaded"
    OVER_ALLOWANCE = "over_allowance"
    MEMORY_SHORT = "memory_short"
    EXPIRED = "expired"
    CANCELLED = "cancelled"
    LEAVING = "leaving"
    NOT_READY = "not_ready"
    NO_BACKEND = "no_backend"
    NOT_LOADED = "not_loaded"
    STALE_REVISION = "stale_revision"
    BACKEND_FAILED = "backend_failed"
    BACKEND_CRASHED = "backend_crashed"
    PEER_LOST = "peer_lost"
    SUSPECT = "suspect"
    LOG_UNAVAILABLE = "log_unavailable"
    INTERNAL = "internal"


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Outcome of a request that failed or was rejected.

    Attributes:
        reason: Error type reported to callers and in metrics.
        message: One human-readable sentence without secrets.
        verdict: Whether a backend server may have run the request.
        retry_after: Delay after which a retry may succeed, if known.
    """

    reason: Reason
    message: str
    verdict: Verdict = Verdict.NOT_RUN
    retry_after: datetime.timedelta | None = None


class Refused(Exception):  # noqa: N818 - an expected outcome, not an error
    """Raised to pass a refusal up to the handler that answers the caller."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(f"{refusal.reason.value}: {refusal.message}")
        self.refusal = refusal


def refused(
    reason: Reason,
    message: str,
    retry_after: datetime.timedelta | None = None,
    verdict: Verdict = Verdict.NOT_RUN,
) -> Refused:
    """Returns a `Refused` exception for a new refusal."""
    return Refused(Refusal(reason, message, verdict, retry_after))
