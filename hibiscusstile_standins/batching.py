"""Continuous batching scheduler of the stand-in engine."""

from __future__ import annotations

import asyncio
import dataclasses
import heapq
import itertools
from collections.abc import Callable
from typing import Any

__all__ = ["BatchOptions", "BatchScheduler", "Sequence"]


@dataclasses.dataclass(frozen=True, slots=True)
class BatchOptions:
    """Speed and limits of an engine's batch.

    Attributes:
        prefill_tokens_per_s: Prefill throughput of the whole batch.
        step_s: Base duration of a step that decodes.
        step_s_per_sequence: Time that each decoding sequence adds to a step.
        max_sequences: Maximum number of sequences in the batch.
        chunk_tokens: Maximum number of prefill tokens in one step.
    """

    prefill_tokens_per_s: float = 50_000.0
    step_s: float = 0.002
    step_s_per_sequence: float = 0.00005
    max_sequences: int = 64
    chunk_tokens: int = 2048


@dataclasses.dataclass(slots=True)
class Sequence:
    """Generation state of one request.

    Attributes:
        attempt_id: The router's id of the attempt.
        priority: Lower numbers are scheduled first.
        output_words: The complete output, one token per word.
        next_word_index: Index of the next word to generate.
        remaining_prefill_tokens: Prompt tokens still to compute.
        events: Events for the response stream. The last one is `end`, or
            None if generation stopped early.
        on_prefilled: Called when prefill is complete; returns the `started`
            event.
        started: Whether prefill is complete.
    """

    attempt_id: str
    priority: int
    output_words: list[str]
    next_word_index: int
    remaining_prefill_tokens: int
    events: asyncio.Queue[dict[str, Any] | None]
    on_prefilled: Callable[[], dict[str, Any]]
    started: bool = False


class BatchScheduler:
    """Schedules sequences into one batch, the lowest priority number first.

    Sequences of equal priority are scheduled in order of arrival.

    Args:
        options: Speed and limits of the batch.
        thawed: Cleared while the engine is frozen.
    """

    def __init__(self, options: BatchOptions, thawed: asyncio.Event) -> None:
        self._options = options
        self._thawed = thawed
        self._waiting: list[tuple[int, int, Sequence]] = []
        self._running: list[Sequence] = []
        self._arrival_numbers = itertools.count()
        self._has_work = asyncio.Event()

    @property
    def running(self) -> int:
        """Number of sequences in the batch."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Number of sequences that wait to enter the batch."""
        return len(self._waiting)

    @property
    def prefill_tokens(self) -> int:
        """Prompt tokens still to compute."""
        waiting = sum(
            each.remaining_prefill_tokens for _, _, each in self._waiting
        )
        return waiting + sum(
            each.remaining_prefill_tokens for each in self._running
        )

    def add(self, sequence: Sequence) -> None:
        """Queues a sequence for the batch."""
        heapq.heappush(
            self._waiting,
            (sequence.priority, next(self._arrival_numbers), sequence),
        )
        self._has_work.set()

    def remove(self, sequence: Sequence) -> None:
        """Stops a sequence early; has no effect on one that has ended."""
        self._waiting = [w for w in self._waiting if w[2] is not sequence]
        heapq.heapify(self._waiting)
        self._running = [r for r in self._running if r is not sequence]
        sequence.events.put_nowait(None)

    def clear(self) -> None:
        """Stops all sequences early."""
        for sequence in [*self._running, *(w[2] for w in self._waiting)]:
            sequence.events.put_nowait(None)
        self._running.clear()
        self._waiting.clear()

    async def run(self) -> None:
        """Runs the step loop until cancelled."""
        while True:
            await self._has_work.wait()
            self._admit_waiting()
            if not self._running:
                self._has_work.clear()
                continue
            prefill_plan = self._plan_prefill()
            await asyncio.sleep(self._step_duration_s(prefill_plan))
            await self._thawed.wait()
            self._finish_step(prefill_plan)

    def _admit_waiting(self) -> None:
        while (
            self._waiting and len(self._running) < self._options.max_sequences
        ):
            self._running.append(heapq.heappop(self._waiting)[2])
        self._running.sort(key=lambda each: each.priority)

    def _plan_prefill(self) -> list[tuple[Sequence, int]]:
        plan = []
        budget = self._options.chunk_tokens
        for sequence in self._running:
            tokens = min(budget, sequence.remaining_prefill_tokens)
            if tokens or not sequence.started:
                plan.append((sequence, tokens))
            budget -= tokens
        return plan

    def _step_duration_s(
        self, prefill_plan: list[tuple[Sequence, int]]
    ) -> float:
        tokens = sum(each for _, each in prefill_plan)
        decoding = sum(each.started for each in self._running)
        return (
            tokens / self._options.prefill_tokens_per_s
            + (self._options.step_s if decoding else 0.0)
            + decoding * self._options.step_s_per_sequence
        )

    def _finish_step(self, prefill_plan: list[tuple[Sequence, int]]) -> None:
        decoding = [each for each in self._running if each.started]
        for sequence, tokens in prefill_plan:
            sequence.remaining_prefill_tokens -= tokens
            if (
                sequence.remaining_prefill_tokens == 0
                and sequence in self._running
            ):
                sequence.started = True
                sequence.events.put_nowait(sequence.on_prefilled())
        for sequence in decoding:
            self._decode(sequence)
        for sequence in [r for r in self._running if _is_complete(r)]:
            self._running.remove(sequence)
            sequence.events.put_nowait({"event": "end"})

    def _decode(self, sequence: Sequence) -> None:
        if not _is_complete(sequence):
            text = sequence.output_words[sequence.next_word_index]
            sequence.next_word_index += 1
            sequence.events.put_nowait({"event": "text", "text": text})


def _is_complete(sequence: Sequence) -> bool:
    return sequence.started and sequence.next_word_index >= len(
        sequence.output_words
    )
