"""Selection for model engines: the server that serves a request at least cost.

The cost of a server is the value that is at risk when the first token comes
late, and the price of the way: bytes to another availability zone, prompt
parts that are read again, and weights that were replaced.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

import xxhash

from hibiscusstile import rendezvous
from hibiscusstile.gateway import load as load_lib
from hibiscusstile.gateway import selection

__all__ = ["ExpectedFirstToken"]

# Prompt tokens that an engine computes in a second, and the attention time of
# a pair of tokens (the users' sheet of engines).
_PREFILL_TOKENS_PER_S = 50_700.0
_PAIR_S = 0.368e-9
# Time to fetch a token of KV cache over an engine's link, in its zone; twice
# that between zones (the same sheet).
_FETCH_S_PER_TOKEN = 9.4e-6
# Set-up, the first decoding step and the network (the same sheet).
_BASE_S = 0.022
# What one running request adds to the time to the first token.
_RUNNING_S = 0.0015
# Value of an answer in time, in the unit of the prices below.
_ANSWER_VALUE = 3.0
# Share of the target at which half of the value is at risk, and the width of
# the step.
_RISK_CENTRE = 0.7
_RISK_WIDTH = 0.12
# Prices as charged to the users of today's sites: 1,000 tokens of shared
# parts read again, 1 MB to another zone, 1,000 tokens of KV cache moved.
_REREAD_PER_TOKEN = 1.6e-3
# Chance that two processes read the same prompt at the same moment.
_RACE_SHARE = 0.02
_REMOTE_PER_BYTE = 32e-6
_FETCH_PER_TOKEN = 1.7e-5
# Bytes of an answer, and of the heads of both messages.
_ANSWER_BYTES = 2_500
# Older weights cost a fifth of an answer's value after 1.5 s.
_BEHIND_GRACE_S = 1.0
_BEHIND_SOON = 0.05
_BEHIND_LATE = 0.3
# Weight of a failing server: the value is lost.
_FAILURE_WEIGHT = 2.0
# Memory beyond this share is short: requests get preempted.
_MEMORY_SHARE = 0.85
_MEMORY_WEIGHT = 3.0
# Price of a long prompt on an engine that is kept for short ones: most of a
# late answer's, as it makes others late.
_LONG_ELSEWHERE = 2.5
# Price of a short request on an engine that long prompts go to: one may come
# before its answer has ended, and slow it down.
_SHORT_AMONG_LONG = 0.6
# Price of a short request for each second of prompts waiting at its engine.
_INTERFERENCE = 1.0
# Among equal servers the one with less to do is preferred by this much.
_SPREAD_WEIGHT = 0.02


@selection.selections.register()
class ExpectedFirstToken(selection.Selection):
    """Selects by expected time to the first token and by the way's price."""

    name = "expected_first_token"

    def select(
        self,
        context: selection.SelectionContext,
        candidates: Sequence[selection.Candidate],
    ) -> selection.SelectedServer:
        """Returns the server with the lowest cost."""
        home = _home(context, candidates)
        options = [
            self._weigh(context, candidate, home) for candidate in candidates
        ]
        return min(options, key=lambda each: each.cost)

    def _weigh(
        self,
        context: selection.SelectionContext,
        candidate: selection.Candidate,
        home: str,
    ) -> selection.SelectedServer:
        parts = context.request.parts
        cached = candidate.load.cached_tokens(candidate.cache_salt, parts)
        fetched = max(0, candidate.stored_tokens - cached)
        shared = sum(part.tokens for part in parts[:-1])
        own = max(0, context.request.prompt_tokens - cached - fetched)
        expected_s = self._expected_s(context, candidate, own, fetched)
        cost = _ANSWER_VALUE * _risk(expected_s / context.target_s)
        cost += _price(context, candidate)
        cost += fetched * _FETCH_PER_TOKEN
        if own > load_lib.LONG_PROMPT_TOKENS:
            if not candidate.takes_long_prompts:
                cost += _LONG_ELSEWHERE
        else:
            if (
                candidate.takes_long_prompts
                and context.request.prompt_tokens <= load_lib.LONG_PROMPT_TOKENS
            ):
                cost += _SHORT_AMONG_LONG
            waiting = candidate.waiting_tokens
            cost += _INTERFERENCE * waiting / _PREFILL_TOKENS_PER_S
        reread = max(0, candidate.recently_computed_tokens - cached - fetched)
        cost += reread * _REREAD_PER_TOKEN
        if candidate.server.server_id != home:
            # Another process may be about to read the prompt at its home.
            unread = max(0, shared - reread - cached - fetched)
            cost += unread * _REREAD_PER_TOKEN * _RACE_SHARE
        return selection.SelectedServer(
            candidate, expected_s, cached + fetched, cost
        )

    @staticmethod
    def _expected_s(
        context: selection.SelectionContext,
        candidate: selection.Candidate,
        own: int,
        fetched: int,
    ) -> float:
        load = candidate.load
        ahead = candidate.waiting_tokens
        compute_s = (ahead + own) / _PREFILL_TOKENS_PER_S
        compute_s += _PAIR_S * own * (context.request.prompt_tokens - own / 2)
        fetch_s = fetched * _FETCH_S_PER_TOKEN
        slots = max(1, candidate.server.slots)
        queued = max(0, candidate.running + 1 - slots)
        slot_s = load.hold_s * queued / slots
        return slot_s + load.slowness * (
            _BASE_S + _RUNNING_S * candidate.running + compute_s + fetch_s
        )


def _risk(share: float) -> float:
    """Returns the risk of an answer after its target.

    Args:
        share: Expected time over the target.
    """
    exponent = (_RISK_CENTRE - share) / _RISK_WIDTH
    late = 1 / (1 + math.exp(min(50.0, exponent)))
    # Beyond the target, sooner is still better.
    return late + _SPREAD_WEIGHT * share


def _price(
    context: selection.SelectionContext, candidate: selection.Candidate
) -> float:
    cost = candidate.failures * _FAILURE_WEIGHT * _ANSWER_VALUE
    if candidate.server.zone != context.zone:
        size = len(context.request.body) + _ANSWER_BYTES
        cost += size * _REMOTE_PER_BYTE
    if candidate.weights_lag_s > _BEHIND_GRACE_S:
        cost += _BEHIND_LATE * _ANSWER_VALUE
    elif candidate.weights_lag_s > 0:
        cost += _BEHIND_SOON * _ANSWER_VALUE
    if candidate.cache_tokens:
        asked = (
            context.request.prompt_tokens + context.request.max_output_tokens
        )
        used = (candidate.load.memory_tokens + asked) / float(
            candidate.cache_tokens
        )
        cost += max(0.0, used - _MEMORY_SHARE) * _MEMORY_WEIGHT
        if candidate.running >= max(1, candidate.server.slots):
            cost += _ANSWER_VALUE
    return cost


def _home(
    context: selection.SelectionContext,
    candidates: Sequence[selection.Candidate],
) -> str:
    """Returns the server that all processes rank first for a prompt."""
    parts = context.request.parts
    if len(parts) < 2:
        return ""
    if context.request.prompt_tokens > load_lib.LONG_PROMPT_TOKENS:
        long_ones = [each for each in candidates if each.takes_long_prompts]
        candidates = long_ones or candidates
    near = [
        candidate.server.server_id
        for candidate in candidates
        if candidate.server.zone == context.zone
    ]
    names = near or [each.server.server_id for each in candidates]
    key = xxhash.xxh3_64_intdigest(parts[-2].part_id.encode())
    return rendezvous.top_nodes(key, names, 1)[0]
