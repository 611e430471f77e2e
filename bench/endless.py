"""Measures what responses that never end cost a gateway.

`python -m bench.endless` starts a stand-in server as a separate process for
each kind of response and forwards requests to it, as many at the same time as
`--requests` says. It prints the growth of this process's memory, the longest
pause of its event loop, and how the requests ended. `--response NAME` measures
that one alone.
"""

from __future__ import annotations

import argparse
import asyncio
import dataclasses
import datetime
import pathlib
import subprocess
import sys
import time
from collections.abc import Iterable, Sequence

import logbook
import uvloop

from hibiscusstile import clock as clock_lib
from hibiscusstile import outcome
from hibiscusstile.gateway import (
    crashdetection,
    exchange,
    fleet,
    forwarding,
    resolving,
    routes,
)
from hibiscusstile.gateway import state as state_lib
from hibiscusstile.platform import headers, servers
from hibiscusstile_standins import endless

__all__ = ["Measurement", "main", "measure"]

_TIME_LIMIT_S = 2.0
_TICK = datetime.timedelta(milliseconds=2)
_PAGE_BYTES = 4096
_MIB = 1024 * 1024
_ROUTE = routes.Route(
    "measured",
    "host",
    "/",
    routes.RequestKind.STREAMING,
    timeout_s=_TIME_LIMIT_S,
    target_latency_s=0.2,
    rank=0,
    shares=(routes.TrafficShare("measured", 1.0),),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Measurement:
    """Cost of one endless response.

    Attributes:
        response: Name of the response.
        memory_bytes: Largest growth of the process's resident memory.
        pause_s: Longest processor time between two runs of a periodic task.
        elapsed_s: Time until the request ended.
        forwarded_bytes: Bytes that the caller got.
        result: How the request ended for the caller.
        verdict: Whether the server may have run the request, if refused.
    """

    response: str
    memory_bytes: int
    pause_s: float
    elapsed_s: float
    forwarded_bytes: int
    result: str
    verdict: str


class _CallerSink(exchange.ResponseWriter):
    """Discards the response and keeps how it ended."""

    def __init__(self) -> None:
        self._started = False
        self.forwarded_bytes = 0
        self.result = ""
        self.verdict = ""

    @property
    def started(self) -> bool:
        """Whether the response headers were sent."""
        return self._started

    async def send_response(
        self, head: exchange.ResponseHead, body: bytes
    ) -> None:
        """Counts a complete response."""
        self._started = True
        self.forwarded_bytes += len(body)
        self.result = f"status {head.status}"

    async def start_stream(self, head: exchange.ResponseHead) -> None:
        """Starts a streamed response."""
        del head
        self._started = True

    async def write(self, data: bytes) -> None:
        """Counts a part of a streamed response."""
        self.forwarded_bytes += len(data)

    async def finish_stream(self) -> None:
        """Completes a streamed response."""
        self.result = "complete"

    async def refuse(self, refusal: outcome.Refusal) -> None:
        """Keeps the reason of a refusal."""
        self.result = refusal.reason.value
        self.verdict = refusal.verdict.value

    def abort(self) -> None:
        """Truncates a streamed response."""
        self.result = "truncated"


class _Sampler:
    """Samples memory and pauses of the event loop."""

    def __init__(self, clock: clock_lib.Clock) -> None:
        self._clock = clock
        self._first_bytes = _resident_bytes()
        self.memory_bytes = 0
        self.pause_s = 0.0

    async def run(self) -> None:
        """Samples until cancelled."""
        while True:
            # Processor time, which other processes do not lengthen.
            started_s = time.thread_time()
            await self._clock.sleep(_TICK)
            self.pause_s = max(self.pause_s, time.thread_time() - started_s)
            self.memory_bytes = max(
                self.memory_bytes, _resident_bytes() - self._first_bytes
            )


async def measure(
    response: str,
    address: str,
    time_limit_s: float = _TIME_LIMIT_S,
    requests: int = 1,
) -> Measurement:
    """Forwards requests to a server and returns what they cost.

    Args:
        response: Name of the response that the server sends.
        address: Address of the server, as `ip:port`.
        time_limit_s: Timeout of the requests' route.
        requests: Number of requests at the same time.
    """
    clock = clock_lib.SystemClock()
    state = state_lib.GatewayState(
        clock, "zone", state_lib.RetryPolicy(0.2, 60.0)
    )
    state.fleet.put(
        fleet.BackendServer("i-1", "measured", address, "zone", slots=1)
    )
    client = servers.HttpServerClient()
    crash_detector = crashdetection.CrashDetector(state, client)
    sinks = [_CallerSink() for _ in range(requests)]
    started_s = clock.monotonic()
    request = exchange.ForwardedRequest(
        "r1",
        "POST",
        "/",
        "host",
        key="",
        headers=((headers.REQUEST_ID, "r1"),),
        body=b"{}",
        received_s=started_s,
    )
    destination = resolving.Destination(
        dataclasses.replace(_ROUTE, timeout_s=time_limit_s),
        routes.Service("measured", max_connections=0),
        None,
        0,
        "shared",
    )
    sampler = _Sampler(clock)
    sampling = asyncio.ensure_future(sampler.run())
    try:
        await asyncio.gather(
            *(
                forwarding.RequestForwarder(
                    state, client, crash_detector, request, sink, destination
                ).run()
                for sink in sinks
            )
        )
        elapsed_s = clock.monotonic() - started_s
        await clock.sleep(_TICK * 2)
    finally:
        sampling.cancel()
        await client.close()
    return Measurement(
        response,
        sampler.memory_bytes,
        sampler.pause_s,
        elapsed_s,
        sum(sink.forwarded_bytes for sink in sinks),
        _join(sink.result for sink in sinks),
        _join(sink.verdict for sink in sinks),
    )


def _join(texts: Iterable[str]) -> str:
    return ", ".join(sorted(set(texts)))


def _resident_bytes() -> int:
    fields = pathlib.Path("/proc/self/statm").read_text().split()
    return int(fields[1]) * _PAGE_BYTES


def _measure_in_new_processes(responses: Sequence[str], requests: int) -> None:
    print(
        f"{'response':<22}{'memory, MiB':>12}{'pause, ms':>11}{'time, s':>9}"
        f"{'forwarded, MiB':>16}  end"
    )
    for response in responses:
        # Memory that an earlier measurement freed would hide later growth.
        subprocess.run(
            [
                *(sys.executable, "-m", __spec__.name, "--response", response),
                *("--requests", str(requests)),
            ],
            check=True,
        )


def _measure_one(response: str, requests: int) -> None:
    with subprocess.Popen(
        [
            *(sys.executable, "-m", "hibiscusstile_standins"),
            *("--kind", "endless", "--response", response),
        ],
        stdout=subprocess.PIPE,
        text=True,
    ) as server:
        try:
            assert server.stdout is not None
            port = int(server.stdout.readline())
            with logbook.NullHandler():
                result = uvloop.run(
                    measure(response, f"127.0.0.1:{port}", requests=requests)
                )
        finally:
            server.kill()
    end = " ".join(filter(None, (result.result, result.verdict)))
    print(
        f"{result.response:<22}{result.memory_bytes / _MIB:>12.1f}"
        f"{result.pause_s * 1000:>11.1f}{result.elapsed_s:>9.2f}"
        f"{result.forwarded_bytes / _MIB:>16.1f}  {end}",
        flush=True,
    )


def main() -> int:
    """Measures the responses that the command line names, or all."""
    parser = argparse.ArgumentParser(prog="bench.endless", description=__doc__)
    parser.add_argument("--response", choices=sorted(endless.ENDLESS_RESPONSES))
    parser.add_argument("--requests", type=int, default=1)
    arguments = parser.parse_args()
    if arguments.response:
        _measure_one(arguments.response, arguments.requests)
    else:
        _measure_in_new_processes(
            list(endless.ENDLESS_RESPONSES), arguments.requests
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
