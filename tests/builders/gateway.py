"""Builders of configuration records, requests and gateway processes."""

from __future__ import annotations

import asyncio
import contextlib
import datetime
import json
from collections.abc import AsyncIterator
from typing import Any

import aiohttp
import multidict
import yarl

from hibiscusstile import clock as clock_lib
from hibiscusstile import supervisor
from hibiscusstile.gateway import (
    configurationrelay,
    exchange,
    fleet,
    follower,
    routes,
    service,
)
from hibiscusstile.gateway import state as state_lib
from hibiscusstile.platform import (
    consumers,
    ingress,
    operatorrecords,
    platformstore,
    serverentries,
    servers,
)
from hibiscusstile_standins import runner as runner_lib
from hibiscusstile_standins import store as store_lib

__all__ = [
    "GatewayHarness",
    "backend_server",
    "configuration_record",
    "configuration_relay",
    "forwarded_request",
    "gateway_harness",
    "gateway_state",
    "operator_route",
    "prompt_headers",
    "routing_table",
]

ENGINE_SERVICE = "engines"
PLAIN_SERVICE = "accounts"
HOST = "callers.example"
KEY = "key-of-growers"
# Crashes further apart are not taken for a common outside cause.
CRASH_INTERVAL = datetime.timedelta(milliseconds=300)
SERVER_ENTRY_PACE = follower.ReadPace.for_server_entries(
    datetime.timedelta(seconds=2), datetime.timedelta(seconds=3)
)
_POLL = datetime.timedelta(milliseconds=10)


def operator_route(name: str, prefix: str, **fields: Any) -> dict[str, Any]:
    """Returns a route in the operators' record format."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": prefix,
        "kind": "idempotent",
        "timeout_ms": 2000,
        "target_latency_ms": 500,
        "priority": 2,
        "service": PLAIN_SERVICE,
        "attempts": 2,
        "allow_anonymous": False,
        **fields,
    }


def configuration_record(version: int = 1, **changes: Any) -> dict[str, Any]:
    """Returns a configuration record with an engine and a plain service."""
    fields: dict[str, Any] = {
        "version": version,
        "routes": [
            operator_route("lookup", "/lookup/"),
            operator_route(
                "payment", "/payment/", kind="non_idempotent", attempts=1
            ),
            operator_route(
                "question",
                "/question/",
                kind="streaming",
                service=ENGINE_SERVICE,
                attempts=1,
                resumable=False,
            ),
            operator_route(
                "dossier",
                "/dossier/",
                kind="streaming",
                service=ENGINE_SERVICE,
                attempts=2,
                resumable=True,
            ),
        ],
        "services": [
            {
                "name": ENGINE_SERVICE,
                "health_path": "/healthz",
                "max_connections": 100,
                "engine": {
                    "slots": 8,
                    "kv_tokens": 100_000,
                    "models": [{"name": "m1"}],
                },
            },
            {
                "name": PLAIN_SERVICE,
                "health_path": "/healthz",
                "max_connections": 100,
            },
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1_000_000,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "growers", "api_keys": [KEY], "isolated": False}],
    }
    return {**fields, **changes}


def routing_table(version: int = 1, **changes: Any) -> routes.RoutingTable:
    """Returns the decoded configuration."""
    record = configuration_record(version, **changes)
    return operatorrecords.decode_configuration(json.dumps(record).encode())


def backend_server(
    server_id: str = "i-1",
    service_name: str = ENGINE_SERVICE,
    *,
    zone: str = "z1",
    leaving: bool = False,
    started_ms: int = 0,
    sequence: int = -1,
    weights: dict[str, int] | None = None,
) -> fleet.BackendServer:
    """Returns a listed backend server."""
    return fleet.BackendServer(
        server_id,
        service_name,
        f"10.0.0.1:{sum(server_id.encode())}",
        zone,
        slots=8,
        leaving=leaving,
        started_ms=started_ms,
        sequence=sequence,
        weights=weights or {},
    )


def forwarded_request(
    request_id: str = "r1",
    target: str = "/dossier/1",
    *,
    parts: tuple[tuple[str, int], ...] = (("aa", 10_000), ("bb", 2_000)),
    received_s: float = 0.0,
    body: bytes = b"{}",
    headers: exchange.Headers = (),
    key: str = KEY,
) -> exchange.ForwardedRequest:
    """Returns a request with a prompt."""
    prompt = tuple(exchange.PromptPart(*part) for part in parts)
    return exchange.ForwardedRequest(
        request_id,
        "POST",
        target,
        HOST,
        key,
        headers,
        body,
        received_s,
        model="m1",
        parts=prompt,
        prompt_tokens=sum(part.tokens for part in prompt),
        max_output_tokens=100,
    )


def prompt_headers(*part_ids: str) -> dict[str, str]:
    """Returns the headers of a request with a prompt, for `call`."""
    prefix = ",".join(f"{each}:500" for each in part_ids)
    usage = f"{500 * len(part_ids)},100"
    return dict(X_Model="m1", X_Token_Usage=usage, X_Prompt_Prefix=prefix)


def gateway_state(
    clock: clock_lib.Clock, *, zone: str = "z1", reserve: float = 60.0
) -> state_lib.GatewayState:
    """Returns the state of a gateway without configuration or servers.

    It has forwarded enough requests to have full retry budgets.
    """
    state = state_lib.GatewayState(
        clock, zone, state_lib.RetryPolicy(0.2, reserve)
    )
    for name in (ENGINE_SERVICE, PLAIN_SERVICE):
        for _ in range(round(reserve / 0.2)):
            state.budget(name).note_first_attempt()
    return state


def configuration_relay(
    state: state_lib.GatewayState, name: str = "a"
) -> configurationrelay.ConfigurationRelay:
    """Returns a relay that applies operators' records."""
    return configurationrelay.ConfigurationRelay(
        name,
        state,
        consumers.OperatorRecordConsumer(state),
        operatorrecords.CONFIGURATION_KEY,
    )


class GatewayHarness:
    """A gateway listening on a socket, its store and its backend servers."""

    def __init__(
        self,
        store: store_lib.PlatformStoreService,
        state: state_lib.GatewayState,
        gateway: service.Gateway,
        front: ingress.Ingress,
    ) -> None:
        self.store = store
        self.state = state
        self.gateway = gateway
        self.front = front
        self.runners: list[runner_lib.FakeBackendServer] = []
        self.session = aiohttp.ClientSession(
            skip_auto_headers=(
                "Accept",
                "Accept-Encoding",
                "Content-Type",
                "User-Agent",
            )
        )

    @property
    def url(self) -> str:
        """Base URL for callers."""
        return f"http://127.0.0.1:{self.front.port}"

    async def add_runner(
        self, service_name: str, server_id: str, **options: Any
    ) -> runner_lib.FakeBackendServer:
        """Starts a backend server and registers it in the store."""
        runner = runner_lib.FakeBackendServer(server_id, **options)
        await runner.start()
        self.runners.append(runner)
        await self.store.put(
            serverentries.SERVER_TOPIC,
            server_id,
            runner.discovery_entry(service_name),
        )
        await self.until(lambda: self.state.fleet.get(server_id) is not None)
        return runner

    async def add_address(
        self, service_name: str, server_id: str, address: str
    ) -> None:
        """Registers a backend server that the test runs itself."""
        entry = runner_lib.FakeBackendServer(server_id).discovery_entry(
            service_name, address=address
        )
        await self.store.put(serverentries.SERVER_TOPIC, server_id, entry)
        await self.until(lambda: self.state.fleet.get(server_id) is not None)

    async def add_crashing_runners(
        self, service_name: str, count: int, text: str, restart_s: float
    ) -> None:
        """Adds backend servers that crash on requests with a text."""
        for number in range(count):
            runner = await self.add_runner(service_name, f"i-{number}")
            runner.crash_on(text, restart_s)

    async def until(self, condition: Any, timeout_s: float = 5.0) -> None:
        """Polls until a condition is true."""
        clock = clock_lib.SystemClock()
        end_s = clock.monotonic() + timeout_s
        while not condition():
            assert clock.monotonic() < end_s, "the condition was not met"
            await clock.sleep(_POLL)

    async def call(
        self,
        path: str,
        request_id: str = "r1",
        *,
        method: str = "POST",
        body: bytes = b"{}",
        **headers: str,
    ) -> tuple[int, bytes, multidict.CIMultiDict[str]]:
        """Sends a request and returns status, body and headers."""
        async with self.session.request(
            method,
            yarl.URL(self.url + path, encoded=True),
            data=body or None,
            headers=_caller_headers(request_id, headers),
        ) as response:
            received = multidict.CIMultiDict(response.headers)
            return response.status, await response.read(), received

    async def receive(
        self, path: str, request_id: str = "r1", **headers: str
    ) -> tuple[int, bytes, bool]:
        """Sends a request and returns status, body and completeness.

        Of an incomplete response, the body is what was received.
        """
        body = b""
        caller_headers = _caller_headers(request_id, headers)
        url = self.url + path
        async with self.session.post(url, headers=caller_headers) as response:
            try:
                async for data in response.content.iter_any():
                    body += data
            except aiohttp.ClientPayloadError:
                return response.status, body, False
            return response.status, body, True


def _caller_headers(request_id: str, headers: dict[str, str]) -> dict[str, str]:
    return {
        "Host": HOST,
        "X-Request-Id": request_id,
        "X-Deadline-Ms": "2000",
        "Authorization": f"Token {KEY}",
        **{name.replace("_", "-"): text for name, text in headers.items()},
    }


@contextlib.asynccontextmanager
async def gateway_harness(**changes: Any) -> AsyncIterator[GatewayHarness]:
    """Runs a gateway and its store, without backend servers."""
    clock = clock_lib.SystemClock()
    store = store_lib.PlatformStoreService()
    await store.start()
    await store.put(
        operatorrecords.OPERATOR_TOPIC,
        "config",
        json.dumps(configuration_record(**changes)).encode(),
    )
    state = gateway_state(clock)
    client = servers.HttpServerClient()
    gateway = service.Gateway(state, client)
    front = ingress.Ingress("127.0.0.1:0", gateway, clock)
    log = platformstore.PlatformStore(f"127.0.0.1:{store.port}")
    tree = supervisor.Supervisor("gateway", clock)
    for name, run in (
        (
            "operators",
            follower.KeyedFollower(
                log,
                operatorrecords.OPERATOR_TOPIC,
                consumers.OperatorRecordConsumer(state),
                clock,
            ).run,
        ),
        (
            "servers",
            follower.KeyedFollower(
                log,
                serverentries.SERVER_TOPIC,
                consumers.ServerEntryConsumer(state),
                clock,
            ).run,
        ),
        ("callers", front.run),
    ):
        tree.add(supervisor.ChildSpec(name, run))
    task = asyncio.ensure_future(tree.run())
    harness = GatewayHarness(store, state, gateway, front)
    try:
        await front.wait_listening()
        await harness.until(lambda: state.table is not None)
        yield harness
    finally:
        await harness.session.close()
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
        await client.close()
        await log.close()
        for runner in harness.runners:
            await runner.close()
        await store.close()
