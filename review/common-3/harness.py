"""Starts gateways as the deploy file does, beside stand-ins of a script's own.

Used by the cases of the third review. Everything listens on loopback addresses
with free ports, and writes into a temporary folder that is removed at the end.
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
import struct
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

ROOT = pathlib.Path(__file__).parent.parent.parent
HOST = "review.example"
KEY = "review-key"
DISRUPTED = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
_START_TIMEOUT_S = 20.0
_ENVIRONMENT = {
    name: os.environ[name]
    for name in ("PATH", "HOME", "LANG")
    if name in os.environ
}


class CannotRun(Exception):  # noqa: N818 - an outcome of a case
    """The case could not be run, whatever the gateway does."""


def free_port(host: str) -> int:
    """Returns a port that is free at a loopback address."""
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, 0))
        return int(sock.getsockname()[1])


class Record:
    """The file `record.txt` of a case: what was sent, answered and run."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w")
        self._started_s = time.monotonic()

    def write(self, text: str) -> None:
        """Adds a line with the seconds since the start."""
        elapsed_s = time.monotonic() - self._started_s
        print(f"{elapsed_s:8.3f}  {text}", file=self._file, flush=True)

    def close(self) -> None:
        """Closes the file."""
        self._file.close()


@dataclasses.dataclass
class Response:
    """An answer as a client read it; status 0 if there was none."""

    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    error: str = ""


async def read_response(reader: asyncio.StreamReader) -> Response:
    """Reads one answer; raises `ValueError` or an `OSError` if it is none."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin1").split("\r\n")
    status = int(lines[0].split()[1])
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.lower()] = value.strip()
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
    else:
        body = await reader.read()
    return Response(status, headers, body)


def head(
    method: str,
    path: str,
    request_id: str,
    extra: Sequence[tuple[str, str]] = (),
) -> bytes:
    """Returns the head of a request with the key of the test's tenant."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Request-Id: {request_id}",
        f"Authorization: Token {KEY}",
    ]
    lines += [f"{name}: {value}" for name, value in extra]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin1")


async def ask(address: str, data: bytes, timeout_s: float) -> Response:
    """Sends bytes on a new channel and returns the answer."""
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(data)
                await writer.drain()
                return await read_response(reader)
            finally:
                writer.close()
    except (OSError, EOFError, TimeoutError, ValueError, IndexError) as error:
        return Response(error=repr(error))


class Gateway:
    """One gateway process, started with the command of the deploy file."""

    def __init__(
        self,
        world: World,
        name: str,
        host: str,
        *,
        zone: str = "z1",
        **limits: int,
    ) -> None:
        self._world = world
        self._host = host
        self.name = name
        self._zone = zone
        self._limits = limits
        ports = [free_port(host) for _ in range(3)]
        self._internal_port = ports[0]
        self.address = f"{host}:{ports[1]}"
        self.ready_address = f"{host}:{ports[2]}"
        self._path = world.folder / f"{name}.toml"
        self.log_path = world.folder / f"{name}.log"
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Starts the process."""
        self._path.write_text(
            f'node = "{self.name}"\nrole = "gateway"\nmachine_class = "front"\n'
            f'serves = ["front"]\nip = "{self._host}"\nzone = "{self._zone}"\n'
            'region = "r1"\n'
            f"internal_ports = [{self._internal_port}, {self._internal_port}]\n"
            "first_start = true\n"
            'contracts = ["base","drain","config","cost","retry","recover",'
            '"kvcache","stream","engine","tenants","platform"]\n'
            f'[listen]\nfront = "{self.address}"\n'
            f'ready = "{self.ready_address}"\n'
            "[limits]\n"
            + "".join(
                f"{name} = {value}\n" for name, value in self._limits.items()
            )
            + "[bounds]\n"
            + "".join(
                f"{name} = {json.dumps(value)}\n"
                for name, value in self._world.bounds.items()
            )
            + f'[platform]\naddress = "{self._world.store_address}"\n'
            + 'form = "log"\n'
        )
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-m", "hibiscusstile"],
                cwd=ROOT,
                env={
                    **_ENVIRONMENT,
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "SSL_CERT_FILE": "/dev/null",
                    "SSL_CERT_DIR": "/dev/null",
                    "HIBISCUSSTILE_NODE_FILE": str(self._path),
                },
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._world.processes.append(self.process)

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to this process only."""
        assert self.process is not None
        if self.process.poll() is None:
            self.process.send_signal(number)

    @property
    def running(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def memory_mb(self, field: str = "VmRSS") -> float:
        """Returns the resident memory, 0 if the process has ended."""
        assert self.process is not None
        try:
            text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        for line in text.splitlines():
            if line.startswith(field + ":"):
                return int(line.split()[1]) / 1024
        return 0.0

    async def wait_ready(self, path: str | None = None) -> None:
        """Waits until the process says that it is ready, and serves a path."""
        end_s = time.monotonic() + _START_TIMEOUT_S
        while time.monotonic() < end_s:
            if not self.running:
                raise CannotRun(f"{self.name} has ended")
            answer = await ask(
                self.ready_address,
                b"GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n",
                1.0,
            )
            if answer.status == 200 and path is not None:
                probe = head(
                    "GET", path, f"probe-{self.name}-{time.monotonic()}"
                )
                answer = await ask(self.address, probe, 2.0)
            if answer.status == 200:
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"{self.name} does not become ready")


class World:
    """The store, the settings and all processes of one case."""

    def __init__(self, case: pathlib.Path) -> None:
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.record = Record(case / "record.txt")
        self.processes: list[subprocess.Popen[bytes]] = []
        self.servers: list[asyncio.Server] = []
        self.store_address = ""
        self.real_store_address = ""
        self.bounds: dict[str, Any] = {
            "stable_window_ms": 3000,
            "drain_ms": 2000,
            "grace_s": 8,
            "loss_slack_ms": 200,
            "config_apply_ms": 2000,
            "retry_budget_ratio": 0.2,
            "budget_window_s": 10,
            "budget_slack": 56,
            "recover_s": 12,
            "lease_ms": 3000,
            "version_ms": 8000,
        }

    async def start_store(self) -> None:
        """Starts the project's stand-in of the store as a process."""
        with (self.folder / "store.log").open("ab") as log:
            process = subprocess.Popen(  # noqa: ASYNC220 - returns at once
                [
                    *("python3", "-m", "hibiscusstile_standins"),
                    *("--kind", "store", "--port", "0"),
                ],
                cwd=ROOT,
                env={
                    **_ENVIRONMENT,
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                },
                stdin=subprocess.DEVNULL,
                stdout=subprocess.PIPE,
                stderr=log,
            )
        self.processes.append(process)
        assert process.stdout is not None
        line = await asyncio.to_thread(process.stdout.readline)
        if not line.strip().isdigit():
            raise CannotRun("the store does not start")
        self.real_store_address = f"127.0.0.1:{int(line)}"
        self.store_address = self.real_store_address

    async def put(self, topic: str, key: str, value: Any) -> None:
        """Writes a keyed record, as operators and runners do; "" removes it."""
        raw_key = key.encode()
        raw = b"" if value == "" else json.dumps(value).encode()
        payload = bytes([len(raw_key)]) + raw_key + raw
        body = struct.pack(">I", len(payload)) + payload
        request = (
            f"POST /v1/log-append?topic={topic}&part=0 HTTP/1.1\r\n"
            f"Host: store\r\nContent-Length: {len(body)}\r\n\r\n"
        ).encode() + body
        answer = await ask(self.real_store_address, request, 5.0)
        if answer.status != 200:
            raise CannotRun(
                f"the store answered {answer.status} {answer.error}"
            )

    async def fault(self, name: str, **arguments: Any) -> None:
        """Sets a fault of the store's stand-in."""
        body = json.dumps({"name": name, "arguments": arguments}).encode()
        request = (
            "POST /fault HTTP/1.1\r\nHost: store\r\n"
            "Content-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        ).encode() + body
        answer = await ask(self.real_store_address, request, 5.0)
        if answer.status != 200:
            raise CannotRun(f"fault {name}: {answer.status} {answer.error}")

    async def serve(
        self,
        handler: Callable[
            [asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
        ],
        host: str = "127.0.0.1",
        port: int = 0,
    ) -> str:
        """Starts a server in this process; returns its address."""
        server = await asyncio.start_server(handler, host, port, limit=1 << 20)
        self.servers.append(server)
        bound = server.sockets[0].getsockname()
        return f"{bound[0]}:{bound[1]}"

    def close(self) -> None:
        """Ends all processes that were started, and removes the folder."""
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
            if process.stdout is not None:
                process.stdout.close()
        self.record.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def server_entry(address: str, service: str, **changes: Any) -> dict[str, Any]:
    """Returns a runner's entry for the store."""
    return {
        "service": service,
        "address": address,
        "zone": "z1",
        "version": "v1",
        "slots": 64,
        "state": "ready",
        "cold_remaining_ms": 0,
        "stage": "both",
        "models": [],
        "sequence": 1,
        "born": 1_700_000_000_000,
        **changes,
    }


def route(name: str, kind: str, service: str, **changes: Any) -> dict[str, Any]:
    """Returns a route of the configuration for the path `/NAME/`."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 5000,
        "target_latency_ms": 500,
        "priority": 1,
        "service": service,
        "attempts": 2,
        "allow_anonymous": False,
        "resumable": False,
        **changes,
    }


def configuration(
    routes: list[dict[str, Any]],
    services: list[dict[str, Any]],
    version: int = 1,
) -> dict[str, Any]:
    """Returns a configuration with the limits of the site files."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "review", "api_keys": [KEY], "isolated": False}],
    }


def run(case: str, main: Callable[[World], Awaitable[int]]) -> None:
    """Runs a case and exits with 0 (held), 1 (broken) or 2 (not run)."""
    world = World(pathlib.Path(case).parent)

    async def bounded() -> int:
        # Connections that are cut at the end would fill the error output.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        async with asyncio.timeout(115):
            return await main(world)

    code = NOT_RUN
    try:
        code = asyncio.run(bounded())
    except CannotRun as error:
        world.record.write(f"the case cannot run: {error}")
    except (TimeoutError, OSError) as error:
        world.record.write(f"the case cannot run: {error!r}")
    finally:
        with contextlib.suppress(OSError, ValueError):
            world.record.write(f"exit {code}")
        world.close()
    sys.exit(code)
