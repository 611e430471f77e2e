"""Tests of the examples in README.md."""

from __future__ import annotations

import pathlib
import re

from hibiscusstile import settings

_README = pathlib.Path(__file__).parent.parent / "README.md"


def test_the_first_settings_file_has_no_faults() -> None:
    """Guards against an example of settings that the program rejects."""
    block = re.search(r"```yaml\n(.*?)```", _README.read_text(), re.DOTALL)
    assert block is not None
    parsed = settings.parse_settings(block.group(1))
    assert parsed.role == "entry"
