"""Counts the crashes that speak against a key."""

from __future__ import annotations

from collections.abc import Collection

from hibiscusstile.gateway import crashcharges, crashfacts

__all__ = ["count", "moments"]

# Crashes this close together count once if they may have one outside cause,
# such as a power failure.
_MIN_INTERVAL_S = 0.2
# Fewer crashes at one moment may have met the same requests by chance.
_MIN_CRASHES_AT_ONCE = 3
# Share of the crashes at one moment that a key must explain for each of them to
# count. The request behind a crash is not always known.
_MIN_SHARE = 0.8
# A part in common use completes within this time: a stream counts as completed
# 0.1 s after its first event.
_MIN_OBSERVED_S = 2.0


def count(
    key: str,
    charged: Collection[crashfacts.ChargedCrash],
    charges: crashcharges.CrashCharges,
    reported: bool,
) -> int:
    """Returns how many crashes count against a key.

    Args:
        key: The key.
        charged: The crashes to count; the key is charged with all of them.
        charges: All known crashes.
        reported: Whether all processes have reported their requests.
    """
    return sum(
        len(moment) if reported and _is_caused_by(key, moment, charges) else 1
        for moment in moments(charged)
    )


def moments(
    crashes: Collection[crashfacts.ChargedCrash],
) -> list[list[crashfacts.ChargedCrash]]:
    """Returns crashes in order of time, those close together as one list."""
    result: list[list[crashfacts.ChargedCrash]] = []
    for crash in sorted(crashes, key=lambda each: each.at_s):
        if not result or crash.at_s - result[-1][0].at_s >= _MIN_INTERVAL_S:
            result.append([])
        result[-1].append(crash)
    return result


def _is_caused_by(
    key: str,
    moment: Collection[crashfacts.ChargedCrash],
    charges: crashcharges.CrashCharges,
) -> bool:
    """Returns whether requests with a key caused the crashes of a moment.

    They did if nearly all crashed servers had just begun a request with the
    key, though it is not one in common use. A rack, a rollout or a network
    fault does not choose servers by what they run; a key that it meets
    everywhere is in common use, and a request with it has completed. To know
    this takes a process that has seen completions for a while before, or
    servers that run on and complete other requests.
    """
    if len(moment) < _MIN_CRASHES_AT_ONCE or charges.has_completed(key):
        return False
    first_s = min(each.at_s for each in moment)
    last_s = max(each.at_s for each in moment)
    beside = [
        each
        for each in charges.crashes
        if first_s - _MIN_INTERVAL_S < each.at_s < last_s + _MIN_INTERVAL_S
    ]
    explained = sum(key in each.begin_keys for each in beside)
    in_use_known = charges.observed_from_s <= first_s - _MIN_OBSERVED_S or all(
        each.outlived is not None for each in beside
    )
    return (
        in_use_known
        and all(key in each.begin_keys for each in moment)
        and explained >= _MIN_SHARE * len(beside)
    )
