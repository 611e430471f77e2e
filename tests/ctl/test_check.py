"""Tests of `hibiscusctl check`."""

from __future__ import annotations

import json
import pathlib
from typing import Any

import pytest
import yaml

from hibiscusstile import ctl
from tests import builders

_Capture = pytest.CaptureFixture[str]

_VALID_SETTINGS = {
    "role": "entry",
    "peer_id": "entry-1",
    "zone": "az-1",
    "region": "south",
    "operators": {"host": "127.0.0.1", "port": 9100},
    "http": {"host": "127.0.0.1", "port": 8080},
    "platform": {
        "log": {"url": "http://10.0.0.2:80"},
        "instance_list": {"url": "http://10.0.0.3:80"},
    },
    "peer_secret": {"environment": "SECRET"},
}
_VALID_RECORDS = [
    builders.record("rank", "routine", level=1),
    builders.record("routing_policy", "default", algorithm="bidding"),
    builders.record("workspace", "growers", **builders.workspace_body()),
]


def _run_check(
    path: pathlib.Path, content: Any, capfd: _Capture, *options: str
) -> tuple[object, list[str], str]:
    if not isinstance(content, str):
        content = yaml.safe_dump(content)
    path.write_text(content)
    with pytest.raises(SystemExit) as exit_info:
        ctl.main(["check", str(path), *options])
    captured = capfd.readouterr()
    return exit_info.value.code, captured.err.splitlines(), captured.out


@pytest.mark.parametrize(
    "content",
    [
        _VALID_SETTINGS,
        _VALID_RECORDS,
        _VALID_RECORDS[0],
        yaml.safe_dump_all(_VALID_RECORDS),
    ],
)
def test_valid_files_have_no_faults(
    content: Any, tmp_path: pathlib.Path, capfd: _Capture
) -> None:
    """Valid settings and records are not reported as faulty."""
    code, errors, out = _run_check(tmp_path / "f.yaml", content, capfd)
    assert (code, errors) == (0, [])
    assert len(out.splitlines()) == 1


def test_json_with_tab_indentation_is_read(
    tmp_path: pathlib.Path, capfd: _Capture
) -> None:
    """JSON files are not parsed as YAML, which forbids tab indentation."""
    text = json.dumps(_VALID_RECORDS, indent="\t")
    assert _run_check(tmp_path / "f.json", text, capfd)[0] == 0


def test_every_fault_of_settings_is_named_by_its_path(
    tmp_path: pathlib.Path, capfd: _Capture
) -> None:
    """All faults of a file are reported in one run."""
    invalid = {
        **_VALID_SETTINGS,
        "zone": "",
        "extra": 1,
        "http": {"port": 70000},
    }
    code, errors, _ = _run_check(tmp_path / "f.yaml", invalid, capfd)
    paths = {line.split(": ")[0] for line in errors}
    assert code == 2
    assert paths == {"zone", "extra", "http.host", "http.port"}


def test_unregistered_names_in_settings_are_faults(
    tmp_path: pathlib.Path, capfd: _Capture
) -> None:
    """Names that only the registries know are checked before a start."""
    invalid = json.loads(json.dumps(_VALID_SETTINGS))
    invalid["platform"]["log"]["kind"] = "carrier"
    code, errors, _ = _run_check(tmp_path / "f.yaml", invalid, capfd)
    assert code == 2
    assert errors[0].startswith("platform.log.kind: unknown log client")


def test_every_fault_of_records_is_named_by_its_path(
    tmp_path: pathlib.Path, capfd: _Capture
) -> None:
    """Faults in bodies, envelopes and references are all reported."""
    body = builders.workspace_body("k-0002", policy="gone", models=["gone"])
    invalid = [
        *_VALID_RECORDS,
        builders.record("rank", "urgent", level=-1, share=2),
        builders.record("planet", "x"),
        {**_VALID_RECORDS[0], "schema_version": 99},
        {**_VALID_RECORDS[0], "name": "a b", "colour": 1},
        builders.record("workspace", "second", **body),
        builders.record("workspace", "third", **builders.workspace_body()),
        builders.record("routing_policy", "p", algorithm="dice"),
        builders.record("rank", "late", level=1, queue_time_s=float(10**9)),
    ]
    code, errors, out = _run_check(
        tmp_path / "f.yaml", invalid, capfd, "--json"
    )
    assert code == 2
    paths = [line.split(": ")[0] for line in errors]
    assert set(paths) == {
        "3.body.level",
        "3.body.share",
        "4.kind",
        "5.schema_version",
        "6.name",
        "6.colour",
        "7.body.policy",
        "7.body.models.0",
        "8.body",
        "9.body",
        "10.body.queue_time_s",
    }
    assert [f["path"] for f in json.loads(out)["faults"]] == paths


@pytest.mark.parametrize(
    "text",
    ["", "[]", "a: [", "a: 1\na: 2", "\x00", "&a [*a]", "- 3", "- x: .nan"],
)
def test_files_without_settings_or_records_are_faults(
    text: str, tmp_path: pathlib.Path, capfd: _Capture
) -> None:
    """Files that are empty, malformed or of neither kind cause no traceback."""
    code, errors, _ = _run_check(tmp_path / "f.yaml", text, capfd)
    assert code == 2
    assert errors


def test_references_to_records_on_the_log_are_resolved(
    tmp_path: pathlib.Path, capfd: _Capture
) -> None:
    """A single record can be checked when others are on the log."""
    with builders.running_log() as log:
        options = ("--log", log.url)
        path = tmp_path / "f.yaml"
        assert _run_check(path, _VALID_RECORDS[2], capfd, *options)[0] == 2
        path.write_text(yaml.safe_dump(_VALID_RECORDS[:2]))
        with pytest.raises(SystemExit):
            ctl.main(["records", "append", str(path), *options])
        capfd.readouterr()
        assert _run_check(path, _VALID_RECORDS[2], capfd, *options)[0] == 0
        log.set_down(True)
        assert _run_check(path, _VALID_RECORDS[2], capfd, *options)[0] == 1
