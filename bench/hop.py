"""Measures the latency added by entry and sidecar to direct engine calls.

`python -m bench.hop` starts a stand-in engine, a sidecar and an entry
instance as separate processes and sends the same requests alternately to the
engine and through the entry. It prints one JSON object; times are comparable
within a run only. With `--profile entry` or `--profile sidecar` that process
runs under cProfile, and its most expensive functions are printed.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import pathlib
import pstats
import secrets
import signal
import statistics
import subprocess
import sys
import tempfile
import time
from typing import Any

import aiohttp
import yaml

from hibiscusstile import identity
from hibiscusstile.entry import auth
from hibiscusstile_standins import ports

__all__ = ["main"]

_SECRET_VARIABLE = "HIBISCUSSTILE_HOP_SECRET"
_KEY_SECRET = "hop"
_SALT = "0123456789abcdef"
_MAX_OUTPUT_TOKENS = 16
_PROMPT = [
    {"role": "system", "content": "You grade carob pods. " * 200},
    {"role": "user", "content": "Is 12% moisture fine?"},
]
_LATENCY_REQUESTS = 200
_LOAD_REQUESTS = 600
_LOAD_CONCURRENCY = 24
_IDLE_S = 10.0
_READY_ATTEMPTS = 100
_PROFILE_LINES = 25


class _LocalFleet:
    """Runs engine, log, instance list, sidecar and entry as processes."""

    def __init__(self, folder: pathlib.Path, profiled: str) -> None:
        self._folder = folder
        self._profiled = profiled
        self._processes: dict[str, subprocess.Popen[str]] = {}
        self._ports: dict[str, int] = {}

    @property
    def entry_url(self) -> str:
        """Base URL of the HTTP API of the entry."""
        return f"http://127.0.0.1:{self._ports['http']}"

    @property
    def engine_url(self) -> str:
        """Base URL of the engine."""
        return f"http://127.0.0.1:{self._ports['engine']}"

    async def start(self) -> None:
        """Starts all processes and waits until a request is answered."""
        os.environ[_SECRET_VARIABLE] = secrets.token_hex(16)
        for name, kind in (
            ("engine", "engine"),
            ("log", "log"),
            ("instances", "instances"),
        ):
            self._start_stand_in(name, kind)
        await self._publish_records()
        for name in ("peers", "http", "sidecar-operators", "entry-operators"):
            self._ports[name] = ports.reserve_port()
        self._start_daemon("sidecar", self._sidecar_settings())
        self._start_daemon("entry", self._entry_settings())
        await self._wait_ready()

    def processor_s(self, name: str) -> float:
        """Returns the processor time of a process in seconds."""
        pid = self._processes[name].pid
        fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(") ")[1]
        ticks = sum(int(value) for value in fields.split()[11:13])
        return ticks / os.sysconf("SC_CLK_TCK")

    async def control_bytes(self) -> float:
        """Returns the control bytes that entry and sidecar have exchanged."""
        total = 0.0
        async with aiohttp.ClientSession() as session:
            for name in ("sidecar-operators", "entry-operators"):
                url = f"http://127.0.0.1:{self._ports[name]}/metrics"
                async with session.get(url) as response:
                    page = await response.text()
                total += sum(
                    float(line.rsplit(" ", 1)[1])
                    for line in page.splitlines()
                    if line.startswith("hibiscusstile_control_bytes")
                )
        return total

    def stop(self) -> None:
        """Stops all processes in reverse order of their start."""
        for process in reversed(self._processes.values()):
            process.send_signal(signal.SIGTERM)
            try:
                process.wait(10)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()

    def print_profile(self) -> None:
        """Prints the most expensive functions of the profiled process."""
        path = self._folder / "profile"
        stats = pstats.Stats(str(path), stream=sys.stderr)
        stats.sort_stats("tottime").print_stats(_PROFILE_LINES)

    def _start_stand_in(self, name: str, kind: str) -> None:
        arguments = ["-m", "hibiscusstile_standins", "--kind", kind]
        if kind == "engine":
            arguments += ["--step", "0.0005", "--prefill", "5000000"]
        process = subprocess.Popen(
            [sys.executable, *arguments], stdout=subprocess.PIPE, text=True
        )
        self._processes[name] = process
        assert process.stdout is not None
        self._ports[name] = int(process.stdout.readline())

    def _start_daemon(self, name: str, config: dict[str, Any]) -> None:
        path = self._folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(config))
        profile: list[str] = []
        if name == self._profiled:
            profile = ["-m", "cProfile", "-o", str(self._folder / "profile")]
        self._processes[name] = subprocess.Popen(
            [
                *(sys.executable, *profile, "-m", "hibiscusstile.daemon"),
                *("--settings", str(path)),
            ],
            text=True,
        )

    async def _publish_records(self) -> None:
        key = {
            "key_id": "bench",
            "salt": _SALT,
            "digest": auth.key_digest(_SALT, _KEY_SECRET),
        }
        records = [
            ("rank", "routine", {"level": 1}),
            ("routing_policy", "default", {"algorithm": "bidding"}),
            ("model", "m1", {"weights_version": "v1"}),
            ("workspace", "bench", {"keys": [key]}),
        ]
        url = f"http://127.0.0.1:{self._ports['log']}/streams/config"
        async with aiohttp.ClientSession() as session:
            for kind, name, body in records:
                record = {
                    "kind": kind,
                    "name": name,
                    "schema_version": 1,
                    "body": body,
                }
                async with session.post(url, json=record) as response:
                    response.raise_for_status()

    def _common_settings(self, name: str) -> dict[str, Any]:
        stand_in = "http://127.0.0.1:{}".format
        return {
            "peer_id": name,
            "zone": "az-1",
            "region": "bench",
            "operators": _address(self._ports[f"{name}-operators"]),
            "platform": {
                "log": {"url": stand_in(self._ports["log"])},
                "instance_list": {"url": stand_in(self._ports["instances"])},
            },
            "peer_secret": {"environment": _SECRET_VARIABLE},
            "logging": {"level": "WARNING"},
            "stop": {"balancer_delay_s": 0, "deadline_s": 5},
        }

    def _sidecar_settings(self) -> dict[str, Any]:
        return {
            **self._common_settings("sidecar"),
            "role": "sidecar",
            "peers": _address(self._ports["peers"]),
            "backend": {"kind": "engine_chat", "url": self.engine_url},
        }

    def _entry_settings(self) -> dict[str, Any]:
        return {
            **self._common_settings("entry"),
            "role": "entry",
            "http": _address(self._ports["http"]),
            "seeds": [_address(self._ports["peers"])],
        }

    async def _wait_ready(self) -> None:
        async with aiohttp.ClientSession() as session:
            for _ in range(_READY_ATTEMPTS):
                try:
                    await _time_routed(session, self)
                except (aiohttp.ClientError, StopAsyncIteration):
                    await asyncio.sleep(0.1)
                else:
                    return
        raise RuntimeError(
            "entry did not become ready: it answered no test request"
        )


def main() -> None:
    """Measures latency and throughput, and prints the results as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--profile", choices=["entry", "sidecar"], default="")
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        fleet = _LocalFleet(pathlib.Path(folder), arguments.profile)
        try:
            results = asyncio.run(_measure(fleet, bool(arguments.profile)))
        finally:
            fleet.stop()
        if arguments.profile:
            fleet.print_profile()
    print(json.dumps(results))


async def _measure(fleet: _LocalFleet, profiling: bool) -> dict[str, Any]:
    await fleet.start()
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        direct, routed = [], []
        for _ in range(_LATENCY_REQUESTS):
            direct.append(await _time_direct(session, fleet))
            routed.append(await _time_routed(session, fleet))
        load = await _measure_load(session, fleet)
    idle = 0.0 if profiling else await _idle_bytes_per_s(fleet)
    return {
        "added_first_byte_ms_p50": _added_latency_ms(routed, direct, 50),
        "added_first_byte_ms_p99": _added_latency_ms(routed, direct, 99),
        "first_byte_ratio_p50": round(
            statistics.median(routed) / statistics.median(direct), 3
        ),
        **load,
        "idle_bytes_per_s": round(idle),
    }


async def _measure_load(
    session: aiohttp.ClientSession, fleet: _LocalFleet
) -> dict[str, float]:
    remaining = list(range(_LOAD_REQUESTS))
    entry_s = fleet.processor_s("entry")
    sidecar_s = fleet.processor_s("sidecar")

    async def send() -> None:
        while remaining:
            remaining.pop()
            await _time_routed(session, fleet)

    async with asyncio.TaskGroup() as group:
        for _ in range(_LOAD_CONCURRENCY):
            group.create_task(send())
    entry_s = fleet.processor_s("entry") - entry_s
    sidecar_s = fleet.processor_s("sidecar") - sidecar_s
    return {
        "requests_per_entry_core_s": round(_LOAD_REQUESTS / entry_s, 1),
        "requests_per_sidecar_core_s": round(_LOAD_REQUESTS / sidecar_s, 1),
    }


async def _idle_bytes_per_s(fleet: _LocalFleet) -> float:
    before = await fleet.control_bytes()
    await asyncio.sleep(_IDLE_S)
    return (await fleet.control_bytes() - before) / _IDLE_S


async def _time_direct(
    session: aiohttp.ClientSession, fleet: _LocalFleet
) -> float:
    body = {
        "attempt_id": identity.new_id("att"),
        "model": "m1",
        "adapter": "",
        "weights_version": "v1",
        "messages": _PROMPT,
        "max_tokens": _MAX_OUTPUT_TOKENS,
        "priority": 1,
        "cache_salt": "direct",
        "resume_text": "",
    }
    return await _first_text_s(
        session, f"{fleet.engine_url}/v1/chat/completions", body, {}
    )


async def _time_routed(
    session: aiohttp.ClientSession, fleet: _LocalFleet
) -> float:
    body = {
        "model": "m1",
        "messages": _PROMPT,
        "max_tokens": _MAX_OUTPUT_TOKENS,
        "stream": True,
    }
    headers = {"Authorization": f"Bearer hs_bench_{_KEY_SECRET}"}
    return await _first_text_s(
        session, f"{fleet.entry_url}/v1/chat/completions", body, headers
    )


async def _first_text_s(
    session: aiohttp.ClientSession,
    url: str,
    body: dict[str, Any],
    headers: dict[str, str],
) -> float:
    """Returns the seconds to the first text; reads the complete answer."""
    started_s = time.perf_counter()
    first_s = 0.0
    async with session.post(url, json=body, headers=headers) as response:
        response.raise_for_status()
        async for line in response.content:
            if not first_s and (b'"text"' in line or b'"content"' in line):
                first_s = time.perf_counter() - started_s
    return first_s


def _added_latency_ms(
    routed: list[float], direct: list[float], percent: int
) -> float:
    def quantile(values: list[float]) -> float:
        return statistics.quantiles(values, n=100)[percent - 1]

    return round(1000 * (quantile(routed) - quantile(direct)), 3)


def _address(port: int) -> dict[str, Any]:
    return {"host": "127.0.0.1", "port": port}


if __name__ == "__main__":
    main()
