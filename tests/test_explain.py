"""Tests of the explanation of requests from logs, and of the JSON log."""

from __future__ import annotations

import json
import os
import pathlib

import logbook
import pytest

from hibiscusstile import ctl, eventlog, explaining, logreader, logs
from tests import builders


def _line(
    second: float, event: str, instance: str = "a", **fields: object
) -> str:
    return json.dumps(
        {
            "time": f"2026-01-01T00:00:{second:09.6f}+00:00",
            "level": "info",
            "part": "test",
            "event": event,
            "instance": instance,
            **fields,
        }
    )


def _events(*lines: str) -> list[logreader.LogEvent]:
    parsed = [logreader.parse_line(f" 1.5 prefix {line}") for line in lines]
    return [event for event in parsed if event is not None]


def test_a_request_refused_under_load_names_the_expected_wait() -> None:
    """Guards against a refusal whose cause is not in the logs."""
    events = _events(
        _line(1, "configuration_applied", version=4),
        _line(2, "server_too_busy", request="r", server="i-1", expected_s=3.1),
        _line(2, "request_ended", request="r", result="overloaded"),
    )
    explanation = explaining.explain(events, "r")
    assert "3.1 s" in explanation.cause
    assert explanation.events[0].name == "configuration_applied"


def test_a_request_cut_by_a_dead_instance_names_it() -> None:
    """Guards against no cause if a request's log ends with its dispatch."""
    events = _events(
        _line(2, "server_selected", request="r", server="i-1"),
        _line(5, "started", instance="b"),
        _line(6, "started"),
    )
    assert "a died" in explaining.explain(events, "r").cause


def test_a_request_with_an_unknown_key_names_the_configuration() -> None:
    """Guards against a 401 without the configuration that caused it."""
    events = _events(
        _line(
            2,
            "request_refused",
            request="r",
            reason="unauthorized",
            configuration=12,
        )
    )
    assert "configuration 12" in explaining.explain(events, "r").cause


def test_events_about_the_request_s_server_are_shown() -> None:
    """Guards against a server selection that is shown without its reasons."""
    events = _events(
        _line(1, "server_suspected", server="i-1", cause="silent"),
        _line(1, "server_suspected", server="i-2", cause="silent"),
        _line(2, "server_selected", request="r", server="i-1"),
        _line(3, "request_ended", request="r", result="served", elapsed_s=1),
    )
    explanation = explaining.explain(events, "r")
    assert [event.server_id for event in explanation.events] == [
        "i-1",
        "i-1",
        "",
    ]


def test_a_request_without_log_lines_is_not_found() -> None:
    """Guards against a cause for a request that no log mentions."""
    explanation = explaining.explain([], "r")
    assert not explanation.found


def test_the_command_prints_the_cause_last(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against log files of collectors that commands cannot read."""
    log = tmp_path / "a.log"
    log.write_text(
        "noise\n" + _line(2, "request_refused", request="r", reason="not_ready")
    )
    with pytest.raises(SystemExit) as ended:
        ctl.main(["explain", "r", str(log)])
    assert ended.value.code == 0
    assert capsys.readouterr().out.splitlines()[-1].startswith("cause: ")
    with pytest.raises(SystemExit) as ended:
        ctl.main(["log", "summary", str(log)])
    assert ended.value.code == 0
    assert "request not_ready 1" in capsys.readouterr().out


def test_a_full_log_pipe_does_not_block_the_process() -> None:
    """Guards against writes that block while nobody reads the log."""
    read_end, write_end = os.pipe()
    os.set_blocking(read_end, False)
    clock = builders.ManualClock()
    handler = eventlog.JsonHandler(write_end, clock, {"instance": "a"})
    logger = logbook.Logger("test")
    output = b""
    with handler.applicationbound():
        for number in range(20_000):
            clock.advance(0.01)
            logs.event(logger, "filled", number=number, text="x" * 100)
        assert handler.dropped_lines > 0
        for _ in range(20):
            output += _read(read_end)
            clock.advance(1.0)
            logs.event(logger, "after")
    assert b"lines_dropped" in output
    os.close(read_end)
    os.close(write_end)


def _read(read_end: int) -> bytes:
    try:
        return os.read(read_end, 1 << 20)
    except BlockingIOError:
        return b""


def test_lines_beyond_the_rate_limit_are_dropped_except_warnings() -> None:
    """Guards against a log volume that grows with the load."""
    read_end, write_end = os.pipe()
    os.set_blocking(read_end, False)
    clock = builders.ManualClock()
    handler = eventlog.JsonHandler(write_end, clock, {})
    logger = logbook.Logger("test")
    with handler.applicationbound():
        for _ in range(1300):
            logs.event(logger, "many")
            _read(read_end)
        assert handler.dropped_lines == 100
        logs.warn(logger, "important")
    assert handler.dropped_lines == 0
    os.close(read_end)
    os.close(write_end)
