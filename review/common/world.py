"""A small deployment on loopback addresses, for the review's scripts.

It starts the gateways with the command of the deploy file, the project's own
stand-in of the store, and the review's runners, all as separate processes, and
plays the operator, the runners' registrations and the requesters.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from typing import Any

import aiohttp

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
HOST = "review.example"
# Bounds of the sheets, and the limits that a small deployment sets.
DRAIN_S = 2.0
STABLE_WINDOW_S = 3.0
_HEARTBEAT_S = 1.2
# An entry is removed after three heartbeats of silence.
_EXPIRY_S = 3 * _HEARTBEAT_S
_START_TIMEOUT_S = 20.0
_ZONES = ("z1", "z2")


def trouble() -> bool:
    """Returns whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


@dataclasses.dataclass
class Runner:
    """A runner process and its entry in the store."""

    name: str
    service: str
    zone: str
    options: dict[str, Any]
    host: str = "127.0.0.1"
    port: int = 0
    lifetime: int = 0
    born: int = 0
    sequence: int = 0
    state: str = "ready"
    registered: bool = False
    process: subprocess.Popen[str] | None = None
    logs: list[pathlib.Path] = dataclasses.field(default_factory=list)

    @property
    def id(self) -> str:
        """Id of this lifetime."""
        return f"{self.name}-{self.lifetime}"

    @property
    def running(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def entry(self) -> dict[str, Any]:
        """Returns what the runner writes to the store."""
        models = [{"name": "m1", "version": 1, "adapters": []}]
        is_model = self.service == "model"
        return {
            "service": self.service,
            "address": f"{self.host}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": 32 if is_model else 6,
            "state": self.state,
            "cold_remaining_ms": 0,
            "stage": "both",
            "models": models if is_model else [],
            "sequence": self.sequence,
            "born": self.born,
        }


class World:
    """The processes of one run and what they have recorded.

    Args:
        folder: Folder of the case, in which `record.txt` is written.
        gateways: Number of gateways.
    """

    def __init__(self, folder: pathlib.Path, gateways: int = 2) -> None:
        self._folder = folder
        self._temporary = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self._started = time.monotonic()
        self._network = 1 + os.getpid() % 250
        self._gateway_count = gateways
        self._processes: list[subprocess.Popen[str]] = []
        self._tasks: list[asyncio.Task[Any]] = []
        self._store_port = 0
        self._answers: list[dict[str, Any]] = []
        self._notes: list[dict[str, Any]] = []
        self._request_count = 0
        self.runners: list[Runner] = []
        self.callers: list[str] = []
        self.gateways: list[subprocess.Popen[str]] = []
        self.session: aiohttp.ClientSession | None = None

    # Processes

    async def start(
        self, runners: list[Runner], configuration: dict[str, Any]
    ) -> None:
        """Starts everything and waits until all gateways are ready."""
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0)
        )
        self._store_port = self._start_store()
        await self.put("keyed.op", "config", configuration)
        for runner in runners:
            self.runners.append(runner)
            await self.start_runner(runner)
        self._tasks.append(asyncio.create_task(self._beat()))
        ready = [self._start_gateway(i) for i in range(self._gateway_count)]
        async with asyncio.timeout(_START_TIMEOUT_S):
            for address in ready:
                while not await self._is_ready(address):  # noqa: ASYNC110
                    await asyncio.sleep(0.1)
        self.note("all gateways are ready")

    def _python(self, *arguments: str, name: str, **environment: str) -> Any:
        log = (self._temporary / f"{name}.log").open("a")
        process = subprocess.Popen(
            [sys.executable, *arguments],
            cwd=ROOT,
            env={**os.environ, **environment},
            stdout=subprocess.PIPE if name == "store" else log,
            stderr=log,
            text=True,
        )
        self._processes.append(process)
        return process

    def _start_store(self) -> int:
        process = self._python(
            *("-m", "hibiscusstile_standins", "--kind", "store"),
            *("--port", "0"),
            name="store",
        )
        return int(process.stdout.readline())

    async def start_runner(self, runner: Runner) -> None:
        """Starts a runner, or starts it again in a new lifetime."""
        runner.lifetime += 1
        runner.born = time.time_ns() // 1_000_000
        runner.sequence = 1
        path = self._temporary / f"{runner.id}.log"
        runner.logs.append(path)
        options = {
            **runner.options,
            "id": runner.id,
            "host": runner.host,
            "port": runner.port,
        }
        runner.process = self._python(
            str(ROOT / "review/common/runner.py"),
            json.dumps(options),
            name=runner.id,
        )
        async with asyncio.timeout(_START_TIMEOUT_S):
            while not path.read_text().partition("\n")[1]:  # noqa: ASYNC110
                await asyncio.sleep(0.02)
        runner.port = int(path.read_text().partition("\n")[0])
        await self.register(runner)

    def _start_gateway(self, number: int) -> str:
        host = f"127.{self._network}.0.{number + 2}"
        ports = [_free_port(host) for _ in range(3)]
        path = self._temporary / f"gateway-{number}.toml"
        path.write_text(
            f"""
node = "front-{number}"
role = "gateway"
machine_class = "front"
serves = ["front"]
ip = "{host}"
zone = "{_ZONES[number % len(_ZONES)]}"
region = "north"
internal_ports = [{ports[0]}, {ports[0]}]
first_start = true
heartbeat_ms = 1200
[listen]
front = "{host}:{ports[1]}"
ready = "{host}:{ports[2]}"
[limits]
cpu_share = 0.817
cores = 1
memory_mb = 300
max_fds = 4100
[bounds]
seed_lag_s = 3
reuse_after_s = 2
stable_window_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 56
lease_ms = 3000
thaw_ms = 300
version_ms = 8000
version_all_ms = 11000
[platform]
address = "127.0.0.1:{self._store_port}"
form = "log"
keep_s = 300
"""
        )
        process = self._python(
            *("-m", "hibiscusstile"),
            name=f"gateway-{number}",
            HIBISCUSSTILE_NODE_FILE=str(path),
            SSL_CERT_FILE="/dev/null",
            SSL_CERT_DIR="/dev/null",
        )
        self.callers.append(f"{host}:{ports[1]}")
        self.gateways.append(process)
        return f"{host}:{ports[2]}"

    async def _is_ready(self, address: str) -> bool:
        assert self.session is not None
        try:
            async with self.session.get(
                f"http://{address}/v1/ready"
            ) as response:
                return response.status == 200
        except aiohttp.ClientError:
            return False

    # The store: the operator's and the runners' side

    async def put(self, topic: str, key: str, value: Any) -> None:
        """Appends a keyed record; None drops the key."""
        assert self.session is not None
        encoded = b"" if value is None else json.dumps(value).encode()
        record = bytes([len(key)]) + key.encode() + encoded
        async with self.session.post(
            f"http://127.0.0.1:{self._store_port}/v1/log-append",
            params={"topic": topic, "part": "0"},
            data=len(record).to_bytes(4, "big") + record,
        ) as response:
            response.raise_for_status()

    async def store_fault(self, name: str, **arguments: Any) -> None:
        """Calls a fault of the store's stand-in."""
        assert self.session is not None
        async with self.session.post(
            f"http://127.0.0.1:{self._store_port}/fault",
            json={"name": name, "arguments": arguments},
        ) as response:
            response.raise_for_status()

    async def register(self, runner: Runner) -> None:
        """Writes a runner's entry."""
        runner.registered = True
        await self.put("keyed.servers", runner.id, runner.entry())

    async def unregister(self, runner_id: str) -> None:
        """Removes a runner's entry."""
        for runner in self.runners:
            if runner.id == runner_id:
                runner.registered = False
        await self.put("keyed.servers", runner_id, None)

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(_HEARTBEAT_S)
            for runner in self.runners:
                if runner.registered and runner.running:
                    runner.sequence += 1
                    # A store that is away gets the next heartbeat instead.
                    with contextlib.suppress(aiohttp.ClientError):
                        await self.put(
                            "keyed.servers", runner.id, runner.entry()
                        )

    async def control(self, runner: Runner, **options: Any) -> None:
        """Changes options of a running runner."""
        assert self.session is not None
        async with self.session.post(
            f"http://{runner.host}:{runner.port}/review-control", json=options
        ) as response:
            response.raise_for_status()

    async def restart_crashed(self, back_after_s: float) -> None:
        """Starts runners again some seconds after they have crashed.

        The entry of the ended lifetime expires as the pages say.
        """

        async def bring_back(runner: Runner) -> None:
            ended_id = runner.id
            runner.registered = False
            self.note("a runner has crashed", runner=ended_id)
            await asyncio.sleep(back_after_s)
            await self.start_runner(runner)
            await asyncio.sleep(max(0.0, _EXPIRY_S - back_after_s))
            await self.put("keyed.servers", ended_id, None)

        while True:
            for runner in self.runners:
                if runner.registered and not runner.running:
                    self.spawn(bring_back(runner))
                    await asyncio.sleep(0)
            await asyncio.sleep(0.02)

    def spawn(self, work: Any) -> asyncio.Task[Any]:
        """Runs something beside the rest until the end."""
        task = asyncio.ensure_future(work)
        self._tasks.append(task)
        return task

    # Requesters

    async def request(
        self,
        caller: int,
        path: str,
        *,
        kind: str,
        key: str = "key-a",
        parts: list[tuple[str, int]] | None = None,
        method: str = "POST",
        deadline_ms: int = 5000,
        output_tokens: int = 24,
    ) -> dict[str, Any]:
        """Sends a request to a gateway and records its answer."""
        assert self.session is not None
        answer, headers = self.new_request(
            caller,
            kind=kind,
            key=key,
            parts=parts,
            deadline_ms=deadline_ms,
            output_tokens=output_tokens,
        )
        request_id = answer["request"]
        try:
            async with self.session.request(
                method,
                f"http://{self.callers[caller]}{path}",
                headers=headers,
                # No two requests are alike.
                data=json.dumps({"about": request_id}),
                timeout=aiohttp.ClientTimeout(total=deadline_ms / 1000 + 1),
            ) as response:
                answer["status"] = response.status
                text = await response.read()
                answer["outcome"] = "whole"
                answer["text"] = text[:80].decode("latin1")
        except TimeoutError:
            answer["outcome"] = "no answer in time"
        except aiohttp.ClientError as error:
            answer["outcome"] = f"cut: {type(error).__name__}"
        answer["answered"] = time.monotonic()
        return answer

    def new_request(
        self,
        caller: int,
        *,
        kind: str,
        key: str = "key-a",
        parts: list[tuple[str, int]] | None = None,
        deadline_ms: int = 5000,
        output_tokens: int = 24,
    ) -> tuple[dict[str, Any], dict[str, str]]:
        """Returns the record of a request that is being sent, and its head."""
        self._request_count += 1
        request_id = f"r{self._request_count:05d}"
        headers = {
            "Host": HOST,
            "X-Request-Id": request_id,
            "X-Deadline-Ms": str(deadline_ms),
            "Authorization": f"Token {key}",
        }
        if parts is not None:
            tokens = sum(count for _, count in parts)
            headers["X-Model"] = "m1"
            headers["X-Token-Usage"] = f"{tokens},{output_tokens}"
            headers["X-Prompt-Prefix"] = ",".join(
                f"{part}:{count}" for part, count in parts
            )
        answer: dict[str, Any] = {
            "request": request_id,
            "kind": kind,
            "gateway": caller,
            "sent": time.monotonic(),
        }
        self._answers.append(answer)
        return answer, headers

    # Record

    def note(self, what: str, **fields: Any) -> float:
        """Records something that the script did; returns the time."""
        now = time.monotonic()
        self._notes.append({"t": now, "what": what, **fields})
        return now

    def seen_by_runners(self) -> list[dict[str, Any]]:
        """Returns what the runners have logged, in order."""
        events = []
        for runner in self.runners:
            for path in runner.logs:
                for line in path.read_text().splitlines()[1:]:
                    if line.startswith("{"):
                        events.append(json.loads(line))
        return sorted(events, key=lambda each: float(each["t"]))

    @property
    def answers(self) -> list[dict[str, Any]]:
        """All requests that were sent, with their answers."""
        return self._answers

    def write_record(self, verdict: list[str]) -> None:
        """Writes `record.txt`: the verdict, then all that happened."""
        rows = [(float(each["t"]), each) for each in self._notes]
        rows += [(float(each["t"]), each) for each in self.seen_by_runners()]
        for answer in self._answers:
            rows.append(
                (
                    answer["sent"],
                    {
                        "what": "sent",
                        **{k: answer[k] for k in ("request", "kind")},
                        "to": f"front-{answer['gateway']}",
                    },
                )
            )
            if "answered" in answer:
                rows.append(
                    (
                        answer["answered"],
                        {
                            "what": "answered",
                            "request": answer["request"],
                            "status": answer.get("status"),
                            "outcome": answer.get("outcome"),
                        },
                    )
                )
        rows.sort(key=lambda row: row[0])
        lines = [*verdict, ""]
        for t, row in rows:
            fields = " ".join(
                f"{k}={v}" for k, v in row.items() if k not in ("t", "what")
            )
            lines.append(f"{t - self._started:8.3f} s  {row['what']}  {fields}")
        (self._folder / "record.txt").write_text("\n".join(lines) + "\n")

    async def close(self) -> None:
        """Ends all processes that were started."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self.session is not None:
            await self.session.close()
        for process in self._processes:
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
            process.wait()
            if process.stdout is not None:
                process.stdout.close()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self._temporary, ignore_errors=True)
        else:
            print(self._temporary)


def _free_port(host: str) -> int:
    with socket.socket() as probe:
        probe.bind((host, 0))
        return int(probe.getsockname()[1])


def route(name: str, kind: str, service: str, **fields: Any) -> dict[str, Any]:
    """Returns a route of the configuration."""
    return {
        "name": f"r-{name}",
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 5000,
        "target_latency_ms": 500,
        "priority": 1,
        "service": service,
        "attempts": 1,
        "allow_anonymous": False,
        "sticky_sessions": kind == "streaming",
        "resumable": False,
        **fields,
    }


def configuration(
    version: int, routes: list[dict[str, Any]], tenants: list[dict[str, Any]]
) -> dict[str, Any]:
    """Returns a configuration with one model service and one plain one."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": "model",
                "max_connections": 240,
                "health_path": "/healthz",
                "engine": {
                    "slots": 32,
                    "kv_tokens": 162_770,
                    "models": [{"name": "m1"}],
                },
            },
            {
                "name": "accounts",
                "max_connections": 110,
                "health_path": "/healthz",
            },
        ],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15_000,
        },
        "tenants": tenants,
    }


def tenant(name: str, key: str, *, isolated: bool = False) -> dict[str, Any]:
    """Returns a tenant of the configuration."""
    return {
        "name": name,
        "api_keys": [key],
        "priority": 1,
        "isolated": isolated,
    }


def _interrupt(*_: object) -> None:
    raise KeyboardInterrupt


def run_case(
    file: str, play: Callable[[World], Awaitable[list[str]]], gateways: int = 2
) -> None:
    """Plays a case and exits with 1, 0 or 2 as the review's issue says.

    Args:
        file: The case's `__file__`.
        play: Plays the case and returns what breaks the rule.
        gateways: Number of gateways.
    """
    folder = pathlib.Path(file).resolve().parent
    (folder / "record.txt").unlink(missing_ok=True)

    # An interrupted run ends its processes too.
    signal.signal(signal.SIGTERM, _interrupt)

    async def run() -> int:
        world = World(folder, gateways)
        try:
            async with asyncio.timeout(110):
                broken = await play(world)
            verdict = [f"disruption played: {trouble()}"]
            verdict += [f"rule broken: {each}" for each in broken]
            verdict += [] if broken else ["the rule held"]
            world.write_record(verdict)
            print("\n".join(verdict))
            return 1 if broken else 0
        finally:
            await world.close()

    try:
        code = asyncio.run(run())
    except (Exception, KeyboardInterrupt) as error:
        print(f"the case could not run: {error!r}")
        code = 2
    sys.exit(code)
