"""A short soak with a fixed seed: real processes under faults."""

from __future__ import annotations

import asyncio
import pathlib

import pytest

from soak import __main__ as soak
from soak import callers, checks

# Seeds that failed once: 200 and 235 (a wrong belief about weights that every
# gateway took over), 225 (SIGHUP ended a gateway that was starting).
_SEEDS = (1, 200, 225)
_SECONDS = 3.0


async def test_no_promise_is_broken(tmp_path: pathlib.Path) -> None:
    """Guards the promises to callers and servers under faults."""
    folders = {seed: tmp_path / str(seed) for seed in _SEEDS}
    for folder in folders.values():
        folder.mkdir()
    broken = await asyncio.gather(
        *(soak.run(seed, _SECONDS, folders[seed]) for seed in _SEEDS)
    )
    assert not any(broken), dict(zip(_SEEDS, broken, strict=True))


def _seen(**changes: object) -> callers.Seen:
    fields: dict[str, object] = {
        "request_id": "c1-1",
        "kind": "payment",
        "status": 200,
        "body": b"answer to c1-1 of i-1",
        "echoed": "c1-1",
        "at_s": 0.0,
        **changes,
    }
    return callers.Seen(**fields)  # type: ignore[arg-type]


@pytest.mark.parametrize(
    ("seen", "runs", "promise"),
    [
        (_seen(), ["c1-1", "c1-1"], "twice"),
        (_seen(status=503, body=b""), ["c1-1"], "untrue refusal"),
        (_seen(echoed="c2-1"), ["c1-1"], "mixed"),
        (_seen(body=b"answer to c2-1 of i-1"), ["c1-1"], "mixed"),
        (_seen(), ["c1-1", "c9-9"], "unasked"),
        (_seen(kind="dossier", body=b"id: 1\n\nid: 3\n\n"), [], "order"),
        (_seen(status=0, body=None), [], "recovery"),
    ],
)
def test_the_checks_find_a_broken_promise(
    seen: callers.Seen, runs: list[str], promise: str
) -> None:
    """Guards against a soak that passes whatever happens."""
    arrivals = [{"request_id": each, "ran": True} for each in runs]
    broken = checks.find_broken([seen], arrivals)
    assert any(line.startswith(promise) for line in broken)
