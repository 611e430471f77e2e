"""Tests of a planned stop of the gateway."""

from __future__ import annotations

import pytest

from hibiscusstile.entry import listener
from tests.builders import gateway as builders


async def test_a_request_that_meets_the_close_of_its_connection_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a close between a request's arrival and its handler."""
    async with builders.gateway_harness() as harness:
        await harness.add_runner(builders.PLAIN_SERVICE, "i-1")
        receive = listener.HttpProtocol.data_received

        def close_after(protocol: listener.HttpProtocol, data: bytes) -> None:
            receive(protocol, data)
            harness.front.close_idle()

        monkeypatch.setattr(listener.HttpProtocol, "data_received", close_after)
        status, _, _ = await harness.call("/lookup/1")
        assert status == 200
