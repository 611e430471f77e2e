"""Synthetic traffic: nested prompt prefixes, Zipf callers, hot prefixes."""

from __future__ import annotations

import bisect
import dataclasses
import itertools
import math
import random
from collections.abc import Sequence

import xxhash

from bench import assumptions
from hibiscusstile import identity
from hibiscusstile import request as request_lib

__all__ = [
    "MODEL",
    "Arrival",
    "Request",
    "TrafficSource",
    "engine_seconds",
    "ideal_cached_tokens",
    "schedule_arrivals",
]

MODEL = "m1"
_WEIGHTS = "v1"
_REQUIRED_HIT_SHARE = 0.9  # of the ideal hit rate, by the design page


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A synthetic request.

    Attributes:
        work: Properties that routing and admission use.
        salt: Salt of the cache scope.
        output_tokens: Number of tokens that the engine generates.
        group: Origin for the measurement: `base`, `flood` or `large`.
    """

    work: request_lib.WorkItem
    salt: str
    output_tokens: int
    group: str


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A request with its time of arrival at the load balancer."""

    request: Request
    arrival_s: float


class _ZipfSampler:
    """Draws index i with probability proportional to 1 / (1 + i)^exponent."""

    def __init__(self, size: int, exponent: float) -> None:
        weights = ((1 + i) ** -exponent for i in range(size))
        self._cumulative = list(itertools.accumulate(weights))

    def draw(self, rng: random.Random) -> int:
        """Returns a random index."""
        return bisect.bisect_left(
            self._cumulative, rng.random() * self._cumulative[-1]
        )


class TrafficSource:
    """Generates requests of a fleet; the same seed gives the same requests.

    Args:
        fleet: The fleet's configuration.
        seed: Seed of the random generator.
        id_prefix: Prefix of the work ids, unique to each source of a run.
    """

    def __init__(
        self, fleet: assumptions.Fleet, seed: int | str, id_prefix: str = "r"
    ) -> None:
        self._fleet = fleet
        self._id_prefix = id_prefix
        self._rng = random.Random(seed)
        traffic = fleet.traffic
        self._members = [
            _ZipfSampler(size, traffic.member_zipf)
            for size in traffic.workspace_members
        ]
        self._callers = _ZipfSampler(traffic.callers, traffic.caller_zipf)
        self._request_numbers = itertools.count()
        self._hot_members: list[tuple[int, int]] = []
        self.change_hot_prefixes()

    def change_hot_prefixes(self) -> None:
        """Selects other members as the hot ones."""
        self._hot_members = []
        for _ in range(self._fleet.traffic.hot_prefixes):
            workspace = self._draw_workspace()
            size = self._fleet.traffic.workspace_members[workspace]
            self._hot_members.append((workspace, self._rng.randrange(size)))

    def draw(
        self,
        *,
        group: str = "base",
        rank: str = "",
        hot_share: float | None = None,
        caller: tuple[int, str] | None = None,
    ) -> Request:
        """Returns the next request.

        Args:
            group: Origin for the measurement.
            rank: Rank of the request; random if empty.
            hot_share: Probability of a hot prefix; the fleet's if None.
            caller: Workspace index and caller; random if None.
        """
        rng = self._rng
        traffic = self._fleet.traffic
        share = traffic.hot_share if hot_share is None else hot_share
        rank = rank or self._draw_rank()
        if caller is None and rng.random() < share:
            workspace, member = rng.choice(self._hot_members)
            omits_member = False
        else:
            workspace = caller[0] if caller else self._draw_workspace()
            member = self._members[workspace].draw(rng)
            shape = self._fleet.ranks[rank]
            omits_member = rng.random() < shape.general_share
        caller_name = caller[1] if caller else f"c{self._callers.draw(rng)}"
        return self._build_request(
            workspace,
            None if omits_member else member,
            rank,
            caller_name,
            group,
        )

    def _draw_rank(self) -> str:
        point = self._rng.random()
        for name, shape in self._fleet.ranks.items():
            point -= shape.share
            if point < 0:
                return name
        return next(iter(self._fleet.ranks))

    def _draw_workspace(self) -> int:
        weights = self._fleet.traffic.workspace_weights
        return self._rng.choices(range(len(weights)), weights)[0]

    def _build_request(
        self,
        workspace: int,
        member: int | None,
        rank: str,
        caller: str,
        group: str,
    ) -> Request:
        shape = self._fleet.ranks[rank]
        traffic = self._fleet.traffic
        scope = identity.CacheScope(f"ws{workspace}", MODEL, "", _WEIGHTS)
        number = next(self._request_numbers)
        level_sizes = [("instructions", traffic.instruction_tokens)]
        level_sizes.append(
            ("tenant", _level_size("tenant", scope, traffic.tenant_tokens))
        )
        if member is not None:
            if shape.reads_dossier:
                name = f"dossier{member // traffic.members_per_dossier}"
                sizes = traffic.dossier_tokens
            else:
                name = f"history{member}"
                sizes = traffic.history_tokens
            level_sizes.append((name, _level_size(name, scope, sizes)))
        question = self._rng.randint(*shape.question_tokens)
        level_sizes.append((f"question{self._id_prefix}{number}", question))
        levels = _prefix_levels(scope.seed, level_sizes)
        output_tokens = self._rng.randint(*shape.output_tokens)
        work = request_lib.WorkItem(
            f"{self._id_prefix}{number}",
            scope.workspace,
            caller,
            rank,
            MODEL,
            "",
            levels,
            levels[-1].tokens,
            shape.output_tokens[1],
        )
        return Request(work, scope.salt, output_tokens, group)


def _level_size(
    name: str, scope: identity.CacheScope, sizes: tuple[int, int]
) -> int:
    point = xxhash.xxh3_64_intdigest(name.encode(), seed=scope.seed)
    return sizes[0] + point % (sizes[1] - sizes[0] + 1)


def _prefix_levels(
    seed: int, level_sizes: Sequence[tuple[str, int]]
) -> tuple[request_lib.PrefixLevel, ...]:
    digest, tokens = seed, 0
    levels = []
    for name, size in level_sizes:
        digest = xxhash.xxh3_64_intdigest(name.encode(), seed=digest)
        tokens += size
        levels.append(request_lib.PrefixLevel(digest, tokens))
    return tuple(levels)


def ideal_cached_tokens(
    requests: Sequence[Request], block_tokens: int
) -> list[int]:
    """Returns the tokens that an unlimited cache would hold of each request."""
    seen: set[tuple[str, int]] = set()
    cached = []
    for request in requests:
        cached_tokens = 0
        for level in request.work.levels:
            key = (request.salt, level.digest)
            if key in seen:
                cached_tokens = level.tokens
            seen.add(key)
        cached.append(cached_tokens // block_tokens * block_tokens)
    return cached


def engine_seconds(
    fleet: assumptions.Fleet, requests: Sequence[Request]
) -> list[float]:
    """Returns the engine time of each request at the required hit rate."""
    engine = fleet.engine
    prefill_s = (
        1 / engine.prefill_tokens_per_s
        + engine.step_s / engine.prefill_chunk_tokens
    )
    decode_s = engine.step_s / engine.batch + engine.decode_s
    return [
        (request.work.prompt_tokens - _REQUIRED_HIT_SHARE * cached) * prefill_s
        + request.output_tokens * decode_s
        for request, cached in zip(
            requests,
            ideal_cached_tokens(requests, engine.block_tokens),
            strict=True,
        )
    ]


def schedule_arrivals(
    fleet: assumptions.Fleet,
    requests: Sequence[Request],
    rng: random.Random,
    rate: float,
    start_s: float = 0.0,
) -> list[Arrival]:
    """Assigns Poisson arrivals with a mean rate per second to the requests.

    The rate follows a sine wave, which models busy and quiet terms.
    """
    traffic = fleet.traffic
    arrival_s = start_s
    result = []
    for request in requests:
        phase = math.sin(2 * math.pi * arrival_s / traffic.term_period_s)
        current_rate = rate * (1 + traffic.term_amplitude * phase)
        arrival_s += rng.expovariate(current_rate)
        result.append(Arrival(request, round(arrival_s, 6)))
    return result
