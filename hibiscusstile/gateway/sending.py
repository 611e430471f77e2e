"""What the gateway adds to a request that it passes on."""

from __future__ import annotations

from hibiscusstile.gateway import exchange, resolving, selection, state

__all__ = ["send_options"]

# Requests that wait in an engine's queue must not begin on older weights 8 s
# after newer ones were named.
_UNKNOWN_VERSION_GRACE_S = 3.5
# Prompts whose shared parts are shorter than this are computed sooner than a
# store is asked.
_MIN_FETCH_TOKENS = 1_000
_MIN_TIME_LEFT_S = 0.001


def send_options(
    known: state.GatewayState,
    request: exchange.ForwardedRequest,
    destination: resolving.Destination,
    candidate: selection.Candidate,
    *,
    time_left_s: float,
    last_event_id: str,
) -> exchange.SendOptions:
    """Returns what is added to a request for one attempt.

    Args:
        known: What this process knows.
        request: The request.
        destination: Where it goes, and as whom.
        candidate: The server that it is sent to.
        time_left_s: Seconds that the server may work.
        last_event_id: The last event that the caller has, empty if none.
    """
    return exchange.SendOptions(
        workspace=destination.workspace.name if destination.workspace else "",
        rank=destination.rank,
        time_left_s=max(_MIN_TIME_LEFT_S, time_left_s),
        cache_salt=candidate.cache_salt if candidate.cache_tokens else "",
        weights_version=_required_version(known, request, candidate),
        last_event_id=last_event_id,
        fetch_from=_fetch_address(known, request, candidate),
        save_to=_save_address(known, request, candidate),
    )


def _required_version(
    known: state.GatewayState,
    request: exchange.ForwardedRequest,
    candidate: selection.Candidate,
) -> int | None:
    """Returns the version of the weights that the server must have.

    A server whose version is not known may have any until the newest one has
    been named for a while.
    """
    named = known.weights.named(request.model)
    if candidate.version is not None or named is None:
        return candidate.version
    named_for_s = known.clock.monotonic() - named.learnt_s
    return named.version if named_for_s > _UNKNOWN_VERSION_GRACE_S else None


def _fetch_address(
    known: state.GatewayState,
    request: exchange.ForwardedRequest,
    candidate: selection.Candidate,
) -> str:
    """Returns the store of KV cache to fetch from, if any."""
    if candidate.weights_lag_s and not candidate.stored_tokens:
        return ""
    return _store_address(known, request, candidate)


def _save_address(
    known: state.GatewayState,
    request: exchange.ForwardedRequest,
    candidate: selection.Candidate,
) -> str:
    """Returns the store of KV cache to save to, if any.

    Only the newest weights are saved: an engine that takes newer weights
    meanwhile saves parts that were made by both versions. What the store
    holds is not saved again: an engine's transfers wait for each other.
    """
    shared_tokens = sum(part.tokens for part in request.parts[:-1])
    if candidate.weights_lag_s or candidate.stored_tokens >= shared_tokens:
        return ""
    return _store_address(known, request, candidate)


def _store_address(
    known: state.GatewayState,
    request: exchange.ForwardedRequest,
    candidate: selection.Candidate,
) -> str:
    if candidate.version is None:
        return ""
    shared_tokens = sum(part.tokens for part in request.parts[:-1])
    if shared_tokens < _MIN_FETCH_TOKENS:
        return ""
    store = known.prefix_store()
    return store.address if store else ""
