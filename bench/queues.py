"""Builds production admission queues for simulated runners."""

from __future__ import annotations

import dataclasses
import datetime

from bench import assumptions, simulation
from bench import engine as engine_lib
from hibiscusstile import admission, request
from hibiscusstile.configuration import view

__all__ = ["attempt_work", "build_queue"]

_FIRST_TOKEN_TARGET = datetime.timedelta(milliseconds=610)


def build_queue(
    sim: simulation.Simulation, fleet: assumptions.Fleet
) -> admission.AdmissionQueue:
    """Returns an empty queue with the fleet's limits."""
    ranks = {
        name: view.Rank(
            name,
            shape.level,
            shape.served_share,
            datetime.timedelta(seconds=shape.queue_time_s),
            _FIRST_TOKEN_TARGET,
        )
        for name, shape in fleet.ranks.items()
    }
    return admission.AdmissionQueue(
        sim,
        admission.QueueLimits(
            running=fleet.engine.batch,
            running_tokens=fleet.queue.running_tokens,
            queued_tokens=fleet.queue.queued_tokens,
            queued_requests=fleet.queue.queued_requests,
            prefill_tokens_per_s=fleet.engine.prefill_tokens_per_s,
            prefill_ahead_tokens=fleet.queue.prefill_ahead_tokens,
            next_class_share=fleet.queue.next_class_share,
        ),
        lambda: ranks,
    )


def attempt_work(attempt: engine_lib.Attempt) -> request.WorkItem:
    """Returns the request's work item with the attempt id as its work id.

    The relay does the same: attempts of one request are queued separately.
    """
    return dataclasses.replace(attempt.request.work, work_id=attempt.attempt_id)
