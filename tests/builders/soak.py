"""Builders of the results that the soak's checks judge."""

from __future__ import annotations

from soak import callers

__all__ = ["GATEWAY", "cut", "result"]

GATEWAY = "127.0.0.2:80"


def result(**changes: object) -> callers.RequestResult:
    """Returns the result of a payment that was served."""
    fields: dict[str, object] = {
        "request_id": "c1-1",
        "route": "payment",
        "status": 200,
        "body": b"answer to c1-1 of i-1",
        "echoed_id": "c1-1",
        "sent_s": 0.0,
        **changes,
    }
    return callers.RequestResult(**fields)  # type: ignore[arg-type]


def cut(
    sent_s: float, ended_s: float, **changes: object
) -> callers.RequestResult:
    """Returns the result of a request whose response is incomplete.

    Args:
        sent_s: Time of sending.
        ended_s: Time at which the connection ended.
        **changes: Fields to replace.
    """
    fields: dict[str, object] = {
        "route": "question",
        "body": None,
        "sent_s": sent_s,
        "gateway": GATEWAY,
        "whole_s": sent_s,
        "ended_s": ended_s,
        **changes,
    }
    return result(**fields)
