"""Checks the guarantees of the gateways after a soak.

The checks compare the responses that callers got with the requests that
reached the backend servers.
"""

from __future__ import annotations

import collections
import re
from collections.abc import Sequence
from typing import Any

from soak import callers

__all__ = ["find_violations"]

# Statuses by which a gateway asserts that no backend server ran the request.
_NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
_EVENT_ID = re.compile(rb"id: (\d+)\n")
_EVENTS_PER_STREAM = 4
# Requests sent this long before the end are after the recovery.
_RECOVERY_WINDOW_S = 4.0
_MIN_SERVED_SHARE = 0.9


def find_violations(
    results: Sequence[callers.RequestResult], arrivals: Sequence[dict[str, Any]]
) -> list[str]:
    """Returns a line for each violation of a guarantee.

    Every request that ran was sent by a caller. Payments and questions run at
    most once, and not at all if the response says so. Responses belong to
    their request, streams are complete and in order, and requests are served
    after the last fault.

    Args:
        results: The results of all callers.
        arrivals: The requests that reached the backend servers.
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
    for each in results:
        violations += _response_violations(each)
        at_most_once = each.route in ("payment", "question")
        if at_most_once and run_counts[each.request_id] > 1:
            violations.append(f"twice: {each.request_id} ran")
        if (
            at_most_once
            and each.status in _NOT_EXECUTED_STATUSES
            and run_counts[each.request_id]
        ):
            violations.append(f"untrue refusal: {each.request_id} ran")
    return violations + _recovery_violations(results)


def _response_violations(each: callers.RequestResult) -> list[str]:
    if each.status != 200 or each.body is None:
        return []
    if each.echoed_id != each.request_id:
        return [f"mixed: {each.request_id} got {each.echoed_id}"]
    if each.route in ("lookup", "payment"):
        if not each.body.startswith(f"answer to {each.request_id} ".encode()):
            return [f"mixed: {each.request_id} got {each.body!r}"]
        return []
    ids = [int(number) for number in _EVENT_ID.findall(each.body)]
    if ids != list(range(1, _EVENTS_PER_STREAM + 1)):
        return [f"order: {each.request_id} got events {ids}"]
    return []


def _recovery_violations(results: Sequence[callers.RequestResult]) -> list[str]:
    end_s = max((each.sent_s for each in results), default=0.0)
    recent = [
        each for each in results if each.sent_s > end_s - _RECOVERY_WINDOW_S
    ]
    served = sum(each.status == 200 for each in recent)
    if served >= _MIN_SERVED_SHARE * len(recent):
        return []
    return [f"recovery: {served} of {len(recent)} served after the faults"]
