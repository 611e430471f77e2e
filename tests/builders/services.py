"""Builders of plain-service calls and replies."""

from __future__ import annotations

from hibiscusstile import (
    request,
)

__all__ = [
    "service_call",
    "service_reply",
]


def service_call(
    key: str | None = "k1", *, body: bytes = b"5", method: str = "POST"
) -> request.ServiceCall:
    """Returns a payment call, without an idempotency key if it is None."""
    return request.ServiceCall(
        "accounts", method, "payments", "", "application/json", body, key
    )


def service_reply(receipt: int, size: int = 0) -> request.ServiceReply:
    """Returns a reply with a receipt, padded by `size` bytes."""
    return request.ServiceReply(
        201, "application/json", b"%d" % receipt + b" " * size
    )
