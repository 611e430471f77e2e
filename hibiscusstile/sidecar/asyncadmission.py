"""Lets attempts wait for their turn in the admission queue."""

from __future__ import annotations

import asyncio
import datetime

from hibiscusstile import admission, metrics, outcome, request
from hibiscusstile import clock as clock_lib

__all__ = ["AsyncAdmissionQueue"]

_EXPIRY_INTERVAL = datetime.timedelta(milliseconds=100)
_PAUSE_POLL_INTERVAL = datetime.timedelta(milliseconds=50)


class AsyncAdmissionQueue:
    """Joins the queue's decisions with the tasks that wait for them.

    Args:
        queue: Decides who runs next.
        clock: Paces the search for expired requests.
    """

    def __init__(
        self, queue: admission.AdmissionQueue, clock: clock_lib.Clock
    ) -> None:
        self._queue = queue
        self._clock = clock
        self._futures: dict[str, asyncio.Future[None]] = {}

    @property
    def queue(self) -> admission.AdmissionQueue:
        """The queue."""
        return self._queue

    async def admit(
        self,
        work: request.WorkItem,
        deadline_s: float,
        cached_tokens: int = 0,
    ) -> None:
        """Waits until the request may start.

        The caller must call `finish` once this has returned.

        Args:
            work: The request.
            deadline_s: Monotonic time after which it is not to start.
            cached_tokens: Prompt tokens that the engine holds in cache.

        Raises:
            Refused: The queue refused it, it expired, or the queue was
                drained; always `not_run`.
        """
        refusal = self._queue.offer(work, deadline_s, cached_tokens)
        if refusal is not None:
            raise outcome.Refused(refusal)
        future: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        self._futures[work.work_id] = future
        for shed in self._queue.shed():
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
        """Notes that the engine has computed a request's prompt."""
        self._queue.note_started(work_id)
        self._admit_ready()

    def finish(self, work_id: str, served_tokens: int) -> None:
        """Frees the place of a request that ended."""
        self._queue.finish(work_id, served_tokens)
        self._admit_ready()

    async def pause(
        self, refusal: outcome.Refusal, time_limit: datetime.timedelta
    ) -> bool:
        """Refuses what waits and comes, and waits for what runs to end.

        Args:
            refusal: What the refused are told, with the verdict `not_run`.
            time_limit: How long to wait.

        Returns:
            Whether nothing runs any more.
        """
        self._queue.pause(refusal)
        self.refuse_waiting(refusal)
        deadline_s = self._clock.monotonic() + time_limit.total_seconds()
        while self._queue.running and self._clock.monotonic() < deadline_s:
            await self._clock.sleep(_PAUSE_POLL_INTERVAL)
        return not self._queue.running

    def resume(self) -> None:
        """Takes requests again."""
        self._queue.resume()
        self._admit_ready()

    def refuse_waiting(self, refusal: outcome.Refusal) -> None:
        """Refuses all that wait."""
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
        while (work := self._queue.take()) is not None:
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
