"""Tests of command line parsing and command lookup."""

from __future__ import annotations

import pytest

from hibiscusstile import ctl


@pytest.mark.parametrize("arguments", [["nonsense"], ["demo", "--nonsense"]])
def test_invalid_usage_exits_with_2_and_one_line(
    arguments: list[str], capfd: pytest.CaptureFixture[str]
) -> None:
    """A typing error is not reported as exit code 1, which means refused."""
    with pytest.raises(SystemExit) as exit_info:
        ctl.main(arguments)
    assert exit_info.value.code == ctl.EXIT_BAD_USAGE
    assert len(capfd.readouterr().err.splitlines()) == 1


def test_help_exits_with_0(capfd: pytest.CaptureFixture[str]) -> None:
    """The help text can be built from all registered commands."""
    with pytest.raises(SystemExit) as exit_info:
        ctl.main(["--help"])
    assert not exit_info.value.code
    assert "demo" in capfd.readouterr().out


def test_looking_up_an_unknown_command_raises() -> None:
    """The error of a failed lookup contains the requested name."""
    with pytest.raises(ctl.CommandNotFound, match="nonsense"):
        ctl.get_command_by_name("nonsense")
