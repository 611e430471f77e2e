"""At most one run for each idempotency key, agreed through the log.

`entries` has what a claims stream holds and `encoding` its bytes; `fold` is
the state that every sidecar derives from it and `replica` a sidecar's copy;
`ledger` makes a sidecar's decisions, with `outbox` for what it appends.
"""

from __future__ import annotations

__all__: list[str] = []
