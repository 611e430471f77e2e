"""Measures time and memory of single decisions by problem size.

Run as `python -m bench.slopes`.
"""

from __future__ import annotations

import argparse
import datetime
import gc
import json
import random
import sys
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

from bench import assumptions, queues, simulation, traffic
from hibiscusstile import (
    admission,
    backends,
    bidder,
    cacheview,
    platform,
    policies,
)
from hibiscusstile.configuration import state as state_lib

__all__ = ["main", "measure"]

_RUNNER_COUNTS = (60, 120, 240)
_BLOCK_COUNTS = (10_000, 50_000, 100_000)
_WORKSPACE_COUNTS = (100, 400, 860)
_QUEUE_LENGTHS = (100, 500)
_REPEATS = 3


def main() -> int:
    """Prints a table and, in the last line, JSON."""
    parser = argparse.ArgumentParser(prog="bench.slopes", description=__doc__)
    parser.add_argument("--rounds", type=int, default=1000)
    rows = measure(parser.parse_args().rounds)
    for name, values in rows.items():
        print(
            f"{name:<34}" + "".join(f"{k}={v:<12}" for k, v in values.items())
        )
    print(json.dumps(rows))
    return 0


def measure(rounds: int) -> dict[str, dict[str, float]]:
    """Returns times in microseconds and memory in bytes by decision and size.

    Args:
        rounds: Number of decisions that each result is the mean of.
    """
    fleet = assumptions.load_fleet("cooperativa")
    source = traffic.TrafficSource(fleet, 1)
    requests = [source.draw() for _ in range(rounds)]
    rows = {}
    for runners in _RUNNER_COUNTS:
        rows[f"routing_decision_{runners}_runners"] = _measure_decision(
            requests, runners
        )
    rows["bid_at_sidecar"] = _measure_bid(fleet, requests)
    for blocks in _BLOCK_COUNTS:
        rows[f"cache_view_{blocks}_blocks"] = _measure_cache_view(
            blocks, rounds
        )
    for workspaces in _WORKSPACE_COUNTS:
        rows[f"folded_records_{workspaces}_workspaces"] = _measure_fold(
            workspaces
        )
    for queued in _QUEUE_LENGTHS:
        rows[f"queued_requests_{queued}"] = _measure_queue(
            fleet, source, queued
        )
    return rows


def _best_mean_us(action: Callable[[], Any], count: int) -> float:
    """Returns the lowest mean time of a few runs.

    The minimum excludes runs that other processes of the machine slowed down.
    """
    best = float("inf")
    for _ in range(_REPEATS):
        start_s = time.perf_counter()
        action()
        best = min(best, time.perf_counter() - start_s)
    return round(best / count * 1e6, 2)


def _bytes_per_item(build: Callable[[], Any], count: int) -> float:
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    kept = build()
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return round((after - before) / count, 1)


def _measure_decision(
    requests: list[traffic.Request], runners: int
) -> dict[str, float]:
    fleet = [
        policies.RunnerView(f"runner-{n}", load=n * 100) for n in range(runners)
    ]
    policy = policies.get_policy_by_name("bidding")({})

    def decide() -> None:
        for request in requests:
            candidates = policy.candidates(request.work, fleet)
            bids = [policies.Bid(v.runner, prefill_s=0.1) for v in candidates]
            policy.choose(request.work, bids)

    time_us = _best_mean_us(decide, len(requests))

    def route_with_new_policy() -> policies.Policy:
        fresh = policies.get_policy_by_name("bidding")({})
        for request in requests:
            fresh.candidates(request.work, fleet)
        return fresh

    return {
        "us": time_us,
        "bytes": _bytes_per_item(route_with_new_policy, len(requests)),
    }


def _measure_bid(
    fleet: assumptions.Fleet, requests: list[traffic.Request]
) -> dict[str, float]:
    sim = simulation.Simulation()
    queue = queues.build_queue(sim, fleet)
    view = cacheview.CacheView()
    view.reset("one")
    for request in requests:
        view.admit("one", request.salt, request.work.levels)
    sidecar_bidder = bidder.Bidder(sim, queue, view, 40_000.0, lambda rank: 0)
    for request in requests[: fleet.engine.batch]:
        sidecar_bidder.note_dispatched(request.work, request.salt)

    def bid() -> None:
        for request in requests:
            sidecar_bidder.estimate_bid(request.work, request.salt)

    return {"us": _best_mean_us(bid, len(requests))}


def _measure_cache_view(blocks: int, rounds: int) -> dict[str, float]:
    rng = random.Random(1)
    digests = [rng.getrandbits(64) for _ in range(blocks)]

    def build() -> cacheview.CacheView:
        view = cacheview.CacheView()
        view.reset("one")
        view.apply(_stored_events(digests, 0))
        return view

    view = build()
    batches = [
        _stored_events([rng.getrandbits(64) for _ in range(rounds)], first)
        for first in range(blocks, blocks + _REPEATS * rounds, rounds)
    ]

    def apply() -> None:
        view.apply(batches.pop())

    batches.reverse()
    return {
        "event_us": _best_mean_us(apply, rounds),
        "bytes": _bytes_per_item(build, blocks),
    }


def _stored_events(digests: list[int], first: int) -> backends.CacheEvents:
    return backends.CacheEvents(
        "one",
        tuple(
            backends.BlockEvent(
                first + index,
                backends.BlockEventKind.STORED,
                "salt",
                digest,
                2048,
            )
            for index, digest in enumerate(digests)
        ),
    )


def _workspace_entry(number: int) -> platform.LogEntry:
    keys = [{"key_id": f"key-{number}", "salt": "0" * 32, "digest": "0" * 64}]
    record = {
        "kind": "workspace",
        "name": f"ws{number}",
        "schema_version": 1,
        "body": {"keys": keys},
    }
    now = datetime.datetime.now(datetime.UTC)
    return platform.LogEntry(number, now, json.dumps(record).encode())


def _measure_fold(workspaces: int) -> dict[str, float]:
    entries = [_workspace_entry(number) for number in range(workspaces)]

    def build() -> state_lib.ConfigurationState:
        state = state_lib.ConfigurationState()
        for entry in entries:
            state.apply(entry)
        return state

    return {
        "apply_us_a_record": _best_mean_us(build, workspaces),
        "bytes": _bytes_per_item(build, workspaces),
    }


def _measure_queue(
    fleet: assumptions.Fleet, source: traffic.TrafficSource, queued: int
) -> dict[str, float]:
    requests = [source.draw() for _ in range(queued)]

    def build() -> admission.AdmissionQueue:
        queue = queues.build_queue(simulation.Simulation(), fleet)
        for request in requests:
            queue.offer(request.work, 1000.0)
        return queue

    waiting = build().waiting
    return {
        "waiting": waiting,
        "offer_us": _best_mean_us(build, queued),
        "bytes": _bytes_per_item(build, max(1, waiting)),
    }


if __name__ == "__main__":
    sys.exit(main())
