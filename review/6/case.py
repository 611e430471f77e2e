"""A request whose prompt has many parts crashes the runners that run it.

Exit code 1: ordinary requests had no answer half a second after the timeout of
their route. 0: they had. 2: the case could not run.
"""

from __future__ import annotations

import asyncio
import os
import pathlib
import sys
import time

import world2

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
PARTS = 1000
PART_TOKENS = 8
ROUTE_TIMEOUT_S = 2.0
GRACE_S = 0.5
CRASHES = 3
RUNNER_AWAY_S = 6.0
BETWEEN_CRASHES_S = 1.5
AFTER_S = 25.0
INTERVAL_S = 0.1


async def ordinary_caller(
    world: world2.World,
    gateway: world2.Gateway,
    results: list[tuple[str, float, float | None, int]],
    stop: asyncio.Event,
) -> None:
    """Sends lookups, each on a channel of its own, until told to stop."""
    number = 0
    tasks: set[asyncio.Task[None]] = set()

    async def one(request_id: str) -> None:
        sent = time.monotonic()
        answered, status = None, 0
        try:
            answer = await world2.ask(
                gateway.callers,
                world2.request("/lookup/1", request_id, deadline_ms=5000),
                ROUTE_TIMEOUT_S + GRACE_S,
            )
        except (OSError, TimeoutError):
            # The channel wasn't accepted: no request was sent.
            return
        if answer is not None:
            answered, status = time.monotonic() - sent, answer.status
        results.append((request_id, sent, answered, status))

    while not stop.is_set():
        number += 1
        task = asyncio.create_task(one(f"{gateway.name}-{number}"))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(INTERVAL_S)
    await asyncio.gather(*tasks)


async def listens(runner: world2.Runner) -> bool:
    """Returns whether a runner accepts connections."""
    try:
        (await world2.Channel.open(runner.address)).close()
    except (OSError, TimeoutError):
        return False
    return True


async def come_back(world: world2.World, runner: world2.Runner) -> None:
    """Lists a crashed runner as a new lifetime once it has started again."""
    while not await listens(runner):  # noqa: ASYNC110
        await asyncio.sleep(0.2)
    world.list_restarted(runner)


async def main() -> int:
    """Runs the case."""
    record = world2.Record(pathlib.Path(__file__).parent)
    world = world2.World(record)
    try:
        await world.start(gateways=2, engines=6, services=3)
        engines = [each for each in world.runners if each.service == "engines"]
        parts = [
            (b"%04x" % (0x5C00 + number), PART_TOKENS)
            for number in range(PARTS)
        ] + [(b"00ab12cd", 100)]
        headers = world2.model_headers(parts)
        size = sum(len(each) + 2 for each in headers)
        record.note(
            f"prompt of {PARTS} shared parts, {size} bytes of headers, limit"
            f" {world2.HEADER_BYTES}; disruption: {TROUBLE}"
        )
        if TROUBLE:
            for engine in engines:
                world.fault(
                    engine,
                    "crash_on",
                    text="5c00:",
                    restart_s=RUNNER_AWAY_S,
                )
        results: list[tuple[str, float, float | None, int]] = []
        stop = asyncio.Event()
        callers = [
            asyncio.create_task(ordinary_caller(world, gateway, results, stop))
            for gateway in world.gateways
        ]
        await asyncio.sleep(2.0)
        away: set[world2.Runner] = set()
        returns: list[asyncio.Task[None]] = []
        for number in range(CRASHES):
            # The same request comes again, at the first gateway.
            sent = time.monotonic()
            answer = await world2.ask(
                world.gateways[0].callers,
                world2.request(
                    "/query/1",
                    f"odd-{number}",
                    key=world2.ODD_KEY,
                    extra=headers,
                ),
                ROUTE_TIMEOUT_S + GRACE_S,
            )
            status = answer.status if answer else None
            record.note(
                f"request odd-{number} answered with {status} after"
                f" {time.monotonic() - sent:.3f} s"
            )
            for engine in engines:
                if engine not in away and not await listens(engine):
                    away.add(engine)
                    returns.append(
                        asyncio.create_task(come_back(world, engine))
                    )
            await asyncio.sleep(BETWEEN_CRASHES_S)
        await asyncio.sleep(AFTER_S if TROUBLE else 5.0)
        stop.set()
        await asyncio.gather(*callers, *returns)
        for engine in engines:
            try:
                found = world.arrivals(engine)
            except OSError:
                continue
            ran = [each["request_id"] for each in found]
            record.note(f"{engine.server_id} got {ran}")
        return judge(record, world, results)
    except (OSError, TimeoutError) as error:
        record.note(f"could not run: {error!r}")
        return 2
    finally:
        world.close()


def judge(
    record: world2.Record,
    world: world2.World,
    results: list[tuple[str, float, float | None, int]],
) -> int:
    """Applies CONFIG: half of the unanswered ones must be answered by then."""
    broken = False
    for gateway in world.gateways:
        own = [each for each in results if each[0].startswith(gateway.name)]
        late = [
            each for each in own if each[2] is None or each[2] > ROUTE_TIMEOUT_S
        ]
        lost = [each for each in late if each[2] is None]
        slowest = max((each[2] for each in own if each[2]), default=0.0)
        record.note(
            f"{gateway.name}: {len(own)} ordinary requests, {len(late)} without"
            f" an answer at their route's timeout, {len(lost)} of these without"
            f" one {GRACE_S} s later; slowest answer {slowest:.3f} s; process"
            f" runs: {bool(gateway.process and gateway.process.running)}"
        )
        for line in world.log_lines(gateway, "server_down", "part_blocked")[:8]:
            record.note(f"log of {gateway.name}: {line[:300]}")
        broken = broken or len(lost) > len(late) / 2
    record.note("CONFIG is broken" if broken else "CONFIG holds")
    return int(broken)


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
