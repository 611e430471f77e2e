"""Checks that the cache view never overstates a simulated engine cache."""

from __future__ import annotations

import hypothesis
import hypothesis.strategies as st
import pytest
from hypothesis import stateful

from hibiscusstile import backends, cacheview
from tests import builders

_PROMPTS = st.integers(0, 5)
_SALTS = st.sampled_from(["growers/v1", "keepers/v1", "growers/v2"])


class CacheViewMachine(stateful.RuleBasedStateMachine):
    """Interleaves restarts, evictions and rollouts with late or lost events."""

    def __init__(self) -> None:
        super().__init__()
        self._view = cacheview.CacheView()
        self._engine = builders.ReferenceCache(block_tokens=16)
        self._view.reset(self._engine.incarnation)
        self._in_flight: list[tuple[str, str, int]] = []
        self._undelivered: list[backends.CacheEvents] = []

    @stateful.rule(salt=_SALTS, prompt=_PROMPTS)
    def start(self, salt: str, prompt: int) -> None:
        """The engine starts a prompt; its first token arrives later."""
        self._in_flight.append((self._engine.incarnation, salt, prompt))

    @stateful.precondition(lambda self: self._in_flight)
    @stateful.rule(index=st.integers(0, 100))
    def first_token(self, index: int) -> None:
        """A first token arrives, possibly after its engine has crashed."""
        incarnation, salt, prompt = self._in_flight.pop(
            index % len(self._in_flight)
        )
        levels = builders.nested_levels(salt, prompt)
        if incarnation == self._engine.incarnation:
            self._engine.store(salt, levels)
        self._view.admit(incarnation, salt, levels)

    @stateful.rule(salt=_SALTS, prompt=_PROMPTS)
    def serve(self, salt: str, prompt: int) -> None:
        """The engine computes a prompt immediately."""
        levels = builders.nested_levels(salt, prompt)
        self._engine.store(salt, levels)
        self._view.admit(self._engine.incarnation, salt, levels)

    @stateful.rule(count=st.integers(1, 4))
    def evict(self, count: int) -> None:
        """The engine evicts blocks under memory pressure."""
        self._engine.evict(count)

    @stateful.rule(mask=st.sampled_from([255, 255, 254, 170, 85, 0]))
    def publish(self, mask: int) -> None:
        """The engine sends an event batch; masked events are lost."""
        self._undelivered.append(self._engine.take_events(mask))

    @stateful.precondition(lambda self: self._undelivered)
    @stateful.rule(index=st.integers(0, 100), again=st.booleans())
    def deliver(self, index: int, again: bool) -> None:
        """A batch arrives, in any order and possibly again later."""
        batch = self._undelivered[index % len(self._undelivered)]
        if not again:
            self._undelivered.remove(batch)
        self._view.apply(batch)
        self._engine.note_delivered(batch)

    @stateful.rule()
    def crash(self) -> None:
        """The engine restarts empty under an incarnation the view learns."""
        self._engine.crash()
        self._view.reset(self._engine.incarnation)

    @stateful.invariant()
    def never_overstates(self) -> None:
        """Counts only prefixes that this incarnation cached for the salt."""
        for salt in ("growers/v1", "keepers/v1", "growers/v2"):
            for prompt in range(6):
                levels = builders.nested_levels(salt, prompt)
                reported = self._view.cached_tokens(salt, levels)
                assert reported <= self._engine.max_cached_tokens(salt, levels)


TestCacheView = pytest.mark.fuzz(CacheViewMachine.TestCase)
TestCacheView.settings = hypothesis.settings(
    max_examples=300,
    stateful_step_count=max(
        50, hypothesis.settings.default.stateful_step_count
    ),
)
