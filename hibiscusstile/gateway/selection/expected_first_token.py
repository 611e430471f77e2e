"""Selection for model engines: where the first token is expected soonest."""

from __future__ import annotations

import xxhash
from collections.abc import Sequence

from hibiscusstile import rendezvous
from hibiscusstile.gateway import selection

__all__ = ["ExpectedFirstToken"]

# Prompt tokens that an engine computes in a second, and the attention time of
# 1e6 token pairs (the users' sheet of engines).
_PREFILL_TOKENS_PER_S = 50_700.0
_PAIR_S = 0.368e-9
# Set-up, the first decoding step and the network (the same sheet).
_BASE_S = 0.022
# What one running request adds to a decoding step, over the few steps that a
# prompt spends between its chunks.
_RUNNING_S = 0.0006
# Sending a byte to another zone counts as this much time: it is charged, and
# the charge is weighed against the value of an answer in time.
_REMOTE_S_PER_BYTE = 8e-6
_REMOTE_MIN_SHARE = 0.05
_REMOTE_MAX_SHARE = 0.4
# Bytes of an answer, as far as they are known before it comes.
_ANSWER_BYTES = 2_000
# Older weights cost a fifth of an answer's value after 1.5 s.
_BEHIND_GRACE_S = 1.0
_BEHIND_SOON_SHARE = 0.05
_BEHIND_LATE_SHARE = 0.4
# Share of the target that a server which fails every request is charged.
_FAILURE_SHARE = 4.0
# Memory beyond this share is short: requests get preempted.
_MEMORY_SHARE = 0.85
_MEMORY_S = 1.0
# A prompt that no server holds goes to the server that all processes rank
# first for it, unless another one is sooner by this share of its prefill.
_HOME_SHARE = 0.5


@selection.selections.register()
class ExpectedFirstToken(selection.Selection):
    """Selects by expected time to the first token and by the way's price."""

    name = "expected_first_token"

    def select(
        self, need: selection.Need, candidates: Sequence[selection.Candidate]
    ) -> selection.Selected:
        """Returns the server with the lowest cost."""
        home = self._home(need, candidates)
        best: selection.Selected | None = None
        best_cost = float("inf")
        for candidate in candidates:
            cached = candidate.load.cached_tokens(
                need.cache_salt, need.request.parts
            )
            expected_s = self._expected_s(need, candidate, cached)
            cost = expected_s + self._price_s(need, candidate)
            if not cached and candidate.server.server_id != home:
                shared = sum(part.tokens for part in need.request.parts[:-1])
                cost += _HOME_SHARE * shared / _PREFILL_TOKENS_PER_S
            if cost < best_cost:
                best_cost = cost
                best = selection.Selected(candidate, expected_s, cached)
        assert best is not None
        return best

    @staticmethod
    def _expected_s(
        need: selection.Need, candidate: selection.Candidate, cached: int
    ) -> float:
        load = candidate.load
        prompt = need.request.prompt_tokens
        own = max(0, prompt - cached)
        ahead = load.waiting_tokens(need.rank)
        compute_s = (ahead + own) / _PREFILL_TOKENS_PER_S
        compute_s += _PAIR_S * own * (cached + own / 2)
        return load.slowness * (
            _BASE_S + _RUNNING_S * load.running + compute_s
        )

    @staticmethod
    def _price_s(need: selection.Need, candidate: selection.Candidate) -> float:
        cost = candidate.failures * _FAILURE_SHARE * need.target_s
        if candidate.server.zone != need.zone:
            size = len(need.request.body) + _ANSWER_BYTES
            remote_s = (
                _REMOTE_MIN_SHARE * need.target_s + size * _REMOTE_S_PER_BYTE
            )
            cost += min(remote_s, _REMOTE_MAX_SHARE * need.target_s)
        if candidate.behind_s > _BEHIND_GRACE_S:
            cost += _BEHIND_LATE_SHARE * need.target_s
        elif candidate.behind_s > 0:
            cost += _BEHIND_SOON_SHARE * need.target_s
        if candidate.cache_tokens:
            asked = need.request.prompt_tokens + need.request.max_output_tokens
            used = (candidate.load.memory_tokens + asked) / float(
                candidate.cache_tokens
            )
            cost += max(0.0, used - _MEMORY_SHARE) * _MEMORY_S
            slots = max(1, candidate.server.slots)
            if candidate.load.running >= slots:
                cost += need.target_s
        return cost

    @staticmethod
    def _home(
        need: selection.Need, candidates: Sequence[selection.Candidate]
    ) -> str:
        parts = need.request.parts
        if len(parts) < 2:
            return ""
        near = [
            candidate.server.server_id
            for candidate in candidates
            if candidate.server.zone == need.zone
        ]
        names = near or [each.server.server_id for each in candidates]
        key = xxhash.xxh3_64_intdigest(parts[-2].part_id.encode())
        return rendezvous.top_nodes(key, names, 1)[0]
