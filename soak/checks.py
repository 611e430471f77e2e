"""The promises, checked against what callers and servers saw."""

from __future__ import annotations

import collections
import re
from collections.abc import Sequence
from typing import Any

from soak import callers

__all__ = ["find_broken"]

_PROMISES = (408, 421, 429, 503)
_EVENT_ID = re.compile(rb"id: (\d+)\n")
_EVENTS = 4
# Requests sent this long before the end must be served again.
_CALM_S = 4.0
_LEAST_SERVED = 0.9


def find_broken(
    seen: Sequence[callers.Seen], arrivals: Sequence[dict[str, Any]]
) -> list[str]:
    """Returns a line for each broken promise."""
    runs = collections.Counter(
        each["request_id"] for each in arrivals if each["ran"]
    )
    known = {each.request_id for each in seen}
    broken = [
        f"unasked: {request_id} ran"
        for request_id in runs
        if request_id not in known and not request_id.startswith("ready-")
    ]
    for each in seen:
        broken += _broken_answer(each)
        once = each.kind in ("payment", "question")
        if once and runs[each.request_id] > 1:
            broken.append(f"twice: {each.request_id} ran")
        if once and each.status in _PROMISES and runs[each.request_id]:
            broken.append(f"untrue refusal: {each.request_id} ran")
    return broken + _broken_recovery(seen)


def _broken_answer(each: callers.Seen) -> list[str]:
    if each.status != 200 or each.body is None:
        return []
    if each.echoed != each.request_id:
        return [f"mixed: {each.request_id} got {each.echoed}"]
    if each.kind in ("lookup", "payment"):
        if not each.body.startswith(f"answer to {each.request_id} ".encode()):
            return [f"mixed: {each.request_id} got {each.body!r}"]
        return []
    ids = [int(number) for number in _EVENT_ID.findall(each.body)]
    if ids != list(range(1, _EVENTS + 1)):
        return [f"order: {each.request_id} got events {ids}"]
    return []


def _broken_recovery(seen: Sequence[callers.Seen]) -> list[str]:
    end_s = max((each.at_s for each in seen), default=0.0)
    calm = [each for each in seen if each.at_s > end_s - _CALM_S]
    served = sum(each.status == 200 for each in calm)
    if served >= _LEAST_SERVED * len(calm):
        return []
    return [f"recovery: {served} of {len(calm)} served after the faults"]
