"""Tests of choices among servers whose load is known late."""

from __future__ import annotations

import functools
import itertools
import pathlib
import random
from collections.abc import Callable

import pytest

from hibiscusstile import clock as clock_lib
from hibiscusstile import placementquery, settingsfaults
from hibiscusstile.gateway import evenload, load, placementpreview
from hibiscusstile.platform import boot
from tests.builders import evenload as builders
from tests.builders import gateway as gateway_builders

_numbers = itertools.count()
_SEED = 41


def _question(rng: random.Random) -> tuple[tuple[str, int], ...]:
    return (f"s{rng.randrange(40)}", 60), (f"own{next(_numbers)}", 300)


def _mixed(rng: random.Random) -> tuple[tuple[str, int], ...]:
    if rng.random() < 0.06:
        return (f"p{rng.randrange(30)}", 6_000), (f"own{next(_numbers)}", 2_000)
    return _question(rng)


def _hot(rng: random.Random) -> tuple[tuple[str, int], ...]:
    if rng.random() < 0.7:
        return ("hot", 3_000), (f"own{next(_numbers)}", 800)
    return _question(rng)


@functools.cache
def _run(
    mode: evenload.Mode,
    make_request: Callable[[random.Random], tuple[tuple[str, int], ...]],
    target_s: float,
) -> builders.EvenLoadModel:
    # Servers are drawn with the shared generator.
    random.seed(_SEED)
    model = builders.EvenLoadModel(mode)
    model.run(2.0, make_request, per_tick=6, target_s=target_s)
    return model


@pytest.mark.parametrize(
    ("make_request", "target_s", "gain"),
    [(_question, 0.1, 0.1), (_mixed, 0.4, 0.05), (_hot, 0.4, 0.2)],
)
def test_more_first_tokens_are_in_time(
    make_request: Callable[[random.Random], tuple[tuple[str, int], ...]],
    target_s: float,
    gain: float,
) -> None:
    """Guards against gateways that overrun the same engine by old reports."""
    before = _run(evenload.Mode.OFF, make_request, target_s)
    after = _run(evenload.Mode.ON, make_request, target_s)
    assert after.in_time >= before.in_time + gain


@pytest.mark.parametrize(
    ("make_request", "target_s"),
    [(_question, 0.1), (_mixed, 0.4), (_hot, 0.4)],
)
def test_no_more_shared_tokens_are_computed(
    make_request: Callable[[random.Random], tuple[tuple[str, int], ...]],
    target_s: float,
) -> None:
    """Guards against even load that is paid for by reading prefixes again."""
    before = _run(evenload.Mode.OFF, make_request, target_s)
    after = _run(evenload.Mode.ON, make_request, target_s)
    assert after.computed_share <= before.computed_share


def test_a_hot_prefix_is_not_held_by_one_engine_alone() -> None:
    """Guards against a prefix that overruns the engine that has it."""
    before = _run(evenload.Mode.OFF, _hot, 0.4)
    after = _run(evenload.Mode.ON, _hot, 0.4)
    assert after.busiest_to_mean < before.busiest_to_mean
    assert after.busiest_to_mean < 1.5


def test_few_gateways_or_slow_arrivals_change_nothing() -> None:
    """Guards against another behavior of small deployments by default."""
    traffic = evenload.ServiceTraffic("engines", 0.0)
    for number in range(400):
        traffic.note_sent(0.0, 0, number * 0.02)
    traffic.update(evenload.Mode.AUTO, 7, 20, 8.0)
    assert not traffic.active
    assert not traffic.spread
    assert traffic.long_prompt_engines(12, 8.0) == 12
    traffic.update(evenload.Mode.AUTO, 24, 20, 8.0)
    assert traffic.active
    assert traffic.spread
    # Without requests, knowledge is fresh enough after a while.
    traffic.update(evenload.Mode.AUTO, 24, 20, 80.0)
    assert not traffic.active


def test_the_pool_for_long_prompts_follows_their_work() -> None:
    """Guards against engines that are kept for long prompts without need."""
    traffic = evenload.ServiceTraffic("engines", 0.0)
    for number in range(400):
        now_s = number * 0.05
        traffic.note_sent(0.1 if number % 20 == 0 else 0.0, 1_000, now_s)
        traffic.note_announced(7_000, now_s)
    traffic.update(evenload.Mode.ON, 24, 20, 20.0)
    # 8 gateways' worth of one long prompt of 0.1 s in a second.
    assert traffic.long_prompt_engines(12, 20.0) == 2
    assert traffic.long_prompt_engines(1, 20.0) == 1


def test_reports_of_peers_fade_with_their_age() -> None:
    """Guards against requests that count for long after they have ended."""
    server_load = load.ServerLoad()
    server_load.note_peer_load("g2", load.PeerLoad(8, 900, 1.5, 0.0), 0.0)
    fresh = server_load.probable_peer_load(0.0, 1_000)
    assert (fresh.running, fresh.waiting_tokens) == (8, 900)
    old = server_load.probable_peer_load(0.3, 1_000)
    assert (old.running, old.waiting_tokens) == (2, 600)
    assert not server_load.probable_peer_load(1.0, 1_000).running


def test_the_setting_is_read_and_checked(tmp_path: pathlib.Path) -> None:
    """Guards against a misspelled setting that silently changes nothing."""
    path = tmp_path / "settings.toml"
    text = 'node = "g1"\nzone = "z1"\n[platform]\naddress = "10.0.0.1:1"\n'
    path.write_text(text)
    assert boot.load_boot_settings(path).even_load is evenload.Mode.OFF
    path.write_text(text + '[gateway]\neven_load = "auto"\n')
    assert boot.load_boot_settings(path).even_load is evenload.Mode.AUTO
    path.write_text(text + '[gateway]\neven_load = "of"\n')
    with pytest.raises(settingsfaults.SettingsError, match="even_load"):
        boot.load_boot_settings(path)


def test_faded_reports_do_not_exceed_the_connections_of_a_server() -> None:
    """Guards against connections beyond the limit of all gateways together."""
    clock = clock_lib.SystemClock()
    state = gateway_builders.gateway_state(clock)
    state.apply_table(gateway_builders.routing_table())
    state.fleet.put(gateway_builders.backend_server())
    now_s = clock.monotonic()
    report = load.PeerLoad(100, 0, now_s + 1.5, now_s - 1.0)
    state.loads.for_server("i-1").note_peer_load("g2", report, now_s)
    state.even_load.mode = evenload.Mode.ON
    query = placementquery.from_fields(
        {
            "host": gateway_builders.HOST,
            "path": "/question/1",
            "workspace": "growers",
            "model": "m1",
        },
        ("aa:200", "bb:100"),
    )
    result = placementpreview.preview(state, query)
    assert (result["verdict"], result["servers"]) == ("refused", [])
