"""Silences of a backend server while it works on a request."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Callable
from typing import TypeAlias

__all__ = ["BEFORE_HEAD", "PLACES", "Silences", "draw_silences"]

_Places: TypeAlias = Callable[[random.Random, int, int], tuple[int, ...]]
# Place of a silence before the head. A place above it is the number of the
# event before which the server is silent; the number after the last event
# stands for the end of the stream.
BEFORE_HEAD = 0
PLACES: dict[str, _Places] = {}


@dataclasses.dataclass(frozen=True, slots=True)
class Silences:
    """When and how long a server sends nothing during one response.

    Attributes:
        lengths_s: Length of each silence by its place.
        comments: Whether comments are sent meanwhile.
    """

    lengths_s: dict[int, float]
    comments: bool = False

    @property
    def total_s(self) -> float:
        """Length of all silences together."""
        return sum(self.lengths_s.values())


def _places(function: _Places) -> _Places:
    PLACES[function.__name__] = function
    return function


@_places
def before_head(rng: random.Random, first: int, last: int) -> tuple[int, ...]:
    """Returns the place before the head."""
    del rng, first, last
    return (BEFORE_HEAD,)


@_places
def before_first_event(
    rng: random.Random, first: int, last: int
) -> tuple[int, ...]:
    """Returns the place between the head and the first event."""
    del rng, last
    return (first,)


@_places
def between_events(
    rng: random.Random, first: int, last: int
) -> tuple[int, ...]:
    """Returns a place between two events, or the end if there are none."""
    return (rng.randint(first + 1, last) if first < last else last + 1,)


@_places
def before_end(rng: random.Random, first: int, last: int) -> tuple[int, ...]:
    """Returns the place between the last event and the end."""
    del rng, first
    return (last + 1,)


@_places
def twice(rng: random.Random, first: int, last: int) -> tuple[int, ...]:
    """Returns two places of one response."""
    return tuple(rng.sample((BEFORE_HEAD, *range(first, last + 2)), 2))


def draw_silences(
    rng: random.Random,
    first: int,
    last: int,
    bounds_s: tuple[float, float],
    share: float,
) -> Silences:
    """Returns the silences of one response.

    Args:
        rng: Random numbers of the response.
        first: Number of the first event that is sent.
        last: Number of the last event of the stream.
        bounds_s: Shortest and longest time of all silences together.
        share: Share of responses that have a silence.
    """
    if rng.random() >= share:
        return Silences({})
    places = PLACES[rng.choice(sorted(PLACES))](rng, first, last)
    length_s = rng.uniform(*bounds_s) / len(places)
    return Silences(dict.fromkeys(places, length_s), rng.random() < 0.3)
