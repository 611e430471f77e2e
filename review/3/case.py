"""A request on a kept channel, late in a planned stop, is taken and cut."""

from __future__ import annotations

import asyncio
import itertools
import signal
import sys
import time
from typing import Any

sys.path.insert(0, __file__.rsplit("/", 2)[0])

from common import world as world_lib

_EVENT_TOKENS = 4
_PACE_S = 0.1
# Most questions are answered in half a second, a rare one in four.
_SHORT_TOKENS = 20
_LONG_TOKENS = 160
_SUMMARY_TOKENS = 144
_SHORT_INTERVAL_S = 0.08
_STOP_S = 6.0
# Requesters whose summaries end from about 3.2 s after the SIGTERM on.
_REQUESTERS = 4
_SUMMARY_S = 3.75
_FIRST_END_S = 3.25
# The platform sends no new channels after two missed readiness checks.
_OUT_OF_ROTATION_S = 2.0
_COUNTED_FROM_S = 3.0
_GRACE_S = 8.0
_DEADLINE_MS = 8000


class _Channel:
    """One kept channel of a requester.

    Args:
        world: The deployment.
        caller: Number of the gateway.
    """

    def __init__(self, world: world_lib.World, caller: int) -> None:
        self._world = world
        self._caller = caller
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        # Whether an answer has said that it is the last on the channel.
        self.closing = False

    async def ask(
        self, path: str, kind: str, part: str, output_tokens: int
    ) -> dict[str, Any]:
        """Sends a request and reads its answer to the end."""
        if self._writer is None:
            host, _, port = self._world.callers[self._caller].rpartition(":")
            self._reader, self._writer = await asyncio.open_connection(
                host, int(port)
            )
        assert self._reader is not None
        if self.closing:
            raise RuntimeError("the answer before said Connection: close")
        answer, headers = self._world.new_request(
            self._caller,
            kind=kind,
            parts=[(part, 300)],
            deadline_ms=_DEADLINE_MS,
            output_tokens=output_tokens,
        )
        head = [f"POST {path} HTTP/1.1"]
        head += [f"{name}: {value}" for name, value in headers.items()]
        head += ["Content-Length: 2", "", ""]
        self._writer.write("\r\n".join(head).encode() + b"{}")
        try:
            answer["outcome"] = await self._read(self._reader, answer)
        except (ConnectionError, asyncio.IncompleteReadError) as error:
            answer["outcome"] = f"cut: {type(error).__name__}"
        answer["answered"] = time.monotonic()
        return answer

    def close(self) -> None:
        """Closes the channel."""
        if self._writer is not None:
            self._writer.close()

    async def _read(
        self, reader: asyncio.StreamReader, answer: dict[str, Any]
    ) -> str:
        head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
        self.closing = "connection: close" in head
        answer["status"] = int(head.split(" ", 2)[1])
        if "transfer-encoding: chunked" not in head:
            length = int(head.partition("content-length: ")[2].split("\r")[0])
            await reader.readexactly(length)
            return "whole"
        while True:
            size = int(await reader.readuntil(b"\r\n"), 16)
            await reader.readexactly(size + 2)
            if not size:
                return "whole"


async def _play(world: world_lib.World) -> list[str]:
    runners = [
        world_lib.Runner(
            f"i-{number}",
            "model",
            ("z1", "z2")[number % 2],
            {"event_tokens": _EVENT_TOKENS, "pace_s": _PACE_S},
        )
        for number in range(6)
    ]
    await world.start(
        runners,
        world_lib.configuration(
            3,
            [
                world_lib.route(name, "streaming", "model", timeout_ms=8000)
                for name in ("question", "summary")
            ],
            [world_lib.tenant("desk", "key-a")],
        ),
    )
    requests: list[asyncio.Task[Any]] = []
    numbers = itertools.count(1)
    loop = asyncio.get_running_loop()
    stop_at = loop.time() + _STOP_S

    async def ask_once(caller: int) -> None:
        channel = _Channel(world, caller)
        part = f"f{next(numbers):06x}"
        await channel.ask("/question/", "short question", part, _SHORT_TOKENS)
        channel.close()

    async def ask_short() -> None:
        for number in itertools.count():
            is_out = loop.time() > stop_at + _OUT_OF_ROTATION_S
            caller = 1 if is_out and world_lib.trouble() else number % 2
            requests.append(world.spawn(ask_once(caller)))
            await asyncio.sleep(_SHORT_INTERVAL_S)

    async def ask_on_kept_channel(number: int) -> None:
        ends_at = stop_at + _FIRST_END_S + 0.1 * number
        await asyncio.sleep(ends_at - _SUMMARY_S - loop.time())
        channel = _Channel(world, 0)
        part = f"f{next(numbers):06x}"
        await channel.ask("/summary/", "summary", part, _SUMMARY_TOKENS)
        part = f"f{next(numbers):06x}"
        await channel.ask("/question/", "long question", part, _LONG_TOKENS)
        channel.close()

    shorts = world.spawn(ask_short())
    for number in range(_REQUESTERS):
        requests.append(world.spawn(ask_on_kept_channel(number)))
    await asyncio.sleep(stop_at - loop.time())
    stopped = world.note("SIGTERM to front-0" if world_lib.trouble() else "-")
    if world_lib.trouble():
        world.gateways[0].send_signal(signal.SIGTERM)
    await asyncio.sleep(_GRACE_S + 1.0)
    if world_lib.trouble():
        code = world.gateways[0].poll()
        world.note("9 s after SIGTERM", exit_code=code)
    shorts.cancel()
    await asyncio.wait(requests)
    return _judge(world, stopped)


def _judge(world: world_lib.World, stopped: float) -> list[str]:
    arrived = {
        each["request"]
        for each in world.seen_by_runners()
        if each["what"] == "arrived"
    }
    cut = [
        each
        for each in world.answers
        if each["gateway"] == 0
        and each["request"] in arrived
        and each["outcome"] != "whole"
        and each["sent"] > stopped + _COUNTED_FROM_S
    ]
    if not cut:
        return []
    first = cut[0]
    return [
        f"LOST: {len(cut)} requests that were sent later than "
        f"{_COUNTED_FROM_S:g} s after SIGTERM were passed on to a runner and "
        f"cut; the first, {first['request']}, was sent "
        f"{first['sent'] - stopped:.2f} s and cut "
        f"{first['answered'] - stopped:.2f} s after it"
    ]


if __name__ == "__main__":
    world_lib.run_case(__file__, _play)
