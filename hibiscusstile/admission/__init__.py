"""A sidecar's bounded queue: who runs next, who waits, who is refused."""

from __future__ import annotations

from hibiscusstile.admission.limits import QueueLimits
from hibiscusstile.admission.queue import AdmissionQueue, ShedRequest

__all__ = ["AdmissionQueue", "QueueLimits", "ShedRequest"]
