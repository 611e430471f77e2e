"""Cost of the admission queue's operations by number of waiting requests.

Run as `python -m bench.queue_slopes`. Times are given as ratios to the
smallest queue as well, since they depend on the machine.
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

_SIZES = (100, 400, 1000)
_ROUNDS = 2000
_WORKSPACES = 50
_CALLERS = 4


class _Clock(clock_lib.Clock):
    """A clock that moves one millisecond at each look."""

    def __init__(self) -> None:
        self._seconds = 0.0

    def now(self) -> datetime.datetime:
        """Returns the time as a date."""
        return datetime.datetime.fromtimestamp(self._seconds, datetime.UTC)

    def monotonic(self) -> float:
        """Returns seconds."""
        self._seconds += 0.001
        return self._seconds

    async def sleep(self, duration: datetime.timedelta) -> None:
        """Moves the clock."""
        self._seconds += duration.total_seconds()


@dataclasses.dataclass(frozen=True, slots=True)
class _Figures:
    """Costs at one length of the queue."""

    waiting: int
    offer_us: float
    take_us: float
    finish_us: float
    wait_us: float
    bytes_per_request: float


def main() -> int:
    """Prints a table and one JSON line."""
    rows = [_measure(size) for size in _SIZES]
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
    rendered = [dataclasses.asdict(row) for row in rows]
    print(json.dumps({"rows": rendered, "cost_ratio": ratios}))
    return 0


def _measure(size: int) -> _Figures:
    tracemalloc.start()
    queue = _queue()
    before = tracemalloc.get_traced_memory()[0]
    for number in range(size):
        queue.offer(_work(number), 1e9)
    grown = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    assert queue.waiting == size, queue.waiting
    running = queue.start_next()
    spent = dict.fromkeys(("offer", "take", "finish", "wait"), 0.0)
    for number in range(size, size + _ROUNDS):
        assert running is not None
        work = _work(number)
        times = [time.perf_counter()]
        queue.finish(running.work_id, 400)
        times.append(time.perf_counter())
        queue.expected_wait_s(work)
        times.append(time.perf_counter())
        refusal = queue.offer(work, 1e9)
        times.append(time.perf_counter())
        assert refusal is None, refusal
        running = queue.start_next()
        times.append(time.perf_counter())
        for index, name in enumerate(("finish", "wait", "offer", "take")):
            spent[name] += times[index + 1] - times[index]
    mean = {name: total / _ROUNDS * 1e6 for name, total in spent.items()}
    return _Figures(
        size,
        mean["offer"],
        mean["take"],
        mean["finish"],
        mean["wait"],
        grown / size,
    )


def _queue() -> admission.AdmissionQueue:
    return admission.AdmissionQueue(
        _Clock(),
        admission.QueueLimits(
            running=1,
            running_tokens=10**6,
            queued_tokens=10**9,
            queued_requests=10**5,
            prefill_tokens_per_s=1e7,
            prefill_ahead_tokens=8000,
        ),
    )


def _work(number: int) -> request.WorkItem:
    return request.WorkItem(
        f"w{number}",
        f"ws-{number % _WORKSPACES}",
        f"c-{number // _WORKSPACES % _CALLERS}",
        "urgent" if number % 3 else "routine",
        "m1",
        "",
        (),
        200 + number % 700,
        50,
    )


if __name__ == "__main__":
    sys.exit(main())
