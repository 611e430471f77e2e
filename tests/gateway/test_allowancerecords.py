"""Tests of the allowances in operators' records."""

from __future__ import annotations

import pytest

from hibiscusstile.platform import operatorrecords
from tests.builders import gateway as builders

_NAME = "growers"


@pytest.mark.parametrize(
    ("field", "value", "expected"),
    [
        ("rate_per_s", -1, "rate_per_s.*greater than or equal to 0"),
        ("rate_per_s", 1e13, "rate_per_s.*less than or equal to 1000000000000"),
        ("rate_per_s", "many", "rate_per_s"),
        ("burst", -5, "burst.*greater than or equal to 0"),
        ("unit", "bytes", "unit.*'requests' or 'tokens'"),
        ("plain_tokens", -1, "plain_tokens"),
    ],
)
def test_impossible_allowances_are_refused(
    field: str, value: object, expected: str
) -> None:
    """Guards against a configuration that limits a workspace by accident."""
    tenant = {"name": _NAME, "api_keys": ["k"], "rate_per_s": 5, field: value}
    with pytest.raises(
        operatorrecords.RecordError, match=rf"tenants\.0\.{expected}"
    ):
        builders.routing_table(tenants=[tenant])


def test_the_cost_of_a_request() -> None:
    """Guards against requests that are counted in another unit."""
    tenant = {"name": _NAME, "api_keys": ["k"], "plain_tokens": 200}
    for fields, costs in (
        ({"rate_per_s": 5, "unit": "tokens"}, (1540.0, 200.0)),
        ({"rate_per_s": 5, "unit": "requests"}, (1.0, 1.0)),
        ({"rate_per_s": 5}, (1.0, 1.0)),
    ):
        table = builders.routing_table(tenants=[{**tenant, **fields}])
        allowance = table.allowances[_NAME]
        assert (allowance.cost(1540), allowance.cost(0)) == costs
    for rate in (0, None):
        fields = {**tenant, "rate_per_s": rate, "burst": 5}
        assert not builders.routing_table(tenants=[fields]).allowances
