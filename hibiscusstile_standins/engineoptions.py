"""Options of the stand-in engine and its record of an attempt."""

from __future__ import annotations

import argparse
import dataclasses
from typing import Any

from hibiscusstile_standins import batching

__all__ = [
    "EngineOptions",
    "EngineRun",
    "add_arguments",
    "end_event",
    "from_arguments",
]

_CRASH_MARK = "CRASH-THE-ENGINE"


@dataclasses.dataclass(frozen=True, slots=True)
class EngineOptions:
    """Speed, cache size and faults of an engine.

    Attributes:
        batch: Speed and limits of the batch.
        max_blocks: Capacity of the prefix cache in blocks.
        block_tokens: Size of a cache block in tokens.
        event_lag_s: Delay of published cache events.
        event_loss: Probability that a cache event is dropped, 0 to 1.
        load_lag_s: Delay of the reported load.
        checks_fencing: Whether orders with an older fencing number are
            refused.
        crash_mark: Prompts that contain this text crash the engine.
        restart_s: Downtime after such a crash.
    """

    batch: batching.BatchOptions = dataclasses.field(
        default_factory=batching.BatchOptions
    )
    max_blocks: int = 4000
    block_tokens: int = 2048
    event_lag_s: float = 0.05
    event_loss: float = 0.0
    load_lag_s: float = 0.25
    checks_fencing: bool = True
    crash_mark: str = _CRASH_MARK
    restart_s: float = 0.5


@dataclasses.dataclass(slots=True)
class EngineRun:
    """Record of one accepted attempt.

    Attributes:
        attempt_id: The router's id of the attempt.
        model: The model that was loaded.
        weights_version: Version of the weights that were loaded.
        cache_salt: The request's `cache_salt`.
        priority: The request's priority.
        prompt_tokens: Length of the prompt.
        cached_tokens: Prompt tokens found in the cache; -1 before the lookup.
        words: Number of words sent.
        ended: `running`, `end`, `cancelled`, `dropped` (the caller
            disconnected) or `crashed`.
    """

    attempt_id: str
    model: str
    weights_version: str
    cache_salt: str
    priority: int
    prompt_tokens: int
    cached_tokens: int = -1
    words: int = 0
    ended: str = "running"


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the engine options to a command-line parser."""
    parser.add_argument("--max-blocks", type=int, default=4000)
    parser.add_argument("--block-tokens", type=int, default=2048)
    parser.add_argument("--prefill", type=float, default=50_000.0)
    parser.add_argument("--step", type=float, default=0.002)
    parser.add_argument("--event-lag", type=float, default=0.05)
    parser.add_argument("--event-loss", type=float, default=0.0)
    parser.add_argument("--load-lag", type=float, default=0.25)
    parser.add_argument("--restart", type=float, default=0.5)
    parser.add_argument("--unfenced", action="store_true")


def from_arguments(arguments: argparse.Namespace) -> EngineOptions:
    """Returns the engine options from parsed arguments."""
    return EngineOptions(
        batch=batching.BatchOptions(
            prefill_tokens_per_s=arguments.prefill, step_s=arguments.step
        ),
        max_blocks=arguments.max_blocks,
        block_tokens=arguments.block_tokens,
        event_lag_s=arguments.event_lag,
        event_loss=arguments.event_loss,
        load_lag_s=arguments.load_lag,
        checks_fencing=not arguments.unfenced,
        restart_s=arguments.restart,
    )


def end_event(run: EngineRun, completion_tokens: int) -> dict[str, Any]:
    """Returns the last event of a run's stream."""
    return {
        "event": "end",
        "finish_reason": "length",
        "prompt_tokens": run.prompt_tokens,
        "cached_tokens": run.cached_tokens,
        "completion_tokens": completion_tokens,
    }
