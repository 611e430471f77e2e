"""Works out a process's limits from the memory and descriptors it may use."""

from __future__ import annotations

import dataclasses

__all__ = [
    "DEFAULT_DESCRIPTORS",
    "DEFAULT_MEMORY_MB",
    "MemoryLimits",
    "memory_limits",
]

# For settings without limits; the smallest machines have 150 MB.
DEFAULT_MEMORY_MB = 1024
DEFAULT_DESCRIPTORS = 4096

_MB = 1024 * 1024
# A process that serves nobody has about 64 MB, with a large configuration more.
_BASE_BYTES = 90 * _MB
_MIN_HEADROOM_SHARE = 0.25
# The rest of the headroom is for copies, the allocator and all other state.
_BUDGET_SHARE = 0.45
_RESERVE_SHARE = 0.25
_HELD_SHARE = 0.125
_CONNECTIONS_SHARE = 0.3
# An open connection without a request: 450 of them took 2 MB.
_CONNECTION_BYTES = 8 * 1024
# Descriptors that the platform keeps for files.
_FILE_DESCRIPTORS = 200
# The rest of the descriptors is for peers, the store and probes.
_CALLER_SHARE = 0.5
_REQUEST_SHARE = 0.3
_SMALL_BYTES = 128 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class MemoryLimits:
    """Limits of one process.

    Attributes:
        budget_bytes: Memory for everything that callers' requests hold.
        reserve_bytes: Part of it that only small requests, and responses whose
            callers are slow, may use.
        small_bytes: Largest size of a small request.
        max_connections: Callers' connections that may be open.
        max_requests: Requests in progress; each may take a connection to a
            server.
    """

    budget_bytes: int
    reserve_bytes: int
    small_bytes: int
    max_connections: int
    max_requests: int

    @property
    def held_bytes(self) -> int:
        """Memory for responses that are held until they are complete."""
        return int(self.budget_bytes * _HELD_SHARE)


def memory_limits(memory_mb: float, max_descriptors: int) -> MemoryLimits:
    """Returns the limits of a process.

    Args:
        memory_mb: Memory at which the process is killed, in MB.
        max_descriptors: Descriptors that it may have open.
    """
    memory_bytes = memory_mb * _MB
    headroom_bytes = max(
        memory_bytes - _BASE_BYTES, memory_bytes * _MIN_HEADROOM_SHARE
    )
    budget_bytes = int(headroom_bytes * _BUDGET_SHARE)
    sockets = max(max_descriptors - _FILE_DESCRIPTORS, max_descriptors // 4, 16)
    return MemoryLimits(
        budget_bytes=budget_bytes,
        reserve_bytes=int(budget_bytes * _RESERVE_SHARE),
        small_bytes=_SMALL_BYTES,
        max_connections=min(
            int(sockets * _CALLER_SHARE),
            int(headroom_bytes * _CONNECTIONS_SHARE / _CONNECTION_BYTES),
        ),
        max_requests=int(sockets * _REQUEST_SHARE),
    )
