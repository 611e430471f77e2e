"""Asynchronous interface to the admission queue."""

from __future__ import annotations

import asyncio
import datetime

from hibiscusstile import admission, metrics, outcome, request
from hibiscusstile import clock as clock_lib

__all__ = ["AsyncAdmissionQueue"]

_EXPIRY_INTERVAL = datetime.timedelta(milliseconds=100)
_PAUSE_POLL_INTERVAL = datetime.timedelta(milliseconds=50)


class AsyncAdmissionQueue:
    """Wakes waiting tasks when the admission queue starts their requests.

    Args:
        queue: Selects the next request to run.
        clock: Schedules the removal of expired requests.
    """

    def __init__(
        self, queue: admission.AdmissionQueue, clock: clock_lib.Clock
    ) -> None:
        self._queue = queue
        self._clock = clock
        self._futures: dict[str, asyncio.Future[None]] = {}

    @property
    def queue(self) -> admission.AdmissionQueue:
        """The underlying admission queue."""
        return self._queue

    async def admit(
        self,
        work: request.WorkItem,
        deadline_s: float,
        cached_tokens: int = 0,
    ) -> None:
        """Queues a request and waits until it may start.

        After this returns, the caller must call `finish` for the request.

        Args:
            work: The request.
            deadline_s: Monotonic time after which it must not start.
            cached_tokens: Prompt tokens that the engine has in its cache.

        Raises:
            Refused: The request was refused by the queue, expired, was
                displaced or was drained; the verdict is `not_run`.
        """
        refusal = self._queue.offer(work, deadline_s, cached_tokens)
        if refusal is not None:
            raise outcome.Refused(refusal)
        future: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        self._futures[work.work_id] = future
        for shed in self._queue.pop_shed():
            self._refuse(shed.work.work_id, shed.refusal)
        self._admit_ready()
        try:
            await future
        except asyncio.CancelledError:
            if not self._queue.cancel(work.work_id):
                self.finish(work.work_id, 0)
            raise
        finally:
            self._futures.pop(work.work_id, None)

    def note_started(self, work_id: str) -> None:
        """Records that the engine has finished the prefill of a request."""
        self._queue.note_prefill_done(work_id)
        self._admit_ready()

    def finish(self, work_id: str, served_tokens: int) -> None:
        """Releases the capacity held by a request that ended."""
        self._queue.finish(work_id, served_tokens)
        self._admit_ready()

    async def pause(
        self, refusal: outcome.Refusal, time_limit: datetime.timedelta
    ) -> bool:
        """Refuses waiting and new requests and waits for running ones.

        Args:
            refusal: Refusal for these requests, with verdict `not_run`.
            time_limit: Longest wait for running requests to end.

        Returns:
            Whether no request is running.
        """
        self._queue.pause(refusal)
        self.refuse_waiting(refusal)
        deadline_s = self._clock.monotonic() + time_limit.total_seconds()
        while self._queue.running and self._clock.monotonic() < deadline_s:
            await self._clock.sleep(_PAUSE_POLL_INTERVAL)
        return not self._queue.running

    def resume(self) -> None:
        """Accepts requests again after `pause`."""
        self._queue.resume()
        self._admit_ready()

    def refuse_waiting(self, refusal: outcome.Refusal) -> None:
        """Refuses all waiting requests."""
        for work in self._queue.drain():
            self._refuse(work.work_id, refusal)

    async def run(self) -> None:
        """Refuses expired requests until cancelled."""
        while True:
            await self._clock.sleep(_EXPIRY_INTERVAL)
            for work in self._queue.expire():
                self._refuse(
                    work.work_id,
                    outcome.Refusal(
                        outcome.Reason.EXPIRED,
                        "the request waited longer than its rank allows",
                    ),
                )
            self._admit_ready()

    def _admit_ready(self) -> None:
        while (work := self._queue.start_next()) is not None:
            future = self._futures.get(work.work_id)
            if future is None or future.done():
                self._queue.finish(work.work_id, 0)
            else:
                future.set_result(None)
        for rank, requests in self._queue.waiting_by_rank.items():
            metrics.set_queue_length(rank, requests)

    def _refuse(self, work_id: str, refusal: outcome.Refusal) -> None:
        future = self._futures.get(work_id)
        if future is not None and not future.done():
            future.set_exception(outcome.Refused(refusal))
