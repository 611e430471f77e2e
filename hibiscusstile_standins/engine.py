"""Stand-in for a model inference engine."""

from __future__ import annotations

import argparse
import asyncio
import collections
import dataclasses
import json
import secrets
import time
from typing import Any

from aiohttp import web

import hibiscusstile_standins
from hibiscusstile import supervisor
from hibiscusstile_standins import (
    batching,
    blockcache,
    engineoptions,
    loader,
    server,
    text,
    weights,
)
from hibiscusstile_standins.engineoptions import EngineOptions, EngineRun
from hibiscusstile_standins.text import expected_words

__all__ = ["Engine", "EngineOptions", "EngineRun", "expected_words"]

_MAX_LOAD_SAMPLES = 10_000


@hibiscusstile_standins.stand_ins.register()
class Engine(server.StandIn):
    """Generates deterministic text and caches prompt prefixes.

    Args:
        model: The loaded model, empty if none.
        weights_version: Version of the loaded weights.
        options: Speed, cache size and faults.
        weight_store: Store that weights are loaded from. Engines that share
            a store share its bandwidth.
    """

    name = "engine"

    def __init__(
        self,
        model: str = "m1",
        weights_version: str = "v1",
        options: EngineOptions | None = None,
        weight_store: weights.WeightStore | None = None,
    ) -> None:
        super().__init__()
        self._options = options or EngineOptions()
        self._loader = loader.WeightsLoader(
            model,
            weights_version,
            weight_store or weights.WeightStore(),
            self._options.checks_fencing,
            self._clear_cache,
        )
        self._scheduler = batching.BatchScheduler(
            self._options.batch, self._thawed
        )
        self._sequences: dict[str, batching.Sequence] = {}
        self._runs: list[EngineRun] = []
        self._load_samples: collections.deque[tuple[float, dict[str, int]]] = (
            collections.deque(maxlen=_MAX_LOAD_SAMPLES)
        )
        self._stale_events: tuple[float, dict[str, Any]] = (0.0, {})
        self._event_faults = (
            self._options.event_lag_s,
            self._options.event_loss,
        )
        self._start_incarnation()
        self._supervisor.add(supervisor.ChildSpec("batch", self._scheduler.run))

    @classmethod
    def add_arguments(cls, parser: argparse.ArgumentParser) -> None:
        """Adds the engine's command-line options to a parser."""
        parser.add_argument("--model", default="m1")
        parser.add_argument("--weights-version", default="v1")
        engineoptions.add_arguments(parser)

    @classmethod
    def from_arguments(cls, arguments: argparse.Namespace) -> Engine:
        """Returns an engine configured from the command line."""
        return cls(
            arguments.model,
            arguments.weights_version,
            engineoptions.from_arguments(arguments),
        )

    @property
    def incarnation(self) -> str:
        """Random id that changes with each crash."""
        return self._incarnation

    @property
    def accepted_attempts(self) -> tuple[str, ...]:
        """Ids of the attempts that were not refused, in order of arrival."""
        return tuple(run.attempt_id for run in self._runs)

    @property
    def runs(self) -> tuple[EngineRun, ...]:
        """One record for each accepted attempt, in order of arrival."""
        return tuple(self._runs)

    @property
    def orders(self) -> tuple[dict[str, Any], ...]:
        """The accepted weight-loading orders, in order."""
        return self._loader.orders

    @property
    def cached_block_count(self) -> int:
        """Number of blocks in the prefix cache."""
        return len(self._cache)

    def application(self) -> web.Application:
        """Returns the web application of the engine's protocol."""
        app = server.new_application()
        app.router.add_post("/v1/chat/completions", self._post_chat)
        app.router.add_post("/v1/cancel/{attempt}", self._post_cancel)
        app.router.add_get("/cache/events", self._get_events)
        app.router.add_get("/cache/blocks", self._get_blocks)
        app.router.add_get("/load", self._get_load)
        app.router.add_get("/health", self._get_health)
        app.router.add_post("/orders", self._post_order)
        app.router.add_get("/kv/{digest}", self._export_kv)
        app.router.add_put("/kv/{digest}", self._import_kv)
        return app

    def record(self) -> dict[str, Any]:
        """Returns the incarnation, the attempts and the accepted orders."""
        return {
            "incarnation": self._incarnation,
            "runs": [dataclasses.asdict(run) for run in self._runs],
            "orders": list(self._loader.orders),
        }

    def drop_volatile_state(self) -> None:
        """Drops the cache and running requests; starts a new incarnation."""
        for run in self._runs:
            if run.ended == "running":
                run.ended = "crashed"
        self._scheduler.clear()
        self._sequences.clear()
        self._start_incarnation()

    @server.fault
    def set_event_faults(
        self, lag_s: float = 0.05, loss: float = 0.0, stale_s: float = 0.0
    ) -> None:
        """Sets the delay, loss and staleness of cache events.

        Args:
            lag_s: Delay from an event to its publication.
            loss: Probability that an event is dropped, 0 to 1.
            stale_s: Time for which reads return the current events and
                incarnation unchanged, even after a crash.
        """
        self._event_faults = (lag_s, loss)
        self._feed.lag_s, self._feed.loss = self._event_faults
        if stale_s:
            page = self._events_page(-1)
            self._stale_events = (time.monotonic() + stale_s, page)

    def _start_incarnation(self) -> None:
        self._incarnation = secrets.token_hex(6)
        self._feed = blockcache.EventFeed(*self._event_faults)
        self._cache = blockcache.BlockCache(
            self._feed, self._options.max_blocks, self._options.block_tokens
        )

    def _clear_cache(self) -> None:
        self._cache.clear()

    async def _post_chat(self, request: web.Request) -> web.StreamResponse:
        body = await request.json()
        refusal = self._loader.refusal_reason(body)
        if refusal:
            return web.json_response({"message": refusal}, status=409)
        run = EngineRun(
            body["attempt_id"],
            self._loader.model,
            self._loader.weights_version,
            body["cache_salt"],
            body["priority"],
            text.count_prompt_tokens(body["messages"]),
        )
        self._runs.append(run)
        sequence = self._build_sequence(body, run)
        self._sequences[run.attempt_id] = sequence
        self._scheduler.add(sequence)
        self._record_load()
        try:
            return await self._send_stream(request, run, sequence)
        finally:
            if run.ended == "running":
                run.ended = "dropped"
            self._scheduler.remove(sequence)
            self._sequences.pop(run.attempt_id, None)
            self._record_load()

    def _build_sequence(
        self, body: dict[str, Any], run: EngineRun
    ) -> batching.Sequence:
        words = expected_words(body["messages"], body["max_tokens"])
        salt = body["cache_salt"]
        keys = text.block_keys(
            salt, body["messages"], self._options.block_tokens
        )
        levels = [
            blockcache.PrefixLevel(each["digest"], each["tokens"])
            for each in body.get("prefix_levels", [])
        ]
        run.cached_tokens = self._cache.cached_tokens(keys)
        incarnation = self._incarnation
        has_crash_mark = self._options.crash_mark in text.prompt_text(
            body["messages"]
        )

        def on_prefilled() -> dict[str, Any]:
            if has_crash_mark:
                self.crash(self._options.restart_s)
            else:
                self._cache.store(salt, keys, levels)
            return {
                "event": "started",
                "cached_tokens": run.cached_tokens,
                "incarnation": incarnation,
            }

        return batching.Sequence(
            run.attempt_id,
            run.priority,
            words,
            min(len(body["resume_text"].split()), len(words)),
            run.prompt_tokens - run.cached_tokens,
            asyncio.Queue(),
            on_prefilled,
        )

    async def _send_stream(
        self,
        request: web.Request,
        run: EngineRun,
        sequence: batching.Sequence,
    ) -> web.StreamResponse:
        response = web.StreamResponse(
            headers={"Content-Type": "text/event-stream"}
        )
        await response.prepare(request)
        while (event := await sequence.events.get()) is not None:
            await self._thawed.wait()
            if event["event"] == "text":
                run.words += 1
            elif event["event"] == "end":
                run.ended = "end"
                event = engineoptions.end_event(run, len(sequence.output_words))
            await response.write(f"data: {json.dumps(event)}\n\n".encode())
            if event["event"] == "end":
                await response.write_eof()
                return response
        if run.ended == "crashed":
            server.drop_connection(request)
        else:
            await response.write_eof()
        return response

    async def _post_cancel(self, request: web.Request) -> web.Response:
        attempt_id = request.match_info["attempt"]
        sequence = self._sequences.get(attempt_id)
        if sequence is not None:
            for run in reversed(self._runs):
                if run.attempt_id == attempt_id:
                    run.ended = "cancelled"
                    break
            self._scheduler.remove(sequence)
        return web.json_response({})

    async def _get_events(self, request: web.Request) -> web.Response:
        expires_s, stale_page = self._stale_events
        if time.monotonic() < expires_s:
            return web.json_response(stale_page)
        after = int(request.query.get("after", "-1"))
        return web.json_response(self._events_page(after))

    def _events_page(self, after: int) -> dict[str, Any]:
        return {
            "incarnation": self._incarnation,
            "events": self._feed.published_after(after),
        }

    async def _get_blocks(self, request: web.Request) -> web.Response:
        del request
        return web.json_response(
            {
                "incarnation": self._incarnation,
                "events": self._cache.stored_events(),
                "last_number": self._feed.last_number,
            }
        )

    def _record_load(self) -> None:
        self._load_samples.append(
            (
                time.monotonic(),
                {
                    "running": self._scheduler.running,
                    "waiting": self._scheduler.waiting,
                    "prefill_tokens": self._scheduler.prefill_tokens,
                },
            )
        )

    async def _get_load(self, request: web.Request) -> web.Response:
        del request
        cutoff_s = time.monotonic() - self._options.load_lag_s
        reported = {"running": 0, "waiting": 0, "prefill_tokens": 0}
        for sampled_s, load in self._load_samples:
            if sampled_s > cutoff_s:
                break
            reported = load
        return web.json_response(reported)

    async def _get_health(self, request: web.Request) -> web.Response:
        del request
        return web.json_response(
            {
                "incarnation": self._incarnation,
                **self._loader.health_fields(),
            }
        )

    async def _post_order(self, request: web.Request) -> web.Response:
        refusal = await self._loader.apply_order(await request.json())
        if refusal:
            return web.json_response({"message": refusal}, status=409)
        return web.json_response({})

    async def _export_kv(self, request: web.Request) -> web.Response:
        salt = request.query.get("salt", "")
        keys = self._cache.level_block_keys(salt, _path_digest(request))
        if keys is None:
            return web.json_response(
                {"message": "the prefix is not cached"}, status=404
            )
        body = {
            "model": self._loader.model,
            "weights_version": self._loader.weights_version,
            "salt": salt,
            "block_tokens": self._options.block_tokens,
            "blocks": keys,
        }
        return web.Response(body=json.dumps(body).encode())

    async def _import_kv(self, request: web.Request) -> web.Response:
        try:
            data = json.loads(await request.read())
            blocks = [str(key) for key in data["blocks"]]
        except (ValueError, KeyError, TypeError):
            return web.json_response(
                {"message": "the body is not valid KV cache data"}, status=400
            )
        expected_scope = {
            "model": self._loader.model,
            "weights_version": self._loader.weights_version,
            "salt": request.query.get("salt", ""),
            "block_tokens": self._options.block_tokens,
        }
        if any(
            data.get(name) != value for name, value in expected_scope.items()
        ):
            return web.json_response(
                {
                    "message": "the KV cache has another model, weights"
                    " version, salt or block size"
                },
                status=409,
            )
        tokens = len(blocks) * self._options.block_tokens
        level = blockcache.PrefixLevel(_path_digest(request), tokens)
        self._cache.store(data["salt"], blocks, [level])
        return web.json_response({}, status=201)


def _path_digest(request: web.Request) -> int:
    return int(request.match_info["digest"])
