"""Tests of `hibiscusctl records`."""

from __future__ import annotations

import json
import pathlib
from collections.abc import Callable, Iterator
from typing import Any

import pytest
import yaml

from hibiscusstile import ctl
from hibiscusstile.configuration import follower
from hibiscusstile.ctl import appending
from hibiscusstile_standins import log as log_standin
from tests import builders

_RunCommand = Callable[..., tuple[object, str, str]]
_RANK = builders.record("rank", "routine", level=1)


@pytest.fixture
def log() -> Iterator[log_standin.LogService]:
    """A running log service."""
    with builders.running_log() as service:
        yield service


@pytest.fixture
def run(
    log: log_standin.LogService,
    tmp_path: pathlib.Path,
    capfd: pytest.CaptureFixture[str],
) -> _RunCommand:
    """Function that runs a `records` command.

    It returns the exit code, standard output and standard error.
    """

    def call(word: str, *arguments: Any) -> tuple[object, str, str]:
        texts = []
        for each in arguments:
            if not isinstance(each, str):
                path = tmp_path / "file.yaml"
                path.write_text(yaml.safe_dump(each))
                each = str(path)
            texts.append(each)
        with pytest.raises(SystemExit) as exit_info:
            ctl.main(["records", word, *texts, "--log", log.url])
        captured = capfd.readouterr()
        return exit_info.value.code, captured.out, captured.err

    return call


def test_accepted_records_are_listed_and_shown(run: _RunCommand) -> None:
    """Appended records can be listed and shown."""
    code, out, err = run("append", [_RANK, {**_RANK, "name": "late"}])
    assert (code, err) == (0, "")
    assert out.splitlines() == [
        "accepted rank routine at offset 0",
        "accepted rank late at offset 1",
    ]
    listed = json.loads(run("list", "--json")[1])
    assert [r["name"] for r in listed["records"]] == ["late", "routine"]
    assert "in_force" in run("list", "--kind", "rank")[1]
    assert json.loads(run("show", "rank", "late", "--json")[1])[0]["body"] == {
        "level": 1
    }
    assert run("show", "rank", "none")[0] == 1


def test_a_lost_race_reports_reason_and_offset(run: _RunCommand) -> None:
    """The second of two operators with the same expectation is rejected."""
    assert run("append", _RANK, "--expect-revision", "-1")[0] == 0
    code, _, err = run("append", _RANK, "--expect-revision", "-1")
    assert code == 1
    assert "rejected rank routine at offset 1: expected revision -1" in err
    assert run("append", _RANK, "--expect-revision", "0", "--json")[0] == 0


def test_invalid_records_are_not_appended(run: _RunCommand) -> None:
    """A file with an invalid record is rejected as a whole."""
    invalid_files = [
        [_RANK, {**_RANK, "body": {"level": "high"}}],
        [builders.record("workspace", "w", **builders.workspace_body())],
        [],
    ]
    for each in invalid_files:
        assert run("append", each)[0] == 2
    assert run("append", [_RANK, _RANK], "--expect-revision", "0")[0] == 2
    assert run("append", "missing.yaml")[0] == 2
    assert json.loads(run("list", "--json")[1])["records"] == []


def test_commands_fail_while_the_log_is_down(
    run: _RunCommand, log: log_standin.LogService
) -> None:
    """Without the log, commands exit with 1 and print one line."""
    log.set_down(True)
    for arguments in (("append", _RANK), ("list",), ("show", "rank", "x")):
        code, _, err = run(*arguments)
        assert code == 1
        assert len(err.splitlines()) == 1


def test_superseded_records_are_marked(
    run: _RunCommand, log: log_standin.LogService
) -> None:
    """A record of an older schema version is listed as superseded."""
    version_2 = {"schema_version": 2, "name": "p", "kind": "routing_policy"}
    version_2["body"] = {"primary": {"algorithm": "bidding"}}
    version_1 = builders.record("routing_policy", "p", algorithm="bidding")
    assert run("append", [_RANK, version_2])[0] == 0
    code, out, _ = run("append", version_1)
    assert code == 0
    assert "only in processes that do not know schema version 2" in out
    out = run("list")[1]
    assert "routing_policy p schema_version=1 revision=2 superseded" in out
    assert "routing_policy p schema_version=2 revision=1 in_force" in out


@pytest.mark.parametrize(
    ("is_appended", "outcome"),
    [(True, appending.Outcome.ACCEPTED), (False, appending.Outcome.UNKNOWN)],
)
def test_an_append_without_a_response_is_looked_up(
    is_appended: bool, outcome: appending.Outcome
) -> None:
    """A lost response is resolved by a search of the log.

    Otherwise operators would append twice, or rely on an append that failed.
    """
    clock = builders.ManualClock()
    fake_log = builders.FakeLog(clock)
    fake_log.lose_answers = True
    fake_log.drop_appends = not is_appended
    store = builders.config_store()
    # The nonce keeps a record of the same content from being matched.
    same_content = json.dumps(appending.add_author_nonce(_RANK, "ana")).encode()
    fake_log.put(follower.CONFIG_STREAM, same_content)
    result = builders.run_now(
        appending.append_record(
            fake_log, store, appending.add_author_nonce(_RANK, "ana"), clock
        )
    )
    assert result.outcome is outcome
    assert result.offset == (1 if is_appended else None)
    assert bool(result.reason) is not is_appended
