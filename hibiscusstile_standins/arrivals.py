"""Requests that stand-ins for backend servers have received."""

from __future__ import annotations

import dataclasses

import multidict

__all__ = ["Arrival"]


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """One request that reached the server.

    Attributes:
        request_id: Value of `X-Request-Id`, empty if absent.
        method: HTTP method.
        target: Path and query as received.
        headers: Request headers.
        body: Request body.
        executed: False if the request was refused.
    """

    request_id: str
    method: str
    target: str
    headers: multidict.CIMultiDict[str]
    body: bytes
    executed: bool
