"""Prometheus metrics of one process."""

from __future__ import annotations

import resource

from aioprometheus import collectors, renderer

from hibiscusstile import outcome

__all__ = [
    "count_allowance",
    "count_attempt",
    "count_control_bytes",
    "count_crashing_part",
    "count_dropped_line",
    "count_full_server",
    "count_memory_decision",
    "count_peer_rejection",
    "count_prompt_tokens",
    "count_recomputed_tokens",
    "count_refusal",
    "count_request",
    "count_retry",
    "count_server_down",
    "count_silent_server",
    "count_store_call",
    "count_store_restore",
    "observe_first_event",
    "observe_first_token",
    "render",
    "set_long_prompt_engines",
    "set_memory_use",
    "set_queue_length",
    "set_revision",
    "set_store_era",
    "set_unseen_arrivals",
]

_prompt_tokens = collectors.Counter(
    "hibiscusstile_prompt_tokens", "Prompt tokens of answered requests"
)
_cached_tokens = collectors.Counter(
    "hibiscusstile_cached_tokens", "Prompt tokens reused from a cache"
)
_recomputed_tokens = collectors.Counter(
    "hibiscusstile_recomputed_tokens",
    "Prompt tokens computed although some engine had seen their prefix",
)
_first_token_seconds = collectors.Histogram(
    "hibiscusstile_first_token_seconds",
    "Time to the first token by rank",
    buckets=[0.05, 0.1, 0.2, 0.4, 0.61, 1.0, 2.0, 5.0, 10.0, 30.0],
)
_refusals = collectors.Counter(
    "hibiscusstile_refusals", "Refused requests by verdict and reason"
)
_queue_requests = collectors.Gauge(
    "hibiscusstile_queue_requests", "Waiting requests by rank"
)
_control_bytes = collectors.Counter(
    "hibiscusstile_control_bytes", "Bytes sent to peers by message type"
)
_processor_seconds = collectors.Gauge(
    "hibiscusstile_processor_seconds", "Processor time of the process"
)
_peer_rejections = collectors.Counter(
    "hibiscusstile_peer_rejections", "Peers' connections refused, by cause"
)
_dropped_messages = collectors.Counter(
    "hibiscusstile_dropped_messages",
    "Messages between gateways that were malformed, by direction",
)
_revision = collectors.Gauge(
    "hibiscusstile_revision", "Configuration revision in force"
)
_dropped_lines = collectors.Counter(
    "hibiscusstile_log_lines_dropped", "Log lines that were not written"
)
_requests = collectors.Counter(
    "hibiscusstile_requests", "Forwarded requests by kind, rank and outcome"
)
_allowance_requests = collectors.Counter(
    "hibiscusstile_allowance_requests",
    "Requests of limited workspaces: with tokens held here, borrowed, refused",
)
_attempts = collectors.Counter(
    "hibiscusstile_attempts", "Attempts at backend servers by outcome"
)
_room_decisions = collectors.Counter(
    "hibiscusstile_room_decisions",
    "Requests to shared engines: sent, or refused since no engine is in time or"
    " the workspace exceeds its share",
)
_retries = collectors.Counter(
    "hibiscusstile_retries", "Retries by budget and whether it granted them"
)
_servers_down = collectors.Counter(
    "hibiscusstile_servers_down",
    "Servers that refused connections after they had lost a request",
)
_silent_servers = collectors.Counter(
    "hibiscusstile_silent_servers",
    "Attempts at streams whose server was left or suspected as silent",
)
_full_servers = collectors.Counter(
    "hibiscusstile_full_servers",
    "Servers left out of a selection as their memory is full, by service",
)
_crashing_parts = collectors.Counter(
    "hibiscusstile_crashing_parts",
    "Prompt parts blocked because they crash engines, and parts cleared",
)
_crash_analyses = collectors.Counter(
    "hibiscusstile_crash_analyses",
    "Searches for the prompt parts that crash servers, by whether they ended "
    "within their limits",
)
_crash_analysis_steps = collectors.Counter(
    "hibiscusstile_crash_analysis_steps", "Steps that these searches took"
)
_store_calls = collectors.Counter(
    "hibiscusstile_store_calls", "Calls to the platform's store by outcome"
)
_store_restores = collectors.Counter(
    "hibiscusstile_store_restores",
    "Restores of the platform's store from a copy that were noticed",
)
_store_era = collectors.Gauge(
    "hibiscusstile_store_era", "Newest known era of the platform's store"
)
_unseen_arrivals = collectors.Gauge(
    "hibiscusstile_unseen_arrivals",
    "Estimated arrivals per server that no load report tells of, by service",
)
_long_prompt_engines = collectors.Gauge(
    "hibiscusstile_long_prompt_engines",
    "Engines preferred for long prompts, by service, if derived from work",
)
_memory_decisions = collectors.Counter(
    "hibiscusstile_memory_decisions",
    "Requests refused or ended and connections closed for lack of room",
)
_memory_bytes = collectors.Gauge(
    "hibiscusstile_memory_bytes", "Memory that callers' requests hold, by use"
)
_first_event_seconds = collectors.Histogram(
    "hibiscusstile_first_event_seconds",
    "Time from a request to its answer's first event, by rank",
    buckets=[0.05, 0.1, 0.2, 0.5, 1.0, 1.5, 2.0, 5.0, 10.0],
)


def count_dropped_line() -> None:
    """Counts a log line that was not written."""
    _dropped_lines.inc({})


def count_request(kind: str, rank: int, result: str) -> None:
    """Counts a forwarded request that has ended."""
    _requests.inc({"kind": kind, "rank": str(rank), "outcome": result})


def count_allowance(result: str) -> None:
    """Counts a request of a workspace that has an allowance."""
    _allowance_requests.inc({"outcome": result})


def count_attempt(result: str) -> None:
    """Counts an attempt at a backend server."""
    _attempts.inc({"outcome": result})


def count_retry(service: str, granted: bool) -> None:
    """Counts a retry that a service's retry budget granted or denied."""
    _retries.inc({"service": service, "granted": str(granted).lower()})


def count_room_decision(decision: str) -> None:
    """Counts a decision on room: `sent`, `late` or `excess`."""
    _room_decisions.inc({"decision": decision})


def count_server_down(planned: bool) -> None:
    """Counts a server that is down; `planned` if it was known to leave."""
    _servers_down.inc({"planned": str(planned).lower()})


def count_full_server(service: str) -> None:
    """Counts a server whose memory does not hold a further request."""
    _full_servers.inc({"service": service})


def count_silent_server() -> None:
    """Counts a stream whose server is silent."""
    _silent_servers.inc({})


def count_crashing_part(change: str) -> None:
    """Counts a prompt part that was blocked or cleared."""
    _crashing_parts.inc({"change": change})


def count_crash_analysis(steps: int, complete: bool) -> None:
    """Counts a search for the prompt parts that crash servers, and its work."""
    _crash_analyses.inc({"complete": str(complete).lower()})
    _crash_analysis_steps.add({}, steps)


def count_store_call(call: str, result: str) -> None:
    """Counts a call to the platform's store."""
    _store_calls.inc({"call": call, "outcome": result})


def count_store_restore() -> None:
    """Counts a change of the store's era."""
    _store_restores.inc({})


def set_store_era(era: int) -> None:
    """Records the newest known era of the store."""
    _store_era.set({}, era)


def set_unseen_arrivals(service: str, arrivals: float) -> None:
    """Records the arrivals per server that no load report tells of."""
    _unseen_arrivals.set({"service": service}, arrivals)


def set_long_prompt_engines(service: str, engines: int) -> None:
    """Records the number of engines preferred for long prompts."""
    _long_prompt_engines.set({"service": service}, engines)


def observe_first_event(rank: int, seconds: float) -> None:
    """Records the time to the first event of an answer."""
    _first_event_seconds.observe({"rank": str(rank)}, seconds)


def count_prompt_tokens(prompt_tokens: int, cached_tokens: int) -> None:
    """Counts the prompt tokens of an answered request."""
    _prompt_tokens.add({}, prompt_tokens)
    _cached_tokens.add({}, cached_tokens)


def count_recomputed_tokens(expected_tokens: int, cached_tokens: int) -> None:
    """Counts prompt tokens computed although a cache hit was expected."""
    if cached_tokens < expected_tokens:
        _recomputed_tokens.add({}, expected_tokens - cached_tokens)


def count_peer_rejection(cause: str) -> None:
    """Counts a peer connection closed for a bad handshake or frame."""
    _peer_rejections.inc({"cause": cause})


def count_dropped_message(direction: str) -> None:
    """Counts a malformed message to (`sent`) or from a gateway (`received`)."""
    _dropped_messages.inc({"direction": direction})


def count_memory_decision(decision: str, use: str, count: int = 1) -> None:
    """Counts what was refused, ended or closed for lack of room."""
    _memory_decisions.add({"decision": decision, "use": use}, count)


def set_memory_use(use: str, size_bytes: int) -> None:
    """Records the memory in use."""
    _memory_bytes.set({"use": use}, size_bytes)


def observe_first_token(rank: str, seconds: float) -> None:
    """Records a time to first token."""
    _first_token_seconds.observe({"rank": rank}, seconds)


def count_refusal(refusal: outcome.Refusal) -> None:
    """Counts a refused request."""
    _refusals.inc(
        {"verdict": refusal.verdict.value, "reason": refusal.reason.value}
    )


def count_control_bytes(message: str, size: int) -> None:
    """Counts bytes sent to a peer."""
    _control_bytes.add({"message": message}, size)


def set_queue_length(rank: str, requests: int) -> None:
    """Records the number of queued requests of a rank."""
    _queue_requests.set({"rank": rank}, requests)


def set_revision(revision: int) -> None:
    """Records the configuration revision in force."""
    _revision.set({}, revision)


def render() -> tuple[bytes, str]:
    """Returns all metrics as text, and the content type."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    _processor_seconds.set({}, usage.ru_utime + usage.ru_stime)
    content, headers = renderer.render(collectors.REGISTRY, [])
    return content, headers["Content-Type"]
