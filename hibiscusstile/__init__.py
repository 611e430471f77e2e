"""Router for language-model traffic with long shared prompts."""

from __future__ import annotations

import time

__all__ = ["STARTED_S", "__version__"]

__version__ = "0.2.0"

STARTED_S = time.clock_gettime(time.CLOCK_BOOTTIME)
"""When this process started, on the clock of `clock.SystemClock.monotonic`.

Imports take a while."""
