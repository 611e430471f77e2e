"""Builds the options that the gateway adds to a forwarded request."""

from __future__ import annotations

from hibiscusstile.gateway import exchange, resolving, selection
from hibiscusstile.gateway import state as state_lib

__all__ = ["send_options"]

# Shorter shared prefixes are computed faster than a store can be queried.
_MIN_FETCH_TOKENS = 1_000
_MIN_TIME_LEFT_S = 0.001


def send_options(
    state: state_lib.GatewayState,
    request: exchange.ForwardedRequest,
    destination: resolving.Destination,
    candidate: selection.Candidate,
    *,
    time_left_s: float,
    last_event_id: str,
    new_connection: bool = False,
) -> exchange.SendOptions:
    """Returns the options of one attempt.

    Args:
        state: State of this gateway process.
        request: The request.
        destination: Route, service and workspace of the request.
        candidate: The selected server.
        time_left_s: Time left for the server to respond.
        last_event_id: Last event that the caller received, empty if none.
        new_connection: Whether the attempt needs a connection of its own.
    """
    return exchange.SendOptions(
        workspace=destination.workspace.name if destination.workspace else "",
        rank=destination.rank,
        time_left_s=max(_MIN_TIME_LEFT_S, time_left_s),
        cache_salt=candidate.cache_salt if candidate.cache_tokens else "",
        weights_version=_required_version(state, request, candidate),
        last_event_id=last_event_id,
        fetch_from=_fetch_address(state, request, candidate),
        save_to=_save_address(state, request, candidate),
        new_connection=new_connection,
    )


def _required_version(
    state: state_lib.GatewayState,
    request: exchange.ForwardedRequest,
    candidate: selection.Candidate,
) -> int | None:
    """Returns the weights version that the server must have, None for any.

    A server of unknown version may have any version for some time after the
    newest one became the target.
    """
    target = state.weights.target(request.model)
    if candidate.version is not None or target is None:
        return candidate.version
    grace_s = state.weights.bounds.unknown_server_grace_s
    return target.version if state.weights.age_s(target) > grace_s else None


def _fetch_address(
    state: state_lib.GatewayState,
    request: exchange.ForwardedRequest,
    candidate: selection.Candidate,
) -> str:
    """Returns the address of the KV cache store to fetch from, if any."""
    if candidate.weights_lag_s and not candidate.stored_tokens:
        return ""
    return _store_address(state, request, candidate)


def _save_address(
    state: state_lib.GatewayState,
    request: exchange.ForwardedRequest,
    candidate: selection.Candidate,
) -> str:
    """Returns the address of the KV cache store to save to, if any.

    Only KV cache of the newest weights is saved: an engine that loads newer
    weights during the save mixes both versions. Parts that the store already
    holds are not saved again, since an engine's transfers are serialized.
    """
    shared_tokens = sum(part.tokens for part in request.parts[:-1])
    if candidate.weights_lag_s or candidate.stored_tokens >= shared_tokens:
        return ""
    return _store_address(state, request, candidate)


def _store_address(
    state: state_lib.GatewayState,
    request: exchange.ForwardedRequest,
    candidate: selection.Candidate,
) -> str:
    if candidate.version is None:
        return ""
    shared_tokens = sum(part.tokens for part in request.parts[:-1])
    if shared_tokens < _MIN_FETCH_TOKENS:
        return ""
    store = state.prefix_store()
    return store.address if store else ""
