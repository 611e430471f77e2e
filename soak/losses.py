"""Check for requests that planned work ended without a complete answer."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from collections.abc import Set as AbstractSet

from soak import builders, callers, worklog

__all__ = ["find_losses"]

# A request that no server got, and whose connection ends this soon after its
# last byte, may have crossed the close of the connection.
_CROSSING_S = 0.2
# A stop excuses requests that were sent by this time after the stop signal
# and that a server was still working on in the last part of the grace period.
_EARLY_S = 3.0
_LAST_PART_S = builders.GRACE_S * 5 / 6
# Statuses by which a gateway gives up a request that may have run.
_GIVE_UP_STATUSES = (502, 504)
# A response that ends this little before its deadline has reached it.
_DEADLINE_MARGIN_S = 0.1


def find_losses(
    results: Sequence[callers.RequestResult],
    servers: Mapping[str, AbstractSet[int]],
    log: worklog.WorkLog,
) -> list[str]:
    """Returns a line for each request that planned work lost.

    A request is lost if a gateway has read it, and its connection ends without
    a complete response around a stop, a reload or a change, or if the gateway
    gives up its server before its time limit. Requests beside
    faults and requests that their server broke off don't count. A silent server
    excuses nothing.

    Args:
        results: The results of all callers.
        servers: The backend servers that each request reached, by its id.
        log: What was done to the processes.
    """
    lines = []
    for result in results:
        reached = result.request_id in servers
        if not _is_lost(result, reached, log):
            continue
        if log.broke_off(
            servers.get(result.request_id, set()), result.sent_s, result.ended_s
        ):
            continue
        stop = log.find_stop(result.gateway, result.ended_s)
        if stop is not None:
            if _is_excused(result, reached, stop):
                continue
            cause = (
                f"sent {_sent_s(result) - stop.signalled_s:.2f} s and cut "
                f"{result.ended_s - stop.signalled_s:.2f} s after SIGTERM"
            )
        elif log.was_changed(result.gateway, result.sent_s, result.ended_s):
            cause = "cut around a reload or a change"
        else:
            cause = "cut without any work on its gateway"
        lines.append(
            f"lost: {result.request_id} to {result.route} at {result.gateway}, "
            f"{'run by a server' if reached else 'held'}, "
            f"status {result.status or 'none'}, {cause}"
        )
    return lines


def _sent_s(result: callers.RequestResult) -> float:
    return result.sent_s if result.whole_s is None else result.whole_s


def _is_lost(
    result: callers.RequestResult, reached_server: bool, log: worklog.WorkLog
) -> bool:
    if result.status != 0 and result.body is not None:
        # A complete response of the gateway's own that gives up a server.
        gives_up = reached_server and result.status in _GIVE_UP_STATUSES
        if not gives_up:
            return False
    if log.faulty(result.sent_s, result.ended_s):
        return False
    deadline_s = builders.ROUTE_TIMEOUTS_S[result.route] - _DEADLINE_MARGIN_S
    if result.ended_s - result.sent_s >= deadline_s:
        return False
    if reached_server or result.status != 0:
        return True
    return (
        result.whole_s is not None
        and result.ended_s - result.whole_s > _CROSSING_S
    )


def _is_excused(
    result: callers.RequestResult, reached_server: bool, stop: worklog.Stop
) -> bool:
    return (
        reached_server
        and _sent_s(result) - stop.signalled_s <= _EARLY_S
        and result.ended_s - stop.signalled_s >= _LAST_PART_S
    )
