"""Tests of the example deployments."""

from __future__ import annotations

import pathlib

import pytest
import yaml

from hibiscusstile import ctl, settings

_ROOT = pathlib.Path(__file__).resolve().parent.parent / "examples"
_FILES = sorted(_ROOT.glob("*/*.yaml"))


@pytest.mark.parametrize(
    "path", _FILES, ids=[str(p.relative_to(_ROOT)) for p in _FILES]
)
def test_examples_have_no_faults(
    path: pathlib.Path, capfd: pytest.CaptureFixture[str]
) -> None:
    """Guards against examples that the program rejects."""
    with pytest.raises(SystemExit) as ended:
        ctl.main(["check", str(path)])
    assert ended.value.code == 0, capfd.readouterr().err


@pytest.mark.parametrize(
    ("deployment", "zones", "sidecars"),
    [("cooperativa", 4, 9 + 4), ("musgolap", 3, 6 + 3)],
)
def test_examples_have_the_size_of_the_deployments(
    deployment: str, zones: int, sidecars: int
) -> None:
    """Guards against examples that no longer match the design page."""
    entries = [
        settings.load_settings(path)
        for path in sorted((_ROOT / deployment).glob("entry-*.yaml"))
    ]
    assert len({each.zone for each in entries}) == zones
    for each in entries:
        assert isinstance(each, settings.EntrySettings)
        assert len(set(each.seeds)) == sidecars
        assert len(each.zone_delays_s) == zones - 1
    records = yaml.safe_load((_ROOT / deployment / "records.yaml").read_text())
    names = {r["name"] for r in records if r["kind"] == "workspace"}
    ranks = {r["name"] for r in records if r["kind"] == "rank"}
    assert len(names) == 8
    assert ranks == {"urgent", "routine"}
