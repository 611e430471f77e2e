"""Command line that runs one stand-in server.

`python -m hibiscusstile_standins --kind engine --port 0 ...` prints the port
as its first line of output and serves until SIGTERM or SIGINT.
"""

from __future__ import annotations

import argparse
import asyncio
import signal
import sys

import hibiscusstile_standins


def main(arguments: list[str]) -> None:
    """Runs the stand-in that `--kind` selects."""
    common_parser = argparse.ArgumentParser(add_help=False)
    common_parser.add_argument(
        "--kind",
        required=True,
        choices=hibiscusstile_standins.stand_ins.names,
    )
    common_parser.add_argument("--port", type=int, default=0)
    common_arguments, _ = common_parser.parse_known_args(arguments)
    stand_in_class = hibiscusstile_standins.get_stand_in_by_name(
        common_arguments.kind
    )
    parser = argparse.ArgumentParser(
        parents=[common_parser], description=__doc__
    )
    stand_in_class.add_arguments(parser)
    options = parser.parse_args(arguments)
    asyncio.run(
        _serve(stand_in_class.from_arguments(options), common_arguments.port)
    )


async def _serve(
    stand_in: hibiscusstile_standins.server.StandIn, port: int
) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    await stand_in.start(port)
    print(stand_in.port, flush=True)
    await stop.wait()
    await stand_in.close()


if __name__ == "__main__":
    main(sys.argv[1:])
