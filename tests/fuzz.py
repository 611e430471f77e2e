"""Runs the stateful tests with more steps: `make fuzz SEED=n STEPS=n`."""

from __future__ import annotations

import argparse
import os
import sys

import pytest

_FUZZ_MARK = "fuzz"


def main() -> int:
    """Runs all tests marked `fuzz` with the given seed and number of steps."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--steps", type=int, default=50)
    arguments = parser.parse_args()
    os.environ["HIBISCUSSTILE_FUZZ_STEPS"] = str(arguments.steps)
    print(f"fuzz seed={arguments.seed} steps={arguments.steps}", flush=True)
    return pytest.main(
        [
            *("-m", _FUZZ_MARK, "-p", "no:cacheprovider"),
            f"--hypothesis-seed={arguments.seed}",
        ]
    )


if __name__ == "__main__":
    sys.exit(main())
