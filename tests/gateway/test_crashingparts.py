"""Tests of blocking requests whose prompt parts crash engines."""

from __future__ import annotations

from tests.builders import gateway as builders

_ENGINES = 6
# The engines stay down for longer than the requests of a test take.
_RESTART_S = 30.0


def _prompt(*part_ids: str) -> dict[str, str]:
    prompt = ",".join(f"{part_id}:500" for part_id in part_ids)
    return {
        "X_Model": "m1",
        "X_Token_Usage": f"{500 * len(part_ids)},100",
        "X_Prompt_Prefix": prompt,
    }


async def _add_engines(
    harness: builders.GatewayHarness, crash_part: str
) -> None:
    for number in range(_ENGINES):
        runner = await harness.add_runner(
            builders.ENGINE_SERVICE, f"i-{number}"
        )
        runner.crash_on_part(crash_part, _RESTART_S)


async def test_requests_with_one_crashing_part_do_not_crash_every_engine() -> (
    None
):
    """Guards against sending on each request that has a crashing part."""
    async with builders.gateway_harness() as harness:
        await _add_engines(harness, "bad")
        for number in range(_ENGINES):
            await harness.call("/question/1", **_prompt("a", f"own{number}"))
            await harness.until(
                lambda: not harness.gateway.active, timeout_s=1.0
            )
            await harness.call(
                "/question/1", **_prompt("a", "bad", f"last{number}")
            )
            await harness.state.clock.sleep(builders.CRASH_INTERVAL)
        crashed = [
            each.server_id
            for each in harness.runners
            if any(
                "bad:" in arrival.headers["X-Prompt-Prefix"]
                for arrival in each.arrivals
            )
        ]
        status, _, headers = await harness.call(
            "/question/1", **_prompt("a", "bad", "other")
        )
        sound, _, _ = await harness.call(
            "/question/1", **_prompt("a", "good", "other")
        )
    assert len(crashed) <= 3
    assert (status, "Retry-After" in headers) == (503, True)
    assert sound == 200
