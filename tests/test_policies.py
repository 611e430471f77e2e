"""Tests of the routing policies."""

from __future__ import annotations

import collections

import pytest

from hibiscusstile import options, outcome, policies, zonecost
from hibiscusstile.policies import prefixshares, split
from tests import builders


def _bidding(**values: object) -> policies.Policy:
    return policies.get_policy_by_name("bidding")(values)


def test_requests_that_share_a_prefix_have_the_same_home_runners() -> None:
    """Guards against hashing the whole prompt, which is unique."""
    fleet = builders.runner_views(20)
    first = builders.work_item_with_history("w1", question=1)
    second = builders.work_item_with_history("w2", question=2)
    homes = [
        [view.runner for view in _bidding().candidates(work, fleet)[:2]]
        for work in (first, second)
    ]
    assert homes[0] == homes[1]


def test_without_load_reports_the_least_loaded_candidate_varies() -> None:
    """Guards against load on one runner after a restart of all entries."""
    fleet = builders.runner_views(10)
    drawn = collections.Counter(
        _bidding()
        .candidates(
            builders.work_item_with_history(f"w{n}", question=n), fleet
        )[-1]
        .runner
        for n in range(500)
    )
    assert max(drawn.values()) < 150


def test_a_new_prefix_goes_to_its_first_home_runner() -> None:
    """Guards against cached blocks that no later request would use."""
    policy = _bidding()
    work = builders.work_item_with_history("w1")
    names = [v.runner for v in policy.candidates(work, builders.runner_views())]
    bids = [policies.Bid(name, prefill_s=0.2) for name in names[1:]]
    bids.append(policies.Bid(names[0], wait_s=0.05, prefill_s=0.2))
    choice = policy.choose(work, bids)
    assert choice is not None
    assert choice.runner == names[0]


def test_a_free_runner_is_preferred_to_a_busy_home_runner() -> None:
    """Guards against urgent requests that queue at a busy home runner."""
    policy = _bidding()
    work = builders.work_item_with_history("w1", rank="urgent")
    names = [v.runner for v in policy.candidates(work, builders.runner_views())]
    bids = [policies.Bid(names[0], wait_s=2.0)]
    bids += [policies.Bid(name, prefill_s=0.2) for name in names[1:]]
    choice = policy.choose(work, bids)
    assert choice is not None
    assert choice.runner != names[0]


@pytest.mark.parametrize("name", policies.policies.names)
def test_runners_that_refuse_are_not_selected(name: str) -> None:
    """Guards against sending a request to a runner that refused it."""
    policy = policies.get_policy_by_name(name)({})
    work = builders.work_item_with_history("w1")
    refusal = outcome.Reason.OVERLOADED
    bids = [
        policies.Bid("runner1", refusal=refusal),
        policies.Bid("runner2", wait_s=9.0),
    ]
    choice = policy.choose(work, bids)
    assert choice is not None
    assert choice.runner == "runner2"
    assert policy.choose(work, bids[:1]) is None
    assert policy.candidates(work, []) == []


def test_invalid_options_raise_an_error() -> None:
    """Guards against options that are silently ignored."""
    for values in ({"homes": 0}, {"recompute_weights": {"urgent": -1}}):
        with pytest.raises(options.OptionError):
            _bidding(**values)


def test_a_caller_always_gets_the_same_variant_of_a_split() -> None:
    """Guards against a caller whose requests alternate between variants."""
    record = builders.split_policy(share=0.25)
    variants = []
    for number in range(400):
        caller = f"c{number}"
        seen = {
            split.choose_variant(
                record, builders.work_item(f"{caller}.{n}", caller=caller)
            ).is_trial
            for n in range(3)
        }
        assert len(seen) == 1
        variants.append(seen.pop())
    assert 60 < sum(variants) < 140


def test_a_split_of_zero_or_one_is_exact() -> None:
    """Guards against stray requests before and after a rollout."""
    for share, expected in ((0.0, "bidding"), (1.0, "prefix_hash")):
        record = builders.split_policy(share=share)
        variant = split.choose_variant(record, builders.work_item())
        assert variant.algorithm == expected


def test_unlisted_zones_and_regions_cost_at_least_the_farthest() -> None:
    """Guards against preferring a distant peer that is not configured."""
    costs = zonecost.ZoneCosts("a", "r1", {"b": 0.003}, {"r2": 0.02})
    assert costs.cost_s("a", "r1") == 0.0
    assert costs.cost_s("b", "r1") == 0.003
    assert costs.cost_s("c", "r1") >= 0.003
    assert costs.cost_s("a", "r2") == 0.02
    assert costs.cost_s("a", "r3") > 0.02


def test_a_prefix_has_more_home_runners_while_it_is_hot() -> None:
    """Guards against queues for a hot prefix at two home runners."""
    policy = _bidding()
    fleet = builders.runner_views(12)
    hot = builders.work_item_with_history("hot")
    usual = len(policy.candidates(hot, fleet))
    for number in range(300):
        policy.candidates(builders.work_item_with_history(f"h{number}"), fleet)
    assert len(policy.candidates(hot, fleet)) > usual + 3
    for number in range(2000):
        policy.candidates(
            builders.work_item(
                f"w{number}", levels=builders.unshared_levels(number)
            ),
            fleet,
        )
    assert len(policy.candidates(hot, fleet)) <= usual


def test_prefix_shares_use_bounded_memory() -> None:
    """Guards against memory that grows with each new prefix."""
    shares = prefixshares.PrefixShares()
    for digest in range(20_000):
        shares.count_request(digest)
    assert len(shares) < 5000
