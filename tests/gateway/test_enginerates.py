"""Tests of the estimates of what engines need for a first token."""

from __future__ import annotations

import random

import pytest

from hibiscusstile.gateway import enginerates, loadtime

# Sizes of the parts of two engines: large and small memory for a token.
_ENGINES = (
    (22e-3, 1.5e-3, 1 / 50_700, 0.37e-9, 9.4e-6),
    (12e-3, 0.6e-3, 1 / 130_000, 0.1e-9, 1e-6),
)


def _random_work(numbers: random.Random) -> enginerates.FirstTokenWork:
    prompt = numbers.choice((300, 400, 2_400, 12_000, 17_000))
    return enginerates.FirstTokenWork(
        running=numbers.randrange(0, 20),
        queued_tokens=numbers.choice((0, 0, 400, 12_000)),
        uncached_tokens=int(prompt * numbers.choice((1.0, 0.3))),
        prompt_tokens=prompt,
    )


def _true_s(
    sizes: tuple[float, ...], work: enginerates.FirstTokenWork
) -> float:
    return sum(s * f for s, f in zip(sizes, work.factors, strict=True))


@pytest.mark.parametrize("engine", _ENGINES)
@pytest.mark.parametrize("share", [0.25, 0.5, 1.0, 2.0, 4.0])
def test_the_estimate_converges_from_a_wrong_prior(
    engine: tuple[float, ...], share: float
) -> None:
    """Guards against decisions by the data sheet of another engine.

    60 observations are a few seconds of a gateway's requests.
    """
    numbers = random.Random(1)
    rates = enginerates.EngineRates("s", [share * size for size in engine])
    for _ in range(60):
        work = _random_work(numbers)
        noise = numbers.lognormvariate(0.0, 0.2)
        rates.observe(work, _true_s(engine, work) * noise)
    for work in (
        enginerates.FirstTokenWork(uncached_tokens=400, prompt_tokens=400),
        enginerates.FirstTokenWork(10, 0, 17_000, 17_000),
        enginerates.FirstTokenWork(10, 12_000, 400, 400),
    ):
        assert rates.expected_s(work) == pytest.approx(
            _true_s(engine, work), rel=0.25
        )


def test_slow_engines_among_sound_ones_do_not_move_the_estimate_much() -> None:
    """Guards against an estimate that takes slow engines for the usual."""
    numbers = random.Random(2)
    rates = enginerates.EngineRates("s")
    for number in range(300):
        work = _random_work(numbers)
        slowness = 8.0 if number % 10 == 0 else 1.0
        rates.observe(work, slowness * _true_s(_ENGINES[0], work))
    work = enginerates.FirstTokenWork(5, 0, 17_000, 17_000)
    assert rates.expected_s(work) < 1.6 * _true_s(_ENGINES[0], work)


def test_an_estimate_stays_positive_and_bounded() -> None:
    """Guards against a division by zero after absurd observations."""
    rates = enginerates.EngineRates("s")
    work = enginerates.FirstTokenWork(1, 0, 400, 400)
    for elapsed_s in (0.0, -1.0, 1e9) * 100:
        rates.observe(work, elapsed_s)
    assert all(size > 0 for size in rates.sizes)
    assert rates.expected_s(work) < 10.0


def test_a_new_gateway_adopts_an_estimate_and_keeps_its_own_later() -> None:
    """Guards against a cold start, and against echoes between gateways."""
    sizes = _ENGINES[1]
    rates = enginerates.EngineRates("s")
    rates.adopt(sizes, 500)
    assert rates.sizes == pytest.approx(sizes)
    work = enginerates.FirstTokenWork(1, 0, 400, 400)
    for _ in range(30):
        rates.observe(work, 0.05)
    own = rates.sizes
    rates.adopt(_ENGINES[0], 10_000)
    assert rates.sizes == own
    rates.adopt((1.0,), 10_000)
    assert rates.sizes == own


def test_the_time_of_a_load_follows_what_was_seen() -> None:
    """Guards against waves of orders by another engine's time to load."""
    estimate = loadtime.LoadTime()
    for _ in range(12):
        estimate.observe(0.3)
    assert estimate.expected_s == pytest.approx(0.3, abs=0.02)
    estimate.observe(1e6)
    assert estimate.expected_s < 2.0
