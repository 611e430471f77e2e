"""Batches notices for gateways in other availability zones.

Requests are mostly sent to servers in their own zone, so the gateways of that
zone need each notice at once. Sending all notices to all gateways would make
the messages of a process grow with the number of processes.
"""

from __future__ import annotations

from hibiscusstile.peers import messages

__all__ = ["NoticeBatch"]

# Messages that a process sends to other zones in a second, over all gateways.
_MAX_MESSAGES_PER_S = 75.0
# Batches that are no further apart than this are not worth delaying.
_MIN_INTERVAL_S = 0.2
# Half of the time for which a load report is used.
_MAX_INTERVAL_S = 0.75


class NoticeBatch:
    """Collects notices until the next message to other zones is due."""

    def __init__(self) -> None:
        self._notices: list[messages.GatewayNotice] = []
        self._sent_s = 0.0

    def add(self, notice: messages.GatewayNotice) -> None:
        """Adds a notice."""
        self._notices.append(notice)

    def drain(
        self, gateways: int, now_s: float
    ) -> messages.GatewayNotice | None:
        """Removes the collected notices and returns them as one if it is due.

        Changes of weights, claims of the lease, crashes and leaving servers are
        due at once.

        Args:
            gateways: Number of gateways in other zones.
            now_s: Time on the monotonic clock.
        """
        if not self._notices:
            return None
        is_urgent = any(
            each.changes or each.claims or each.crashes or each.leaving
            for each in self._notices
        )
        if not is_urgent and now_s < self._sent_s + _interval_s(gateways):
            return None
        merged = _merge(self._notices)
        self._notices.clear()
        self._sent_s = now_s
        return merged


def _interval_s(gateways: int) -> float:
    interval_s = min(_MAX_INTERVAL_S, gateways / _MAX_MESSAGES_PER_S)
    return interval_s if interval_s > _MIN_INTERVAL_S else 0.0


def _merge(notices: list[messages.GatewayNotice]) -> messages.GatewayNotice:
    """Returns one notice with the same effect as several in order.

    Only the newest load of each server counts. Beyond the limit of a message,
    the oldest entries are dropped.
    """
    newest = slice(-messages.MAX_NOTICE_ENTRIES, None)
    loads = {load.server: load for each in notices for load in each.loads}
    memory = {each.server: each for notice in notices for each in notice.memory}
    finished = {
        (done.salt, done.part) for each in notices for done in each.reads
    }
    # A prefill that has ended meanwhile is announced as cached.
    prefixes = {
        (prefix.server, prefix.salt, prefix.part): (
            messages.PrefixUpdate(
                prefix.server, prefix.salt, prefix.part, prefix.tokens
            )
            if (prefix.salt, prefix.part) in finished
            else prefix
        )
        for each in notices
        for prefix in each.prefixes
    }
    return messages.GatewayNotice(
        tuple(loads.values())[newest],
        tuple(prefixes.values())[newest],
        tuple(change for each in notices for change in each.changes)[newest],
        tuple(weights for each in notices for weights in each.weights)[newest],
        tuple(claim for each in notices for claim in each.claims)[newest],
        tuple(done for each in notices for done in each.reads)[newest],
        crashes=tuple(crash for each in notices for crash in each.crashes)[
            newest
        ],
        clearances=tuple(
            clearance for each in notices for clearance in each.clearances
        )[newest],
        leaving=tuple(leaving for each in notices for leaving in each.leaving)[
            newest
        ],
        memory=tuple(memory.values())[newest],
    )
