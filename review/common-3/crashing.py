"""Requests with a prompt part that crashes each engine, beside sound ones."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import itertools
import time
import zlib
from collections.abc import Callable, Mapping, Sequence

import engines
import harness

BAD_PART = "dead0001"
SOUND_PART = "50000001"
DOWN_S = 2.0
STABLE_WINDOW_S = 3.0
# Bounds of the rule: requests after the fifth crash and the stable window.
CRASHES = 5
ALLOWED = 3
MAX_HEAD_BYTES = 16384

Headers = tuple[tuple[str, str], ...]


class Engine:
    """An engine that a prompt part may crash; back after some seconds."""

    def __init__(
        self, world: harness.World, number: int, log: Log, models: Sequence[str]
    ) -> None:
        self._world = world
        self._log = log
        self._models = models
        self._server_id = f"i-e{number}"
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._host, self._port = "127.0.0.1", 0
        self._births = itertools.count(1_700_000_000_000, 5_000)
        self._restart: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listens and writes the entry of a new lifetime."""
        self._server = await asyncio.start_server(
            self._serve, self._host, self._port, limit=1 << 20
        )
        self._port = self._server.sockets[0].getsockname()[1]
        await self._world.put(
            "keyed.servers",
            self._server_id,
            harness.server_entry(
                f"{self._host}:{self._port}",
                "llm",
                models=[
                    {"name": name, "version": 1, "adapters": []}
                    for name in self._models
                ],
                born=next(self._births),
            ),
        )

    def _crash(self) -> None:
        if self._server is None:
            return
        self._log.note_crash(self._server_id)
        self._server.close()
        self._server = None
        for writer in tuple(self._writers):
            writer.transport.abort()
        self._restart = asyncio.create_task(self._come_back())

    async def _come_back(self) -> None:
        await asyncio.sleep(DOWN_S)
        await self.start()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                raw = await reader.readuntil(b"\r\n\r\n")
                _, target, headers = engines.parse_head(raw)
                expected = headers.get("x-expect-instance", self._server_id)
                if expected != self._server_id or target.startswith("/v1/"):
                    writer.write(
                        b"HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n"
                    )
                    continue
                is_bad = BAD_PART in headers.get("x-prompt-prefix", "")
                self._log.note_arrival(self._server_id, headers, is_bad)
                await asyncio.sleep(0.03)
                if is_bad and harness.DISRUPTED:
                    self._crash()
                    return
                await self._stream(writer, headers)
        except (OSError, EOFError, ValueError, asyncio.LimitOverrunError):
            pass
        finally:
            self._writers.discard(writer)
            with contextlib.suppress(RuntimeError):
                writer.close()

    async def _stream(
        self, writer: asyncio.StreamWriter, headers: Mapping[str, str]
    ) -> None:
        writer.write(
            f"HTTP/1.1 200 OK\r\n"
            f"X-Request-Id: {headers.get('x-request-id', '')}\r\n"
            f"X-Response-Stamp: {self._server_id}\r\nX-Weight-Versions: 1\r\n"
            "Content-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n".encode()
        )
        for number in range(1, 9):
            event = f"id: {number}\ndata: token {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(0.05)
        writer.write(b"0\r\n\r\n")
        await writer.drain()


class Log:
    """What the engines have seen."""

    def __init__(self, record: harness.Record) -> None:
        self._record = record
        self.crashes_s: list[float] = []
        self.bad_ids: list[str] = []

    def note_arrival(
        self, server_id: str, headers: Mapping[str, str], is_bad: bool
    ) -> None:
        """Records a request that has reached an engine."""
        request_id = headers.get("x-request-id", "")
        self._record.write(f"{request_id} reaches {server_id}")
        if is_bad:
            self.bad_ids.append(request_id)

    def note_crash(self, server_id: str) -> None:
        """Records a crash."""
        self.crashes_s.append(time.monotonic())
        self._record.write(
            f"{server_id} crashes, the {len(self.crashes_s)}. crash"
        )


def prompt(
    name: str, model: str, shared: Sequence[str], marked: str, part_tokens: int
) -> Headers:
    """Returns the headers of a prompt: shared parts, a marked one, its own."""
    own = f"{zlib.crc32(name.encode()):08x}"
    parts = [f"{each}:{part_tokens}" for each in (*shared, marked, own)]
    return (
        ("X-Model", model),
        ("X-Token-Usage", f"{len(parts) * part_tokens},30"),
        ("X-Prompt-Prefix", ",".join(parts)),
        ("X-Deadline-Ms", "12000"),
    )


@dataclasses.dataclass(frozen=True)
class Play:
    """What is sent, and for how long.

    Attributes:
        engine_count: Number of engines.
        gateway_count: Number of gateways.
        models: Models that each engine serves.
        make_prompt: Returns the headers of a request's prompt, from its name,
            number and marked part.
        sound_per_s: Sound requests a second, over all gateways.
        bad_per_s: Requests with the crashing part a second.
        play_s: How long they are sent.
        batch: Requests with the crashing part that come at one moment.
    """

    engine_count: int
    gateway_count: int
    models: Sequence[str]
    make_prompt: Callable[[str, int, str], Headers]
    sound_per_s: float
    bad_per_s: float
    play_s: float
    batch: int = 1


async def play(world: harness.World, plan: Play) -> int:
    """Plays a case and returns its exit code."""
    record = world.record
    await world.start_store()
    await engines.start_deployment(world, 0, 64, plan.models)
    log = Log(record)
    for number in range(plan.engine_count):
        await Engine(world, number, log, plan.models).start()
    gateways = [
        harness.Gateway(
            world,
            f"front-{number}",
            f"127.0.0.{number + 1}",
            memory_mb=150,
            max_fds=4100,
        )
        for number in range(1, plan.gateway_count + 1)
    ]
    for gateway in gateways:
        gateway.start()
    for gateway in gateways:
        await gateway.wait_ready("/plot/1")
    # The machines are in touch, and connected to each other.
    await asyncio.sleep(4.0)
    sent_s: dict[str, float] = {}
    statuses: dict[str, int] = {}
    sound = {"served": 0, "not served": 0}

    async def send(name: str, number: int, marked: str) -> None:
        gateway = gateways[number % len(gateways)]
        headers = plan.make_prompt(name, number, marked)
        request = harness.head("GET", "/dossier/1", name, headers)
        if len(request) > MAX_HEAD_BYTES:
            raise harness.CannotRun("the head exceeds max_header_bytes")
        sent_s[name] = time.monotonic()
        answer = await harness.ask(gateway.address, request, 12.0)
        record.write(
            f"{name} at {gateway.name}: {answer.status} {answer.error}"
        )
        if marked == BAD_PART:
            status = str(answer.status)
            statuses[status] = statuses.get(status, 0) + 1
        else:
            sound["served" if answer.status == 200 else "not served"] += 1

    tasks: list[asyncio.Task[None]] = []

    async def keep_sending(
        kind: str, marked: str, per_s: float, batch: int
    ) -> None:
        end_s = time.monotonic() + plan.play_s
        numbers = itertools.count()
        while time.monotonic() < end_s:
            for number in itertools.islice(numbers, batch):
                request = send(f"{kind}-{number}", number, marked)
                tasks.append(asyncio.create_task(request))
            await asyncio.sleep(1 / per_s)

    await asyncio.gather(
        keep_sending("sound", SOUND_PART, plan.sound_per_s, 1),
        keep_sending("bad", BAD_PART, plan.bad_per_s, plan.batch),
    )
    await asyncio.gather(*tasks)
    record.write(
        f"{len(log.crashes_s)} crashes; {len(log.bad_ids)} requests with the "
        f"part reached engines, answered {statuses}; sound ones: {sound}"
    )
    if not all(gateway.running for gateway in gateways):
        raise harness.CannotRun("a gateway has ended")
    if len(log.crashes_s) < CRASHES:
        return harness.HELD
    bound_s = log.crashes_s[CRASHES - 1] + STABLE_WINDOW_S
    late = [each for each in log.bad_ids if sent_s[each] > bound_s]
    record.write(
        f"{len(late)} of them were sent over {STABLE_WINDOW_S:g} s after the "
        f"fifth crash; {ALLOWED} are allowed"
    )
    return harness.BROKEN if len(late) > ALLOWED else harness.HELD
