"""Short soaks with fixed seeds, and tests of the soak's checks."""

from __future__ import annotations

import asyncio
import pathlib

import pytest

from soak import __main__ as soak
from soak import callers, checks

# Regressions: with seed 200 (as with 235) a wrong weights version spread to all
# gateways; with seed 225 SIGHUP terminated a gateway during its start.
_SEEDS = (1, 200, 225)
_FAULT_SECONDS = 3.0


async def test_guarantees_hold_under_faults(tmp_path: pathlib.Path) -> None:
    """Guarantees to callers and backend servers hold under faults."""
    folders = {seed: tmp_path / str(seed) for seed in _SEEDS}
    for folder in folders.values():
        folder.mkdir()
    violations = await asyncio.gather(
        *(soak.run(seed, _FAULT_SECONDS, folders[seed]) for seed in _SEEDS)
    )
    assert not any(violations), dict(zip(_SEEDS, violations, strict=True))


def _result(**changes: object) -> callers.RequestResult:
    fields: dict[str, object] = {
        "request_id": "c1-1",
        "route": "payment",
        "status": 200,
        "body": b"answer to c1-1 of i-1",
        "echoed_id": "c1-1",
        "sent_s": 0.0,
        **changes,
    }
    return callers.RequestResult(**fields)  # type: ignore[arg-type]


@pytest.mark.parametrize(
    ("result", "runs", "violation"),
    [
        (_result(), ["c1-1", "c1-1"], "twice"),
        (_result(status=503, body=b""), ["c1-1"], "untrue refusal"),
        (_result(echoed_id="c2-1"), ["c1-1"], "mixed"),
        (_result(body=b"answer to c2-1 of i-1"), ["c1-1"], "mixed"),
        (_result(), ["c1-1", "c9-9"], "unasked"),
        (_result(route="dossier", body=b"id: 1\n\nid: 3\n\n"), [], "order"),
        (_result(status=0, body=None), [], "recovery"),
    ],
)
def test_the_checks_detect_violations(
    result: callers.RequestResult, runs: list[str], violation: str
) -> None:
    """The checks report each kind of violation."""
    arrivals = [{"request_id": each, "ran": True} for each in runs]
    violations = checks.find_violations([result], arrivals)
    assert any(line.startswith(violation) for line in violations)
