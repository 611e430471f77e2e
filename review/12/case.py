"""A part of long prompts that crashes each runner that begins on it."""

from __future__ import annotations

import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / "common-3"))

import crashing
import engines
import harness

# Blocks of 16 tokens, in which musgolap's engines keep their memory; a prompt
# of 17,020 tokens, as a dossier there has, is 1,063 of them.
PART_TOKENS = 16
SHARED = tuple(
    f"{each:08x}" for each in range(int(os.environ.get("PARTS", "1062")))
)


def _make_prompt(name: str, number: int, marked: str) -> crashing.Headers:
    del number
    return crashing.prompt(name, engines.MODEL, SHARED, marked, PART_TOKENS)


async def main(world: harness.World) -> int:
    """Returns the exit code."""
    plan = crashing.Play(
        engine_count=6,
        gateway_count=2,
        models=(engines.MODEL,),
        make_prompt=_make_prompt,
        sound_per_s=6.0,
        bad_per_s=1.5,
        play_s=30.0,
    )
    return await crashing.play(world, plan)


if __name__ == "__main__":
    harness.run(__file__, main)
