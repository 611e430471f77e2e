"""State of an attempt that is sent to the engine."""

from __future__ import annotations

import asyncio
import dataclasses

from hibiscusstile import backends, outcome
from hibiscusstile.peers import messages
from hibiscusstile.sidecar import attemptstream

__all__ = ["RunningAttempt"]


@dataclasses.dataclass(slots=True)
class RunningAttempt:
    """An attempt that has not been forgotten yet.

    Attributes:
        stream: Delivers the output to the entry instance.
        dispatch: The request.
        incarnation: Incarnation of the engine that runs it, empty if unknown.
        stream_broken: Whether the engine's stream ended early.
        ended: Whether the final message was sent or buffered.
        timeout_scope: Ends the engine's stream, None while there is none.
        engine_wait_started_s: Monotonic time since which the engine's next
            event is awaited. None while the attempt is not waiting for the
            engine, for instance because its caller reads slowly.
        served_tokens: Tokens that the engine has processed.
        failure: Why the engine's stream was ended by `fail`.
    """

    stream: attemptstream.AttemptStream
    dispatch: messages.Dispatch
    incarnation: str = ""
    stream_broken: bool = False
    ended: bool = False
    timeout_scope: asyncio.Timeout | None = None
    engine_wait_started_s: float | None = None
    served_tokens: int = 0
    failure: outcome.Refusal | None = None

    def note_event(self, event: backends.EngineEvent) -> None:
        """Records an event of the engine; the attempt waits for no other."""
        self.engine_wait_started_s = None
        match event:
            case backends.EngineStarted():
                self.incarnation = event.incarnation or self.incarnation
                self.served_tokens += (
                    self.dispatch.work.prompt_tokens - event.cached_tokens
                )
            case backends.EngineText():
                self.served_tokens += 1

    def is_affected(
        self, incarnation: str, silent_since_s: float | None
    ) -> bool:
        """Whether a fault of the engine affects the attempt.

        Args:
            incarnation: Current incarnation of an engine that has restarted,
                else empty. Attempts on it are not affected, nor are those
                whose incarnation is not known.
            silent_since_s: Monotonic time since which the engine is silent,
                None if it has crashed. Attempts with an event since then or
                without a wait for one are not affected.
        """
        if incarnation and self.incarnation in ("", incarnation):
            return False
        if silent_since_s is None:
            return True
        return (
            self.engine_wait_started_s is not None
            and self.engine_wait_started_s <= silent_since_s
        )

    def fail(self, refusal: outcome.Refusal) -> None:
        """Ends the engine's stream, unless there is none or it has failed."""
        if self.timeout_scope is None or self.failure is not None:
            return
        self.failure = refusal
        self.timeout_scope.reschedule(asyncio.get_running_loop().time())
