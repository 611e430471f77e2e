"""Short soaks with fixed seeds, and tests of the soak's checks."""

from __future__ import annotations

import asyncio
import pathlib

import pytest

from soak import __main__ as soak
from soak import callers, checks, losses, worklog
from tests.builders import soak as builders

# Regressions: with seed 200 (as with 235) a wrong weights version spread to all
# gateways; with seed 225 SIGHUP terminated a gateway during its start.
_SEEDS = (1, 200, 225)
_FAULT_SECONDS = 3.0
_PLANNED_SEEDS = (3, 4)
_PLANNED_SECONDS = 4.0
# With seed 7001, streams were cut that had left a server which was silent after
# the last event (issue 37).
_SILENT_SEEDS = (7001,)
_SILENT_SECONDS = 1.5


async def test_guarantees_hold_under_faults(tmp_path: pathlib.Path) -> None:
    """Guarantees to callers and backend servers hold under faults."""
    await _run_seeds(_SEEDS, _FAULT_SECONDS, tmp_path, "mixed")


async def test_no_request_is_lost_around_planned_work(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against requests that are accepted and cut by a stop."""
    await _run_seeds(_PLANNED_SEEDS, _PLANNED_SECONDS, tmp_path, "planned")


async def test_no_stream_of_a_silent_server_is_lost(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against answers that are cut since their server is silent."""
    await _run_seeds(_SILENT_SEEDS, _SILENT_SECONDS, tmp_path, "silent")


async def _run_seeds(
    seeds: tuple[int, ...], seconds: float, folder: pathlib.Path, plan: str
) -> None:
    folders = {seed: folder / str(seed) for seed in seeds}
    for each in folders.values():
        each.mkdir()
    violations = await asyncio.gather(
        *(soak.run(seed, seconds, folders[seed], plan) for seed in seeds)
    )
    assert not any(violations), dict(zip(seeds, violations, strict=True))


@pytest.mark.parametrize(
    ("result", "runs", "violation"),
    [
        (builders.result(), ["c1-1", "c1-1"], "twice"),
        (
            builders.result(status=503, body=b""),
            ["c1-1"],
            "untrue refusal",
        ),
        (builders.result(echoed_id="c2-1"), ["c1-1"], "mixed"),
        (
            builders.result(body=b"answer to c2-1 of i-1"),
            ["c1-1"],
            "mixed",
        ),
        (builders.result(), ["c1-1", "c9-9"], "unasked"),
        (
            builders.result(route="dossier", body=b"id: 1\n\nid: 3\n\n"),
            [],
            "order",
        ),
        (builders.result(status=0, body=None), [], "recovery"),
    ],
)
def test_the_checks_detect_violations(
    result: callers.RequestResult, runs: list[str], violation: str
) -> None:
    """The checks report each kind of violation."""
    arrivals = [{"request_id": each, "ran": True} for each in runs]
    violations = checks.find_violations([result], arrivals)
    assert any(line.startswith(violation) for line in violations)


@pytest.mark.parametrize(
    ("result", "reached_server", "found"),
    [
        (builders.cut(3.1, 6.9), True, True),
        (builders.cut(2.9, 6.8), True, False),
        (builders.cut(2.9, 6.0), True, True),
        (builders.cut(0.5, 4.45), True, False),
        (builders.cut(5.0, 7.0, status=0), True, True),
        (builders.cut(5.0, 7.0, status=0), False, True),
        (builders.cut(6.9, 7.0, status=0), False, False),
        (
            builders.cut(5.0, 7.0, status=0, whole_s=None),
            False,
            False,
        ),
        (builders.cut(5.0, 7.0, body=b"whole"), True, False),
        (builders.cut(5.0, 7.0, body=b"stalled", status=502), True, True),
        (builders.cut(5.0, 7.0, body=b"stalled", status=504), False, False),
        (builders.cut(5.0, 8.95, body=b"late", status=504), True, False),
    ],
)
def test_losses_are_requests_that_were_read_and_got_no_whole_response(
    result: callers.RequestResult, reached_server: bool, found: bool
) -> None:
    """Guards against losses that are missed, and excused ones that count."""
    log = worklog.WorkLog(lambda: 0.0)
    log.note_stop(result.gateway)
    servers = {result.request_id: {0}} if reached_server else {}
    assert bool(losses.find_losses([result], servers, log)) == found


@pytest.mark.parametrize(("fault_end_s", "found"), [(2.5, False), (1.5, True)])
def test_losses_beside_faults_do_not_count(
    fault_end_s: float, found: bool
) -> None:
    """Guards against losses that are blamed on planned work beside faults."""
    now_s = 0.0
    log = worklog.WorkLog(lambda: now_s)
    result = builders.cut(5.0, 7.0)
    log.note_stop(result.gateway)
    with log.unplanned():
        now_s = fault_end_s
    lines = losses.find_losses([result], {result.request_id: {0}}, log)
    assert bool(lines) == found


@pytest.mark.parametrize(
    ("server", "broken_s", "found"),
    [(0, 6.0, False), (0, 4.9, True), (0, 7.1, True), (1, 6.0, True)],
)
def test_only_the_break_of_its_server_excuses_a_loss(
    server: int, broken_s: float, found: bool
) -> None:
    """Guards against losses that are blamed on another server's restart."""
    log = worklog.WorkLog(lambda: broken_s)
    log.note_break(server)
    result = builders.cut(5.0, 7.0)
    lines = losses.find_losses([result], {result.request_id: {0}}, log)
    assert bool(lines) == found


@pytest.mark.parametrize("route", ["question", "essay", "novel"])
def test_silence_excuses_no_loss(route: str) -> None:
    """Guards against cut streams of silent servers that do not count."""
    result = builders.cut(5.0, 7.1, route=route)
    log = worklog.WorkLog(lambda: 0.0)
    assert losses.find_losses([result], {result.request_id: {0}}, log)
