"""Checks the guarantees of the gateways after a soak.

The checks compare the responses that callers got with the requests that
reached the backend servers.
"""

from __future__ import annotations

import collections
import re
from collections.abc import Sequence
from typing import Any

from soak import builders, callers

__all__ = ["MIN_SERVED_SHARE", "find_violations"]

# Statuses by which a gateway asserts that no backend server ran the request.
_NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
_AT_MOST_ONCE_ROUTES = ("payment", "question", "report", "transfer", "essay")
_EVENT_ID = re.compile(rb"id: (\d+)\n")
# Requests sent this long before the end are after the recovery.
_RECOVERY_WINDOW_S = 4.0
MIN_SERVED_SHARE = 0.9


def find_violations(
    results: Sequence[callers.RequestResult],
    arrivals: Sequence[dict[str, Any]],
    min_served_share: float = MIN_SERVED_SHARE,
) -> list[str]:
    """Returns a line for each violation of a guarantee.

    Every request that ran was sent by a caller. Payments and questions run at
    most once, and not at all if the response says so. Responses belong to
    their request, streams are complete and in order, and requests are served
    after the last fault.

    Args:
        results: The results of all callers.
        arrivals: The requests that reached the backend servers.
        min_served_share: Share of the last requests that must be served.
    """
    run_counts = collections.Counter(
        each["request_id"] for each in arrivals if each["ran"]
    )
    sent_ids = {each.request_id for each in results}
    violations = [
        f"unasked: {request_id} ran"
        for request_id in run_counts
        if request_id not in sent_ids and not request_id.startswith("ready-")
    ]
    for result in results:
        violations += _response_violations(result)
        at_most_once = result.route in _AT_MOST_ONCE_ROUTES
        if at_most_once and run_counts[result.request_id] > 1:
            violations.append(f"twice: {result.request_id} ran")
        if (
            at_most_once
            and result.status in _NOT_EXECUTED_STATUSES
            and run_counts[result.request_id]
        ):
            violations.append(f"untrue refusal: {result.request_id} ran")
    return violations + _recovery_violations(results, min_served_share)


def _response_violations(result: callers.RequestResult) -> list[str]:
    if result.status != 200 or result.body is None:
        return []
    if result.echoed_id != result.request_id:
        return [f"mixed: {result.request_id} got {result.echoed_id}"]
    if result.route not in builders.STREAM_EVENTS:
        if not result.body.startswith(
            f"answer to {result.request_id} ".encode()
        ):
            return [f"mixed: {result.request_id} got {result.body!r}"]
        return []
    ids = [int(number) for number in _EVENT_ID.findall(result.body)]
    if ids != list(range(1, builders.STREAM_EVENTS[result.route] + 1)):
        return [f"order: {result.request_id} got events {ids}"]
    return []


def _recovery_violations(
    results: Sequence[callers.RequestResult], min_served_share: float
) -> list[str]:
    end_s = max((result.sent_s for result in results), default=0.0)
    recent = [
        result
        for result in results
        if result.sent_s > end_s - _RECOVERY_WINDOW_S
    ]
    served = sum(result.status == 200 for result in recent)
    if served >= min_served_share * len(recent):
        return []
    return [f"recovery: {served} of {len(recent)} served after the faults"]
