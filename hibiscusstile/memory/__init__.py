"""Bounds the memory and the connections that callers take in a process."""

from __future__ import annotations

from hibiscusstile.memory.budget import Holding, MemoryBudget, Use
from hibiscusstile.memory.connections import ConnectionLimit
from hibiscusstile.memory.limits import (
    DEFAULT_DESCRIPTORS,
    DEFAULT_MEMORY_MB,
    MemoryLimits,
    memory_limits,
)

__all__ = [
    "DEFAULT_DESCRIPTORS",
    "DEFAULT_MEMORY_MB",
    "ConnectionLimit",
    "Holding",
    "MemoryBudget",
    "MemoryLimits",
    "Use",
    "memory_limits",
]
