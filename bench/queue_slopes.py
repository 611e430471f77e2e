"""Measures the cost of admission queue operations by queue length.

Run as `python -m bench.queue_slopes`. Since times depend on the machine, they
are printed as ratios to the shortest queue as well.
"""

from __future__ import annotations

import dataclasses
import datetime
import json
import sys
import time
import tracemalloc

from hibiscusstile import admission, request
from hibiscusstile import clock as clock_lib

__all__ = ["main"]

_QUEUE_LENGTHS = (100, 400, 1000)
_ROUNDS = 2000
_WORKSPACE_COUNT = 50
_CALLERS_PER_WORKSPACE = 4


class _SteppingClock(clock_lib.Clock):
    """Clock that advances by one millisecond at each reading."""

    def __init__(self) -> None:
        self._now_s = 0.0

    def now(self) -> datetime.datetime:
        """Returns the time as a datetime."""
        return datetime.datetime.fromtimestamp(self._now_s, datetime.UTC)

    def monotonic(self) -> float:
        """Advances the clock and returns its time in seconds."""
        self._now_s += 0.001
        return self._now_s

    async def sleep(self, duration: datetime.timedelta) -> None:
        """Advances the clock by the duration."""
        self._now_s += duration.total_seconds()


@dataclasses.dataclass(frozen=True, slots=True)
class _Costs:
    """Mean cost of each operation at one queue length."""

    waiting: int
    offer_us: float
    take_us: float
    finish_us: float
    wait_us: float
    bytes_per_request: float


def main() -> int:
    """Prints a table and, in the last line, JSON."""
    rows = [_measure(length) for length in _QUEUE_LENGTHS]
    print("waiting  offer us  take us  finish us  wait us  bytes/request")
    for row in rows:
        print(
            f"{row.waiting:7d}  {row.offer_us:8.1f}  {row.take_us:7.1f}"
            f"  {row.finish_us:9.1f}  {row.wait_us:7.1f}"
            f"  {row.bytes_per_request:13.0f}"
        )
    first = rows[0]
    ratios = {
        str(row.waiting): round(
            (row.offer_us + row.take_us + row.finish_us)
            / (first.offer_us + first.take_us + first.finish_us),
            2,
        )
        for row in rows
    }
    costs = [dataclasses.asdict(row) for row in rows]
    print(json.dumps({"rows": costs, "cost_ratio": ratios}))
    return 0


def _measure(length: int) -> _Costs:
    tracemalloc.start()
    queue = _build_queue()
    before = tracemalloc.get_traced_memory()[0]
    for number in range(length):
        queue.offer(_work_item(number), 1e9)
    allocated = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    assert queue.waiting == length, queue.waiting
    running = queue.start_next()
    spent_s = dict.fromkeys(("offer", "take", "finish", "wait"), 0.0)
    for number in range(length, length + _ROUNDS):
        assert running is not None
        work = _work_item(number)
        marks = [time.perf_counter()]
        queue.finish(running.work_id, 400)
        marks.append(time.perf_counter())
        queue.expected_wait_s(work)
        marks.append(time.perf_counter())
        refusal = queue.offer(work, 1e9)
        marks.append(time.perf_counter())
        assert refusal is None, refusal
        running = queue.start_next()
        marks.append(time.perf_counter())
        for index, name in enumerate(("finish", "wait", "offer", "take")):
            spent_s[name] += marks[index + 1] - marks[index]
    mean_us = {name: total / _ROUNDS * 1e6 for name, total in spent_s.items()}
    return _Costs(
        length,
        mean_us["offer"],
        mean_us["take"],
        mean_us["finish"],
        mean_us["wait"],
        allocated / length,
    )


def _build_queue() -> admission.AdmissionQueue:
    return admission.AdmissionQueue(
        _SteppingClock(),
        admission.QueueLimits(
            running=1,
            running_tokens=10**6,
            queued_tokens=10**9,
            queued_requests=10**5,
            prefill_tokens_per_s=1e7,
            prefill_ahead_tokens=8000,
        ),
    )


def _work_item(number: int) -> request.WorkItem:
    return request.WorkItem(
        f"w{number}",
        f"ws-{number % _WORKSPACE_COUNT}",
        f"c-{number // _WORKSPACE_COUNT % _CALLERS_PER_WORKSPACE}",
        "urgent" if number % 3 else "routine",
        "m1",
        "",
        (),
        200 + number % 700,
        50,
    )


if __name__ == "__main__":
    sys.exit(main())
