"""How a stand-in engine behaves, and its record of what it ran."""

from __future__ import annotations

import argparse
import dataclasses

from hibiscusstile_standins import batching

__all__ = ["EngineOptions", "EngineRun", "add_arguments", "from_arguments"]

_CRASH_MARK = "CRASH-THE-ENGINE"


@dataclasses.dataclass(frozen=True, slots=True)
class EngineOptions:
    """How an engine behaves.

    Attributes:
        speed: How fast it works.
        max_blocks: Cache blocks that fit in memory.
        block_tokens: Tokens of a cache block.
        event_lag_s: Seconds until cache events are published.
        event_loss: Share of cache events that are lost, 0 to 1.
        load_lag_s: Age of the load that is reported.
        checks_fencing: Whether it refuses an order with an older number.
        crash_mark: A prompt that contains it crashes the engine.
        restart_s: Seconds from such a crash to the engine's return.
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
    """What the engine did for one attempt.

    Attributes:
        attempt_id: The router's name for the attempt.
        model: The loaded model.
        weights_version: The loaded version.
        cache_salt: The request's salt.
        priority: The request's priority.
        prompt_tokens: Tokens of the prompt.
        cached_tokens: Prompt tokens taken from the cache; -1 before.
        words: Words sent.
        ended: `running`, `end`, `cancelled`, `dropped` or `crashed`.
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
    """Adds the options' command-line form."""
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
    """Returns the options given on the command line."""
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
