"""Command line of the benchmark: runs scenarios for one seed and fleet.

Run as `python -m bench --seed N --fleet NAME --requests N`.
"""

from __future__ import annotations

import argparse
import sys

from bench import assumptions, report

__all__ = ["main"]


def main() -> int:
    """Prints the report as a table and, in the last line, as JSON."""
    parser = argparse.ArgumentParser(prog="bench", description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--fleet", choices=assumptions.fleet_names(), default="cooperativa"
    )
    parser.add_argument("--requests", type=int, default=4000)
    parser.add_argument(
        "--scenario",
        action="append",
        default=[],
        help="run only this scenario (repeatable)",
    )
    arguments = parser.parse_args()
    result = report.run(
        assumptions.load_fleet(arguments.fleet),
        arguments.seed,
        arguments.requests,
        tuple(arguments.scenario),
    )
    print(report.table(result))
    print(report.json_line(result))
    return 0


if __name__ == "__main__":
    sys.exit(main())
