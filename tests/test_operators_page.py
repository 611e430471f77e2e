"""Tests of the examples in docs/operators.md."""

from __future__ import annotations

import pathlib
import re

import pytest
import yaml

from hibiscusstile import ctl, records

_PAGE = pathlib.Path(__file__).resolve().parent.parent / "docs" / "operators.md"
_BLOCKS = re.findall(r"```yaml\n(.*?)```", _PAGE.read_text(), re.DOTALL)


@pytest.mark.parametrize("block", _BLOCKS)
def test_examples_on_the_page_have_no_faults(
    block: str, tmp_path: pathlib.Path, capfd: pytest.CaptureFixture[str]
) -> None:
    """Guards against documented examples that the program rejects."""
    path = tmp_path / "block.yaml"
    path.write_text(block)
    with pytest.raises(SystemExit) as ended:
        ctl.main(["check", str(path)])
    assert ended.value.code == 0, capfd.readouterr().err


def test_every_kind_and_version_is_on_the_page() -> None:
    """Guards against a schema version without a documented example."""
    shown = {
        records.schema_name(each["kind"], each["schema_version"])
        for block in _BLOCKS
        for each in yaml.safe_load(block)
        if isinstance(each, dict) and "kind" in each
    }
    assert shown == set(records.record_schemas.names)
