"""Selection for model engines by the expected cost of serving a request.

The cost of a server is the expected loss of value from a late first token,
plus the costs of the placement: bytes sent to another availability zone,
prompt parts computed again, and outdated weights.
"""

from __future__ import annotations

import dataclasses
import math
import random
from collections.abc import Sequence

import xxhash

from hibiscusstile import rendezvous
from hibiscusstile.gateway import enginerates, selection

__all__ = ["ExpectedFirstToken"]

# Value of an answer within its target, in the unit of the costs below.
_ON_TIME_VALUE = 3.0
# Logistic loss of value: the share of the target latency at which the expected
# loss is one half, and the width of the step.
_LATENESS_MIDPOINT = 0.7
_LATENESS_WIDTH = 0.12
# Current sites charge their users for shared tokens computed again, for bytes
# sent to another zone and for KV cache tokens moved, by the 1,000 tokens and by
# the MB.
_RECOMPUTE_COST_PER_TOKEN = 1.6e-3
# Probability that two processes have the same prompt computed concurrently.
_CONCURRENT_PREFILL_PROBABILITY = 0.02
_CROSS_ZONE_COST_PER_BYTE = 32e-6
_FETCH_COST_PER_TOKEN = 1.7e-5
# Size of a response body and of the headers of request and response.
_RESPONSE_BYTES = 2_500
# An answer on outdated weights loses a fifth of its value after 1.5 s.
_STALE_WEIGHTS_GRACE_S = 1.0
_STALE_VALUE_LOSS_IN_GRACE = 0.05
_STALE_VALUE_LOSS_AFTER_GRACE = 0.3
# Cost of a server that fails every request, in multiples of the value of an
# answer, which is lost.
_FAILURE_WEIGHT = 2.0
# Above this share of its memory, an engine preempts requests.
_MEMORY_PRESSURE_SHARE = 0.85
_MEMORY_PRESSURE_WEIGHT = 3.0
# Cost of a long prompt on an engine that is not preferred for long prompts. It
# is close to that of a late answer, since the prompt delays other requests.
_LONG_PROMPT_COST = 2.5
# Cost of a short prompt on an engine preferred for long ones, one of which may
# arrive and slow down the answer.
_SHORT_PROMPT_COST = 0.6
# Cost of a prompt that is not long, for each second of prefill work that waits
# at the engine.
_WAITING_PROMPT_COST_PER_S = 1.0
# Cost of a long prompt for each request that runs at the engine: its prefill
# delays their next events, which makes some of these answers late.
_DISTURBED_STREAM_COST = 0.25
# Share of a prefix's recent uses that is expected at one more engine with it.
_LATER_USES_SHARE = 0.1
# Relative loss of value for each multiple of the target latency: prefers the
# faster of servers that are equal otherwise.
_LATENCY_WEIGHT = 0.02


@selection.selections.register()
class ExpectedFirstToken(selection.Selection):
    """Selects by expected time to the first token and placement cost."""

    name = "expected_first_token"

    def select(
        self,
        context: selection.SelectionContext,
        candidates: Sequence[selection.Candidate],
    ) -> selection.SelectedServer | None:
        """Returns the server with the lowest cost that starts in time."""
        in_time = [
            each
            for each in self._evaluate_all(context, candidates)
            if each.expected_s <= each.candidate.start_within_s
        ]
        if context.spread and len(in_time) > 1:
            return _draw(in_time, context.spread)
        return min(in_time, key=lambda each: each.cost, default=None)

    def rate(
        self,
        context: selection.SelectionContext,
        candidates: Sequence[selection.Candidate],
    ) -> list[selection.SelectedServer]:
        """Returns the estimates for each server, lowest cost first."""
        return sorted(
            self._evaluate_all(context, candidates),
            key=lambda each: each.cost,
        )

    def _evaluate_all(
        self,
        context: selection.SelectionContext,
        candidates: Sequence[selection.Candidate],
    ) -> list[selection.SelectedServer]:
        home_id = _home_server(context, candidates)
        shared_tokens = sum(
            part.tokens for part in context.request.shared_parts
        )
        return [
            self._evaluate(context, candidate, home_id, shared_tokens)
            for candidate in candidates
        ]

    def _evaluate(
        self,
        context: selection.SelectionContext,
        candidate: selection.Candidate,
        home_id: str,
        shared_tokens: int,
    ) -> selection.SelectedServer:
        parts = context.request.parts
        cached_tokens = candidate.load.cached_tokens(
            candidate.cache_salt, parts
        )
        fetched_tokens = max(0, candidate.stored_tokens - cached_tokens)
        uncached_tokens = max(
            0, context.request.prompt_tokens - cached_tokens - fetched_tokens
        )
        work = enginerates.FirstTokenWork(
            candidate.running,
            candidate.waiting_tokens,
            uncached_tokens,
            context.request.prompt_tokens,
            fetched_tokens,
        )
        latency_ratio = candidate.load.latency_ratio
        unloaded_s = latency_ratio * context.rates.expected_s(
            dataclasses.replace(work, running=0, queued_tokens=0)
        )
        expected_s = _slot_wait_s(candidate) + (
            latency_ratio * context.rates.expected_s(work)
        )
        cost = _ON_TIME_VALUE * _lateness_cost(
            expected_s / context.target_latency_s
        )
        cost += _placement_cost(context, candidate)
        cost += fetched_tokens * _FETCH_COST_PER_TOKEN
        if uncached_tokens > context.long_prompt_tokens:
            if not candidate.takes_long_prompts:
                cost += _LONG_PROMPT_COST
            if context.spread:
                cost += _DISTURBED_STREAM_COST * candidate.running
        else:
            if (
                candidate.takes_long_prompts
                and context.request.prompt_tokens <= context.long_prompt_tokens
            ):
                cost += _SHORT_PROMPT_COST
            waiting = candidate.waiting_tokens
            cost += (
                _WAITING_PROMPT_COST_PER_S
                * waiting
                / context.rates.prefill_tokens_per_s
            )
        recomputed_tokens = max(
            0,
            candidate.recently_prefilled_tokens
            - cached_tokens
            - fetched_tokens,
        )
        # A part that is used often is computed once for many later requests,
        # so a hot prefix gets another engine before it overruns the first.
        cost += (
            recomputed_tokens
            * _RECOMPUTE_COST_PER_TOKEN
            / max(1.0, candidate.recent_uses * _LATER_USES_SHARE)
        )
        if candidate.server.server_id != home_id:
            # Another process may be sending the same prefix to its home server.
            uncomputed_tokens = max(
                0,
                shared_tokens
                - recomputed_tokens
                - cached_tokens
                - fetched_tokens,
            )
            cost += (
                uncomputed_tokens
                * _RECOMPUTE_COST_PER_TOKEN
                * _CONCURRENT_PREFILL_PROBABILITY
            )
        return selection.SelectedServer(
            candidate,
            expected_s,
            cached_tokens + fetched_tokens,
            cost,
            unloaded_s,
            work,
        )


def _draw(
    options: Sequence[selection.SelectedServer], spread: float
) -> selection.SelectedServer:
    """Returns a server at random, cheaper ones more often.

    Gateways with the same old knowledge then do not all select the same one.
    """
    lowest = min(each.cost for each in options)
    weights = [math.exp((lowest - each.cost) / spread) for each in options]
    return random.choices(options, weights)[0]


def _slot_wait_s(candidate: selection.Candidate) -> float:
    """Returns the expected time until the engine has a free slot."""
    slots = max(1, candidate.server.slots)
    queued_requests = max(0, candidate.running + 1 - slots)
    return candidate.load.mean_stream_duration_s * queued_requests / slots


def _lateness_cost(share: float) -> float:
    """Returns the expected loss of an answer's value, as a share of it.

    Args:
        share: Expected time to the first token, divided by the target.
    """
    exponent = (_LATENESS_MIDPOINT - share) / _LATENESS_WIDTH
    lateness = 1 / (1 + math.exp(min(50.0, exponent)))
    # Past the target, a sooner answer is still better.
    return lateness + _LATENCY_WEIGHT * share


def _placement_cost(
    context: selection.SelectionContext, candidate: selection.Candidate
) -> float:
    cost = candidate.failure_rate * _FAILURE_WEIGHT * _ON_TIME_VALUE
    if candidate.server.zone != context.zone:
        transferred_bytes = len(context.request.body) + _RESPONSE_BYTES
        cost += transferred_bytes * _CROSS_ZONE_COST_PER_BYTE
    if candidate.weights_lag_s > _STALE_WEIGHTS_GRACE_S:
        cost += _STALE_VALUE_LOSS_AFTER_GRACE * _ON_TIME_VALUE
    elif candidate.weights_lag_s > 0:
        cost += _STALE_VALUE_LOSS_IN_GRACE * _ON_TIME_VALUE
    if candidate.cache_tokens:
        requested_tokens = (
            context.request.prompt_tokens + context.request.max_output_tokens
        )
        used_share = (candidate.load.memory_tokens + requested_tokens) / float(
            candidate.cache_tokens
        )
        cost += (
            max(0.0, used_share - _MEMORY_PRESSURE_SHARE)
            * _MEMORY_PRESSURE_WEIGHT
        )
        if candidate.running >= max(1, candidate.server.slots):
            cost += _ON_TIME_VALUE
    return cost


def _home_server(
    context: selection.SelectionContext,
    candidates: Sequence[selection.Candidate],
) -> str:
    """Returns the id of the home server of a prompt.

    Rendezvous hashing of the shared prefix ranks this server first, so that all
    processes of a zone with the same candidates get the same one. Returns an
    empty string if the prompt has no shared prefix.
    """
    parts = context.request.shared_parts
    if not parts:
        return ""
    if context.request.prompt_tokens > context.long_prompt_tokens:
        long_prompt_servers = [
            each for each in candidates if each.takes_long_prompts
        ]
        candidates = long_prompt_servers or candidates
    local = [
        candidate.server.server_id
        for candidate in candidates
        if candidate.server.zone == context.zone
    ]
    server_ids = local or [each.server.server_id for each in candidates]
    key = xxhash.xxh3_64_intdigest(parts[-1].part_id.encode())
    return rendezvous.top_nodes(key, server_ids, 1)[0]
