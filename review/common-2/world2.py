"""A small deployment of separate processes, for the scripts of a review.

Gateways run by the command of the deploy file, against the project's stand-ins
for the platform's store and for runners. All addresses are loopback addresses.
"""

from __future__ import annotations

import asyncio
import dataclasses
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.request
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "desk.example"
KEY = "ordinary-key"
ODD_KEY = "other-key"
MODEL = "m1"
HEADER_BYTES = 16_384
_START_S = 20.0
_RUNNER_SLOTS = 64


@dataclasses.dataclass(slots=True)
class Process:
    """A program that this script started."""

    name: str
    popen: subprocess.Popen[str]

    @property
    def running(self) -> bool:
        """Whether it has not exited."""
        return self.popen.poll() is None

    def end(self) -> None:
        """Kills it, by its id, and waits for its exit."""
        if self.running:
            self.popen.send_signal(signal.SIGKILL)
        self.popen.wait()


@dataclasses.dataclass(slots=True, eq=False)
class Runner:
    """A runner and its entry in the store."""

    server_id: str
    service: str
    url: str
    address: str
    born: int
    sequence: int = 1


@dataclasses.dataclass(slots=True)
class Gateway:
    """A gateway process and its addresses."""

    name: str
    ip: str
    callers: str
    ready: str
    process: Process | None = None


class Record:
    """The file `record.txt` of a case."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._started = time.monotonic()
        self._file = (folder / "record.txt").open("w")

    def note(self, text: str) -> None:
        """Writes a line with the seconds since the start."""
        elapsed = time.monotonic() - self._started
        line = f"{elapsed:8.3f} {text}"
        self._file.write(line + "\n")
        self._file.flush()
        print(line, flush=True)


class World:
    """Store, runners and gateways.

    Args:
        record: What is sent, answered and run.
        memory_mb: Memory limit in the gateways' settings.
    """

    def __init__(self, record: Record, memory_mb: int = 150) -> None:
        # A time limit that ends the script ends its processes, too.
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
        self.record = record
        self.runners: list[Runner] = []
        self.gateways: list[Gateway] = []
        self._memory_mb = memory_mb
        self._processes: list[Process] = []
        self._held: list[socket.socket] = []
        self._folder = tempfile.TemporaryDirectory()
        self._network = random.randrange(20, 250)
        self._store_url = ""
        self._environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", self._folder.name),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": f"{ROOT / 'target' / 'deps'}{os.pathsep}{ROOT}",
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with (ROOT / "deploy" / "system.toml").open("rb") as file:
            self._role = tomllib.load(file)["roles"]["gateway"]

    def close(self) -> None:
        """Ends all processes."""
        for process in reversed(self._processes):
            process.end()
        for held in self._held:
            held.close()
        self._folder.cleanup()

    async def start(
        self,
        *,
        gateways: int,
        engines: int,
        services: int,
        work_s: tuple[float, float] | None = None,
        raw_services: bool = False,
        **route: Any,
    ) -> None:
        """Starts everything, and waits until all gateways are ready.

        Args:
            gateways: Number of gateways.
            engines: Number of model runners.
            services: Number of runners of the plain service.
            work_s: Shortest and longest work of these; none if left out.
            raw_services: Whether these keep the bytes that they receive.
            **route: Properties of all routes.
        """
        port = self._start_stand_in("store")
        self._store_url = f"http://127.0.0.1:{port}"
        self._put("keyed.op", "config", configuration(**route))
        self._put(
            "keyed.op", f"version/{MODEL}", {"model": MODEL, "version": 1}
        )
        for number in range(engines):
            self._start_runner(f"e-{number}", "engines")
        for number in range(services):
            self._start_runner(
                f"s-{number}", "accounts", work_s, raw=raw_services
            )
        for number in range(gateways):
            self._start_gateway(number)
        end = time.monotonic() + _START_S
        for gateway in self.gateways:
            while not await _is_ready(gateway.ready):
                if time.monotonic() > end:
                    raise TimeoutError(f"{gateway.name} is not ready")
                await asyncio.sleep(0.1)
        # Gateways find their peers by the store.
        await asyncio.sleep(4.0)
        self.record.note(f"{gateways} gateways are ready")

    def fault(self, runner: Runner, name: str, **arguments: Any) -> None:
        """Sets a fault of a runner."""
        body = json.dumps({"name": name, "arguments": arguments}).encode()
        request = urllib.request.Request(
            f"{runner.url}/fault",
            data=body,
            headers={"Content-Type": "application/json"},
        )
        with urllib.request.urlopen(request, timeout=5) as response:
            response.read()

    def raw_requests(self, runner: Runner) -> list[dict[str, Any]]:
        """Returns what a runner that keeps all bytes has received."""
        with urllib.request.urlopen(f"{runner.url}/record", timeout=5) as reply:
            return list(json.load(reply))

    def arrivals(self, runner: Runner) -> list[dict[str, Any]]:
        """Returns the requests that have reached a runner."""
        with urllib.request.urlopen(f"{runner.url}/record", timeout=5) as reply:
            return list(json.load(reply)["arrivals"])

    def list_restarted(self, runner: Runner) -> None:
        """Writes the entry of a runner that has started again."""
        runner.born = int(time.time() * 1000)
        runner.sequence = 1
        self._list(runner)

    def _list(self, runner: Runner) -> None:
        models = [{"name": MODEL, "version": 1, "adapters": []}]
        self._put(
            "keyed.servers",
            runner.server_id,
            {
                "service": runner.service,
                "address": runner.address,
                "zone": "norte-a",
                "version": "v1",
                "slots": _RUNNER_SLOTS,
                "state": "ready",
                "cold_remaining_ms": 0,
                "stage": "both",
                "models": models if runner.service == "engines" else [],
                "sequence": runner.sequence,
                "born": runner.born,
            },
        )

    def _put(self, topic: str, key: str, value: dict[str, Any]) -> None:
        raw = key.encode()
        record = bytes([len(raw)]) + raw + json.dumps(value).encode()
        request = urllib.request.Request(
            f"{self._store_url}/v1/log-append?topic={topic}&part=0",
            data=len(record).to_bytes(4, "big") + record,
        )
        with urllib.request.urlopen(request, timeout=5) as response:
            response.read()

    def _start_stand_in(self, kind: str, *options: str) -> int:
        return self._start_server(
            kind,
            [
                *("-m", "hibiscusstile_standins", "--kind", kind),
                *("--port", "0", *options),
            ],
        )

    def _start_raw_runner(self, server_id: str) -> int:
        program = pathlib.Path(__file__).with_name("rawrunner.py")
        return self._start_server(
            "rawrunner", [str(program), "--server-id", server_id]
        )

    def _start_server(self, name: str, arguments: list[str]) -> int:
        popen = subprocess.Popen(
            [sys.executable, *arguments],
            cwd=ROOT,
            env=self._environment,
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            text=True,
        )
        self._processes.append(Process(name, popen))
        assert popen.stdout is not None
        return int(popen.stdout.readline())

    def _start_runner(
        self,
        server_id: str,
        service: str,
        work_s: tuple[float, float] | None = None,
        *,
        raw: bool = False,
    ) -> None:
        options = ["--server-id", server_id, "--model", MODEL]
        kind = "runner"
        if work_s is not None:
            kind = "silent_runner"
            options += ["--min-silence-s", str(work_s[0])]
            options += ["--max-silence-s", str(work_s[1])]
        port = (
            self._start_raw_runner(server_id)
            if raw
            else self._start_stand_in(kind, *options)
        )
        address = f"127.0.0.1:{port}"
        runner = Runner(
            server_id,
            service,
            f"http://{address}",
            address,
            int(time.time() * 1000),
        )
        self.runners.append(runner)
        self._list(runner)

    def _start_gateway(self, number: int) -> None:
        ip = f"127.{self._network}.0.{number + 2}"
        ports = [self._reserve(ip) for _ in range(3)]
        gateway = Gateway(
            f"front-norte-a-{number}",
            ip,
            f"{ip}:{ports[0]}",
            f"{ip}:{ports[1]}",
        )
        path = pathlib.Path(self._folder.name) / f"{gateway.name}.toml"
        path.write_text(self._settings(gateway, ports[2]))
        log = (pathlib.Path(self._folder.name) / f"{gateway.name}.log").open(
            "w"
        )
        popen = subprocess.Popen(
            self._role["run"].split(),
            cwd=ROOT,
            env={
                **self._environment,
                **self._role.get("env", {}),
                "HIBISCUSSTILE_NODE_FILE": str(path),
            },
            stdout=log,
            stderr=subprocess.STDOUT,
            text=True,
        )
        gateway.process = Process(gateway.name, popen)
        self._processes.append(gateway.process)
        self.gateways.append(gateway)

    def log_lines(self, gateway: Gateway, *words: str) -> list[str]:
        """Returns the lines of a gateway's log with one of the words."""
        path = pathlib.Path(self._folder.name) / f"{gateway.name}.log"
        return [
            line
            for line in path.read_text(errors="replace").splitlines()
            if any(word in line for word in words)
        ]

    def _settings(self, gateway: Gateway, internal_port: int) -> str:
        store = self._store_url.removeprefix("http://")
        return f"""node = "{gateway.name}"
role = "gateway"
machine_class = "front"
serves = ["front"]
ip = "{gateway.ip}"
zone = "norte-a"
region = "norte"
internal_ports = [{internal_port}, {internal_port}]
first_start = true
heartbeat_ms = 1200
[listen]
front = "{gateway.callers}"
ready = "{gateway.ready}"
[limits]
memory_mb = {self._memory_mb}
max_fds = 4100
[bounds]
stable_window_ms = 3000
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 56
lease_ms = 3000
version_ms = 8000
version_all_ms = 11000
[platform]
address = "{store}"
form = "log"
"""

    def _reserve(self, ip: str) -> int:
        """Holds a free port; a server with SO_REUSEADDR can listen on it."""
        held = socket.socket()
        held.bind((ip, 0))
        held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._held.append(held)
        return int(held.getsockname()[1])


def configuration(timeout_ms: int = 2000) -> dict[str, Any]:
    """Returns the operator's configuration."""

    def route(name: str, kind: str, service: str) -> dict[str, Any]:
        return {
            "name": name,
            "host": HOST,
            "path_prefix": f"/{name}/",
            "kind": kind,
            "timeout_ms": timeout_ms,
            "target_latency_ms": 500,
            "priority": 1,
            "service": service,
            "attempts": 1,
            "allow_anonymous": False,
            "sticky_sessions": service == "engines",
            "resumable": False,
            "gap_aim_ms": 400 if kind == "streaming" else 0,
        }

    return {
        "version": 1,
        "routes": [
            route("query", "streaming", "engines"),
            route("order", "non_idempotent", "accounts"),
            route("lookup", "idempotent", "accounts"),
        ],
        "services": [
            {
                "name": "engines",
                "health_path": "/healthz",
                "max_connections": 370,
                "engine": {
                    "slots": _RUNNER_SLOTS,
                    "kv_tokens": 157_385,
                    "models": [{"name": MODEL}],
                },
            },
            {
                "name": "accounts",
                "health_path": "/healthz",
                "max_connections": 110,
            },
        ],
        "limits": {
            "max_header_bytes": HEADER_BYTES,
            "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15_000,
        },
        "tenants": [
            {"name": "ordinary", "api_keys": [KEY], "priority": 1},
            {"name": "other", "api_keys": [ODD_KEY], "priority": 1},
        ],
    }


async def _is_ready(address: str) -> bool:
    try:
        answer = await ask(
            address, b"GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n"
        )
    except OSError:
        return False
    return answer is not None and answer.status == 200


@dataclasses.dataclass(slots=True)
class Answer:
    """A complete response."""

    status: int
    headers: dict[str, str]
    body: bytes


class Channel:
    """A connection of a caller."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer
        self.dead = False

    @classmethod
    async def open(cls, address: str) -> Channel:
        """Opens a connection to `ip:port`."""
        host, _, port = address.rpartition(":")
        async with asyncio.timeout(1.0):
            return cls(*await asyncio.open_connection(host, int(port)))

    async def ask(self, data: bytes, wait_s: float) -> Answer | None:
        """Sends a request; returns the answer, None if there is none.

        The attribute `dead` then tells whether the channel was closed.
        """
        try:
            async with asyncio.timeout(wait_s):
                self._writer.write(data)
                await self._writer.drain()
                return await self._receive()
        except TimeoutError:
            return None
        except (OSError, EOFError, ValueError):
            self.dead = True
            return None

    def close(self) -> None:
        """Closes the connection."""
        self._writer.close()

    async def _receive(self) -> Answer:
        head = await self._reader.readuntil(b"\r\n\r\n")
        status_line, *lines = head.decode("latin1").split("\r\n")[:-2]
        fields = {}
        for line in lines:
            name, _, value = line.partition(":")
            fields[name.lower()] = value.strip()
        status = int(status_line.split(" ", 2)[1])
        if "chunked" in fields.get("transfer-encoding", ""):
            body = await self._receive_chunks()
        else:
            size = int(fields.get("content-length", "0"))
            body = await self._reader.readexactly(size)
        if fields.get("connection", "").lower() == "close":
            self.dead = True
        return Answer(status, fields, body)

    async def _receive_chunks(self) -> bytes:
        body = b""
        while True:
            line = await self._reader.readuntil(b"\r\n")
            size = int(line.split(b";")[0], 16)
            chunk = await self._reader.readexactly(size + 2)
            if not size:
                return body
            body += chunk[:-2]


async def ask(address: str, data: bytes, wait_s: float = 2.0) -> Answer | None:
    """Sends one request on a channel of its own."""
    channel = await Channel.open(address)
    try:
        return await channel.ask(data, wait_s)
    finally:
        channel.close()


def request(
    target: str | bytes,
    request_id: str,
    *,
    key: str = KEY,
    body: bytes = b"{}",
    deadline_ms: int = 2000,
    extra: list[bytes] | None = None,
) -> bytes:
    """Returns an encoded request."""
    raw_target = target if isinstance(target, bytes) else target.encode()
    lines = [
        b"POST " + raw_target + b" HTTP/1.1",
        f"Host: {HOST}".encode(),
        f"X-Request-Id: {request_id}".encode(),
        f"X-Deadline-Ms: {deadline_ms}".encode(),
        f"Authorization: Token {key}".encode(),
        f"Content-Length: {len(body)}".encode(),
        *(extra or []),
    ]
    return b"\r\n".join([*lines, b"", b""]) + body


def model_headers(
    parts: list[tuple[bytes, int]], output: int = 12
) -> list[bytes]:
    """Returns the headers of a request for a model."""
    prefix = b",".join(part + b":%d" % tokens for part, tokens in parts)
    total = sum(tokens for _, tokens in parts)
    return [
        f"X-Model: {MODEL}".encode(),
        b"X-Token-Usage: %d,%d" % (total, output),
        b"X-Prompt-Prefix: " + prefix,
    ]


def resident_mb(process: Process) -> float:
    """Returns the resident memory of a process that this script started."""
    path = pathlib.Path(f"/proc/{process.popen.pid}/status")
    for line in path.read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0
