"""A prompt part that crashes runners, in requests for several models."""

from __future__ import annotations

import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / "common-3"))

import crashing
import harness

MODELS = tuple(
    f"m{each}" for each in range(1, int(os.environ.get("MODELS", "10")) + 1)
)
SHARED = ("5c1e07a2", "91bd3f06", "e4402b7d")
PART_TOKENS = 300


def _make_prompt(name: str, number: int, marked: str) -> crashing.Headers:
    model = MODELS[number % len(MODELS)]
    return crashing.prompt(name, model, SHARED, marked, PART_TOKENS)


async def main(world: harness.World) -> int:
    """Returns the exit code."""
    plan = crashing.Play(
        engine_count=6,
        gateway_count=2,
        models=MODELS,
        make_prompt=_make_prompt,
        sound_per_s=6.0,
        bad_per_s=1.5,
        play_s=30.0,
    )
    return await crashing.play(world, plan)


if __name__ == "__main__":
    harness.run(__file__, main)
