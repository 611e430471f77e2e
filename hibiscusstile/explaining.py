"""Explains the outcome of one request from the logs of all gateways."""

from __future__ import annotations

import dataclasses
import datetime
from collections.abc import Sequence

from hibiscusstile.logreader import LogEvent

__all__ = ["Explanation", "explain"]

# Events about servers, the store and the process are left out if they precede
# the request by more than this.
_CONTEXT_WINDOW = datetime.timedelta(seconds=10)
_PROCESS_EVENTS = frozenset(
    {"started", "leaving", "stopped", "settings_reloaded"}
)
_CONFIGURATION_EVENT = "configuration_applied"
_MIN_SERVER_ERROR_STATUS = 500
_STORE_EVENTS = frozenset({"store_lost", "store_back"})


@dataclasses.dataclass(frozen=True, slots=True)
class Explanation:
    """What the logs say about one request.

    Attributes:
        events: The request's events and those that its gateway's decisions
            depended on, in order of time.
        cause: One sentence that says why the request ended as it did.
        found: Whether any event belongs to the request.
    """

    events: tuple[LogEvent, ...]
    cause: str
    found: bool


def explain(events: Sequence[LogEvent], request_id: str) -> Explanation:
    """Returns a request's events and the cause of its outcome.

    Args:
        events: The events of all logs in order of time.
        request_id: The request identifier that the caller sent.
    """
    request_events = [
        event for event in events if event.request_id == request_id
    ]
    if not request_events:
        return Explanation(
            (),
            "no log mentions the request: it reached no gateway, or its "
            "gateway had not yet read it from the connection",
            False,
        )
    context = _context_events(events, request_events)
    shown = sorted([*request_events, *context], key=lambda event: event.time)
    return Explanation(
        tuple(shown), _describe_outcome(events, request_events), True
    )


def _context_events(
    events: Sequence[LogEvent], request_events: Sequence[LogEvent]
) -> list[LogEvent]:
    """Returns the events that the gateway's decisions depended on.

    These are the last change of configuration before the request ended, and
    recent events about its servers, the store and the gateway process.
    """
    instance = request_events[0].instance
    window_start, request_end = (
        request_events[0].time - _CONTEXT_WINDOW,
        request_events[-1].time,
    )
    servers = {event.server_id for event in request_events if event.server_id}
    before = [
        event
        for event in events
        if event.instance == instance
        and event.time <= request_end
        and not event.request_id
    ]
    configuration = [e for e in before if e.name == _CONFIGURATION_EVENT][-1:]
    return configuration + [
        event
        for event in before
        if event.time >= window_start
        and (
            event.server_id in servers
            or event.name in _STORE_EVENTS
            or event.name in _PROCESS_EVENTS
        )
    ]


def _describe_outcome(
    events: Sequence[LogEvent], request_events: Sequence[LogEvent]
) -> str:
    ends = [
        event
        for event in request_events
        if event.name in ("request_ended", "request_refused")
    ]
    if not ends:
        return _describe_unfinished(events, request_events)
    end = ends[-1]
    if end.name == "request_refused":
        return _describe_refusal(end)
    return _describe_end(end, request_events)


def _describe_unfinished(
    events: Sequence[LogEvent], request_events: Sequence[LogEvent]
) -> str:
    instance, last = request_events[-1].instance, request_events[-1].time
    restart = next(
        (
            event
            for event in events
            if event.instance == instance
            and event.name == "started"
            and event.time > last
        ),
        None,
    )
    if restart is None:
        return f"the log of {instance} ends while the request is in progress"
    return (
        f"{instance} died while the request was in progress and restarted at "
        f"{restart.time:%H:%M:%S}"
    )


def _describe_refusal(end: LogEvent) -> str:
    version = end.fields.get("configuration")
    reason = end.fields.get("reason")
    location = f"{end.fields.get('host')}{end.fields.get('path')}"
    causes = {
        "not_found": f"configuration {version} has no route for {location}",
        "unauthorized": f"configuration {version} does not know the key",
        "not_ready": f"{end.instance} had not loaded a configuration yet",
        "no_backend": f"configuration {version} lacks the route's service",
    }
    return causes.get(str(reason), f"refused: {reason}")


def _failure_of_end(end: LogEvent) -> str:
    """Returns the last failure, for requests whose lines were dropped."""
    error = end.fields.get("error")
    return f"{end.fields.get('server')}: {error}" if error else ""


def _describe_end(end: LogEvent, request_events: Sequence[LogEvent]) -> str:
    result = str(end.fields.get("result"))
    elapsed_s = end.fields.get("elapsed_s")
    selected = [
        each for each in request_events if each.name == "server_selected"
    ]
    server = selected[-1].server_id if selected else "no server"
    failed = [
        each
        for each in request_events
        if each.name == "attempt" and "detail" in each.fields
    ]
    last_failure = (
        f"{failed[-1].server_id}: {failed[-1].fields['detail']}"
        if failed
        else _failure_of_end(end)
    )
    started = end.fields.get("first_event_s") is not None
    progress = (
        "the answer had started" if started else "no event had been received"
    )
    status = end.fields.get("status")
    if status is not None and int(status) >= _MIN_SERVER_ERROR_STATUS:
        return f"{server} processed it and answered with status {status}"
    if result == "served":
        return f"served by {server} after {elapsed_s} s"
    if result == "cancelled":
        return (
            f"the caller disconnected after {elapsed_s} s while {server} "
            f"processed the request; {progress}"
        )
    if result == "timed_out":
        return f"timed out after {elapsed_s} s at {server}; {progress}"
    if result == "overloaded":
        busy = [
            each for each in request_events if each.name == "server_too_busy"
        ]
        if busy:
            expected_s = busy[-1].fields.get("expected_s")
            return (
                "refused early: the best server would have taken "
                f"{expected_s} s to the first event"
            )
        return f"every server refused it; last: {last_failure or server}"
    if result == "backend_failed":
        return f"the server failed and a retry is not allowed; {last_failure}"
    return f"ended as {result}, {last_failure or server}"
