"""Tests of the list of tests that are known to fail."""

from __future__ import annotations

import pathlib

import pytest

from tests import knownfailures

pytest_plugins = ["pytester"]

_LIST = "test_a.py::test_listed\n  command: pytest test_a.py::test_other\n"
_CONFTEST = """
import pathlib
from tests import knownfailures

def pytest_collection_modifyitems(items):
    path = pathlib.Path(__file__).parent / "KNOWN-RED.txt"
    knownfailures.mark(items, knownfailures.read_entries(path))

from tests.conftest import pytest_terminal_summary
"""
_TESTS = """
def test_listed():
    assert 1 == 2

def test_other():
    assert {other}
"""


@pytest.mark.parametrize(("other", "exit_code"), [(True, 0), (False, 1)])
def test_only_the_listed_tests_may_fail(
    pytester: pytest.Pytester, other: bool, exit_code: int
) -> None:
    """Guards against a list that hides the failures of other tests."""
    pytester.path.joinpath("KNOWN-RED.txt").write_text(_LIST)
    pytester.makeconftest(_CONFTEST)
    pytester.makepyfile(test_a=_TESTS.format(other=other))
    root = str(knownfailures.LIST_PATH.parent)
    result = pytester.runpytest_inprocess(
        "-p",
        "no:pytest-bdd",
        f"--rootdir={pytester.path}",
        "-o",
        f"pythonpath={root}",
        "-o",
        "asyncio_default_fixture_loop_scope=function",
    )
    assert result.ret == exit_code
    result.stdout.fnmatch_lines(["failed: test_a.py::test_listed", "*1 == 2"])


def test_an_entry_names_all_cases_of_a_test(tmp_path: pathlib.Path) -> None:
    """Guards against entries that match only tests without parameters."""
    path = tmp_path / "KNOWN-RED.txt"
    path.write_text(_LIST)
    entries = knownfailures.read_entries(path)
    assert entries == ("test_a.py::test_listed",)
    assert knownfailures.find_entry("test_a.py::test_listed[1]", entries)
    assert not knownfailures.find_entry("test_a.py::test_listed_2", entries)
