"""Tests of the engine monitor, alone and in a running fleet."""

from __future__ import annotations

import asyncio
import pathlib
import time

from hibiscusstile import backends, cacheview, outcome
from hibiscusstile.backends import engine_chat
from hibiscusstile.sidecar import enginemonitor
from hibiscusstile_standins import text
from tests import builders, httpclient, processes


class _Engine(engine_chat.EngineChat):
    """Returns scripted probe results."""

    def __init__(
        self, *results: backends.EngineHealth | backends.ProbeFailure
    ) -> None:
        super().__init__("http://127.0.0.1:1")
        self._results = list(results)

    async def probe(
        self, timeout_s: float
    ) -> backends.EngineHealth | backends.ProbeFailure:
        return self._results.pop(0)


class _Reports:
    """Records the calls that the monitor makes."""

    def __init__(self) -> None:
        self.refusals: list[tuple[outcome.Reason, str]] = []
        self.announcements = 0
        self.crashes: list[str] = []

    async def note_crash(self, incarnation: str) -> None:
        self.crashes.append(incarnation)

    def fail_running(
        self,
        refusal: outcome.Refusal,
        incarnation: str,
        silent_since_s: float | None,
    ) -> None:
        assert refusal.verdict is outcome.Verdict.MAY_HAVE_RUN
        # A crash ends all attempts, silence only those without output.
        crashed = refusal.reason is outcome.Reason.BACKEND_CRASHED
        assert (silent_since_s is None) == crashed
        self.refusals.append((refusal.reason, incarnation))

    async def announce(self) -> None:
        self.announcements += 1


async def _poll_monitor(
    *results: backends.EngineHealth | backends.ProbeFailure,
) -> tuple[_Reports, enginemonitor.EngineMonitor, cacheview.CacheView]:
    reports = _Reports()
    view = cacheview.CacheView()
    monitor = enginemonitor.EngineMonitor(
        _Engine(*results),
        view,
        reports.note_crash,
        reports.fail_running,
        reports.announce,
        builders.ManualClock(),
    )
    for _ in results:
        await monitor.poll()
    return reports, monitor, view


def _health(
    incarnation: str, version: str = "v1", number: int = 0
) -> backends.EngineHealth:
    return backends.EngineHealth(
        incarnation, "m1", version, (), "mixed", number
    )


async def test_new_incarnation_fails_attempts_of_the_old_one() -> None:
    """Guards against attempts that wait for an engine that has crashed."""
    reports, monitor, view = await _poll_monitor(_health("one"), _health("two"))
    assert reports.refusals == [(outcome.Reason.BACKEND_CRASHED, "two")]
    assert reports.crashes == ["one"]
    assert view.incarnation == "two"
    assert monitor.health == _health("two")


async def test_a_silent_engine_is_announced_as_down_once() -> None:
    """Guards against work routed to a hung engine and repeated notices."""
    silent = backends.ProbeFailure.SILENT
    reports, monitor, _ = await _poll_monitor(_health("one"), silent, silent)
    assert reports.refusals == [(outcome.Reason.BACKEND_FAILED, "")] * 2
    assert reports.announcements == 2
    assert monitor.health is None


async def test_only_changes_visible_to_peers_are_announced() -> None:
    """Guards against stale versions at entries and redundant messages."""
    reports, monitor, _ = await _poll_monitor(
        _health("one"), _health("one", number=7), _health("one", "v2")
    )
    assert reports.announcements == 2
    assert monitor.health is not None and monitor.health.weights_version == "v2"


async def test_answers_survive_a_freeze_and_a_crash(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against truncated answers when one of two engines fails."""
    prompts = [builders.chat_messages(f"question {n}") for n in range(12)]
    async with (
        processes.process_fleet(
            tmp_path, entries=1, engines=2, services=0
        ) as fleet,
        httpclient.open_session() as session,
    ):
        url = fleet.urls["entry-1"]
        started_s = time.monotonic()
        async with asyncio.TaskGroup() as group:
            answers = [
                group.create_task(
                    httpclient.send_chat(
                        session, url, fleet.keys["buyers"], p, max_tokens=400
                    )
                )
                for p in prompts
            ]
            await asyncio.sleep(0.5)
            await fleet.inject_fault("engine-1", "crash", delay_s=1.0)
            await asyncio.sleep(2.5)
            await fleet.inject_fault("engine-2", "freeze")
        taken_s = time.monotonic() - started_s
    for prompt, answer in zip(prompts, answers, strict=True):
        assert answer.result().done, answer.result()
        assert answer.result().words == text.expected_words(prompt, 400)
    assert taken_s < 20
