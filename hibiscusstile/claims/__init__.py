"""At-most-once execution of calls with an idempotency key.

Sidecars of one application agree on who runs a key by appending claims to a
shared log stream. `entries` defines the records of the stream and `encoding`
their serialization. `keytable` derives the state of the keys from the records
and `replica` follows the stream. `ledger` makes the decisions of one sidecar,
`decisions` has their types, and `outbox` queues the records to append.
"""

from __future__ import annotations

__all__: list[str] = []
