"""Admission control: a bounded, fair queue in front of a backend server."""

from __future__ import annotations

from hibiscusstile.admission.limits import QueueLimits
from hibiscusstile.admission.queue import AdmissionQueue, ShedRequest

__all__ = ["AdmissionQueue", "QueueLimits", "ShedRequest"]
