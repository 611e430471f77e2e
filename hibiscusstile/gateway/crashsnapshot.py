"""Facts about crashes for a gateway that has just connected."""

from __future__ import annotations

from collections.abc import Iterator

from hibiscusstile.gateway import crashcharges, crashfacts

__all__ = ["take"]

# Whatever their length, these are far below the limit of a message between
# gateways.
_MAX_KEYS = 16_384


def take(
    charges: crashcharges.CrashCharges, now_s: float
) -> tuple[list[crashfacts.Crash], list[crashfacts.Clearance]]:
    """Returns the crashes of keys with several ones, and completions.

    Keys with a single charge are left out: they are many, and it takes several
    to block one. If the keys are too many, the oldest crashes are left out.

    Args:
        charges: The crashes that count against each key.
        now_s: Time on the monotonic clock.
    """
    crashes: list[crashfacts.Crash] = []
    key_count = 0
    for each in reversed(charges.crashes):
        if now_s - each.at_s >= crashcharges.FACT_TTL_S:
            continue
        for request, survived in _requests(charges, each):
            key_count += len(request)
            if key_count <= _MAX_KEYS:
                crashes.append(
                    crashfacts.describe(each, request, survived, now_s)
                )
        if key_count >= _MAX_KEYS:
            break
    crashes.reverse()
    completed_s = {
        key: charges.completed_s(key) for each in crashes for key in each.keys
    }
    clearances = [
        crashfacts.Clearance(key, now_s - at_s)
        for key, at_s in completed_s.items()
        if at_s is not None
    ]
    # A later completion of the same key would not tell what these do.
    outlived = {each.outlived for each in charges.crashes if each.outlived}
    clearances += [
        crashfacts.Clearance(key, now_s - at_s) for key, at_s in outlived
    ]
    return crashes, clearances


def _requests(
    charges: crashcharges.CrashCharges, crash: crashfacts.ChargedCrash
) -> Iterator[tuple[frozenset[str], bool]]:
    """Yields the requests of a crash, without keys that have one charge.

    Keys that are charged only by requests that had survived come as one
    request.
    """
    charged = set()
    for key in crash.keys:
        group = charges.groups.get(key)
        mask = group.evidence.crashes if group else 0
        if mask & crash.mask and mask != crash.mask:
            charged.add(key)
    for request in {request & charged for request in crash.requests}:
        if request:
            yield request, False
    survivors = frozenset(charged.difference(*crash.requests))
    if survivors:
        yield survivors, True
