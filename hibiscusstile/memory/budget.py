"""Accounts for the memory that callers' requests hold in a process."""

from __future__ import annotations

import datetime
import enum
from collections.abc import Callable, Sequence

import logbook

from hibiscusstile import clock as clock_lib
from hibiscusstile import logs, metrics, outcome
from hibiscusstile.memory import limits as limits_lib
from hibiscusstile.memory import shedding

__all__ = ["Holding", "MemoryBudget", "Use"]

_log = logbook.Logger("memory")

# State of a request in progress, with its tasks and its server's connection.
# 239 streams took 60 KB each; the budget leaves room for the difference.
_REQUEST_BYTES = 32 * 1024
# Bodies that have stopped arriving may be ended after this time.
_RETRY_AFTER = datetime.timedelta(seconds=1)


class Use(enum.Enum):
    """What memory is used for."""

    ARRIVING = "arriving"
    """Bodies of requests that are arriving."""
    REQUESTS = "requests"
    """Requests that wait or run, with their bodies."""
    HELD = "held"
    """Responses that are held until they are complete."""
    UNREAD = "unread"
    """Bytes that callers have not read."""


class Holding:
    """The memory that one request holds, released at the end of its context.

    Args:
        budget: The budget.
        owner: Key or address that the request came from.
    """

    __slots__ = (
        "_budget",
        "_end",
        "_ended",
        "_request_bytes",
        "_unread_bytes",
        "owner",
        "phase",
        "progressed_s",
    )

    def __init__(self, budget: MemoryBudget, owner: str) -> None:
        self._budget = budget
        self._end: Callable[[], None] | None = None
        self._ended = False
        self._request_bytes = 0
        self._unread_bytes = 0
        self.owner = owner
        self.phase = shedding.Phase.RUNNING
        self.progressed_s = 0.0

    def __enter__(self) -> Holding:
        return self

    def __exit__(self, *unused: object) -> None:
        self._release()

    @property
    def size_bytes(self) -> int:
        """Memory held."""
        return self._request_bytes + self._unread_bytes

    @property
    def ended(self) -> bool:
        """Whether the request was ended to free its memory."""
        return self._ended

    def start_arriving(self, end: Callable[[], None], size_bytes: int) -> bool:
        """Takes memory for a body that is about to arrive.

        Args:
            end: Ends the wait for the body if others need the memory more.
            size_bytes: Size of the body, as far as it is known.

        Returns:
            Whether there is room for it.
        """
        self._end = end
        self.phase = shedding.Phase.ARRIVING
        self.progressed_s = self._budget.now_s
        return self.grow(size_bytes)

    def grow(self, size_bytes: int) -> bool:
        """Takes memory for a body of at least a size; False without room."""
        added_bytes = _REQUEST_BYTES + size_bytes - self._request_bytes
        if added_bytes <= 0:
            return not self._ended
        use = (
            Use.ARRIVING
            if self.phase is shedding.Phase.ARRIVING
            else Use.REQUESTS
        )
        if not self._budget.take(self, use, added_bytes):
            return False
        self._request_bytes += added_bytes
        return True

    def note_progress(self) -> None:
        """Records that the caller has sent or read something."""
        self.progressed_s = self._budget.now_s

    def start_running(self, size_bytes: int) -> bool:
        """Takes memory for a request whose body is complete.

        A body that was admitted keeps the memory it has.

        Returns:
            Whether there is room for it.
        """
        self._end = None
        if self.phase is shedding.Phase.ARRIVING:
            self._budget.move(Use.ARRIVING, Use.REQUESTS, self._request_bytes)
            self.phase = shedding.Phase.RUNNING
            # A body of unannounced length took memory in steps.
            surplus_bytes = self._request_bytes - _REQUEST_BYTES - size_bytes
            if surplus_bytes > 0:
                self._budget.give_back(Use.REQUESTS, surplus_bytes)
                self._request_bytes -= surplus_bytes
        return self.grow(size_bytes)

    def set_unread(self, size_bytes: int, end: Callable[[], None]) -> bool:
        """Sets how much memory the part takes that the caller has not read.

        Args:
            size_bytes: That memory; 0 once all is read.
            end: Closes the connection if others need the memory more.

        Returns:
            False without room; the connection must then be closed.
        """
        if size_bytes and not self._unread_bytes:
            self.note_progress()
        added_bytes = size_bytes - self._unread_bytes
        if added_bytes > 0:
            if not self._budget.take(self, Use.UNREAD, added_bytes):
                return False
        else:
            self._budget.give_back(Use.UNREAD, -added_bytes)
        self._unread_bytes = size_bytes
        self._end = end if size_bytes else None
        self.phase = (
            shedding.Phase.UNREAD if size_bytes else shedding.Phase.RUNNING
        )
        return True

    def clear_end(self) -> None:
        """Drops the callback; the request may still lose its memory."""
        self._end = None

    def end(self) -> None:
        """Ends the request to free its memory."""
        end = self._end
        self._release()
        self._ended = True
        if end is not None:
            end()

    def _release(self) -> None:
        self._budget.remove(self)
        use = (
            Use.ARRIVING
            if self.phase is shedding.Phase.ARRIVING
            else Use.REQUESTS
        )
        self._budget.give_back(use, self._request_bytes)
        self._budget.give_back(Use.UNREAD, self._unread_bytes)
        self._request_bytes = self._unread_bytes = 0


class MemoryBudget:
    """Memory of all requests of a process.

    Args:
        limits: Limits of the process.
        clock: Clock for the progress of callers.
    """

    def __init__(
        self, limits: limits_lib.MemoryLimits, clock: clock_lib.Clock
    ) -> None:
        self._limits = limits
        self._clock = clock
        self._holdings: set[Holding] = set()
        self._used_bytes = dict.fromkeys(Use, 0)
        self._total_bytes = 0
        self._peak_bytes = 0
        self._refused = 0
        self._ended = 0

    @property
    def limits(self) -> limits_lib.MemoryLimits:
        """Limits of the process."""
        return self._limits

    @property
    def total_bytes(self) -> int:
        """Memory in use."""
        return self._total_bytes

    @property
    def now_s(self) -> float:
        """The current time."""
        return self._clock.monotonic()

    def open(self, owner: str) -> Holding:
        """Returns the account of a new request."""
        holding = Holding(self, owner)
        self._holdings.add(holding)
        return holding

    def refusal(self) -> outcome.Refusal:
        """Returns the refusal of a request for which there is no room."""
        return outcome.Refusal(
            outcome.Reason.MEMORY_SHORT,
            "the instance has no memory left for the request",
            retry_after=_RETRY_AFTER,
        )

    def take(self, holding: Holding, use: Use, size_bytes: int) -> bool:
        """Takes memory, for which other requests may be ended.

        Returns:
            Whether the request may have it.
        """
        if holding.ended:
            return False
        new_request = holding.size_bytes == 0
        if new_request and len(self._holdings) > self._limits.max_requests:
            return self._refuse(holding, use)
        room_bytes = self._limits.budget_bytes - self._total_bytes
        # A response that already runs may use the reserve.
        if use is not Use.UNREAD and (
            holding.size_bytes + size_bytes > self._limits.small_bytes
        ):
            room_bytes -= self._limits.reserve_bytes
        if size_bytes > room_bytes:
            chosen = shedding.choose(
                self._holdings, holding, size_bytes - room_bytes, self.now_s
            )
            if not chosen:
                return self._refuse(holding, use)
            self._end(chosen)
        self._add(use, size_bytes)
        return True

    def take_held(self, size_bytes: int) -> bool:
        """Takes memory for a response that is held, if there is room."""
        room_bytes = self._limits.budget_bytes - self._limits.reserve_bytes
        if self._total_bytes + size_bytes > room_bytes:
            return False
        self._add(Use.HELD, size_bytes)
        return True

    def give_back(self, use: Use, size_bytes: int) -> None:
        """Records that memory is free again."""
        self._used_bytes[use] -= size_bytes
        self._total_bytes -= size_bytes

    def move(self, source: Use, target: Use, size_bytes: int) -> None:
        """Records that memory is used for something else."""
        self._used_bytes[source] -= size_bytes
        self._used_bytes[target] += size_bytes

    def remove(self, holding: Holding) -> None:
        """Records that a request holds no memory any more."""
        self._holdings.discard(holding)

    def status(self) -> dict[str, object]:
        """Returns the use of the memory for the status page."""
        return {
            "budget_bytes": self._limits.budget_bytes,
            "peak_bytes": self._peak_bytes,
            "requests": len(self._holdings),
            "refused": self._refused,
            "ended": self._ended,
            "bytes": self.used_bytes(),
        }

    def update_metrics(self) -> None:
        """Copies the memory in use to the metrics."""
        for use, size_bytes in self._used_bytes.items():
            metrics.set_memory_use(use.value, size_bytes)

    def used_bytes(self) -> dict[str, int]:
        """Returns the memory in use by what it is used for."""
        return {use.value: size for use, size in self._used_bytes.items()}

    def _add(self, use: Use, size_bytes: int) -> None:
        self._used_bytes[use] += size_bytes
        self._total_bytes += size_bytes
        self._peak_bytes = max(self._peak_bytes, self._total_bytes)

    def _refuse(self, holding: Holding, use: Use) -> bool:
        self._refused += 1
        metrics.count_memory_decision("refused", use.value)
        logs.event(
            _log,
            "memory_refused",
            use=use.value,
            total=self._total_bytes,
            held=holding.size_bytes,
        )
        return False

    def _end(self, chosen: Sequence[Holding]) -> None:
        for holding in chosen:
            self._ended += 1
            metrics.count_memory_decision("ended", holding.phase.value)
            logs.warn(
                _log,
                "memory_freed",
                phase=holding.phase.value,
                freed=holding.size_bytes,
                total=self._total_bytes,
            )
            holding.end()
