"""Selects the backend server for an attempt."""

from __future__ import annotations

import math
from collections.abc import Collection

from hibiscusstile.gateway import fleet, pools, routes, selection
from hibiscusstile.gateway import load as load_lib
from hibiscusstile.gateway import state as state_lib

__all__ = ["cache_salt", "is_healthy", "rate_servers", "select_server"]

_ENGINE_STRATEGY = "expected_first_token"
_PLAIN_SERVICE_STRATEGY = "least_running"
# A busy server sends data several times a second, except for the 0.6 s in
# which an engine loads weights.
_MAX_SILENCE_S = 0.65


def select_server(
    state: state_lib.GatewayState,
    service: routes.Service,
    context: selection.SelectionContext,
    scope: str,
    excluded_ids: Collection[str],
) -> selection.SelectedServer | None:
    """Returns the server for the next attempt, or None if there is none.

    Servers that are down, silent or loading weights are used only if no
    other server is available.

    Args:
        state: State of this gateway process.
        service: The service that the request is sent to.
        context: The request and its routing parameters.
        scope: Scope in which the request shares cached prompt parts.
        excluded_ids: Ids of servers not to use.
    """
    candidates = _candidates(state, service, context, scope, excluded_ids)
    if not candidates:
        return None
    healthy = [
        each
        for each in candidates
        if is_healthy(state, each.server.server_id, each.load)
    ]
    strategy = _strategy(service)
    # An outdated engine may be healthy but too late.
    selected = strategy.select(context, healthy) if healthy else None
    return selected or strategy.select(context, candidates)


def rate_servers(
    state: state_lib.GatewayState,
    service: routes.Service,
    context: selection.SelectionContext,
    scope: str,
) -> list[selection.SelectedServer]:
    """Returns the estimates for each usable server, lowest cost first.

    Args:
        state: State of this gateway process.
        service: The service that the request would be sent to.
        context: The request and its routing parameters.
        scope: Scope in which the request shares cached prompt parts.
    """
    candidates = _candidates(state, service, context, scope, ())
    return _strategy(service).rate(context, candidates) if candidates else []


def _strategy(service: routes.Service) -> selection.Selection:
    name = _ENGINE_STRATEGY if service.engine else _PLAIN_SERVICE_STRATEGY
    return selection.get_selection_by_name(name)()


def _candidates(
    state: state_lib.GatewayState,
    service: routes.Service,
    context: selection.SelectionContext,
    scope: str,
    excluded_ids: Collection[str],
) -> list[selection.Candidate]:
    usable_servers = state.fleet.usable_servers(service.name)
    long_prompt_ids: frozenset[str] = frozenset()
    if service.engine is not None:
        now_s = state.clock.monotonic()
        traffic = state.even_load.traffic(service.name)
        traffic.update(
            state.even_load.mode,
            state.peer_count + 1,
            len(usable_servers),
            now_s,
        )
        long_prompt_ids = pools.long_prompt_engines(
            (
                each
                for each in usable_servers
                if state.health.is_up(each.server_id)
            ),
            lambda most: traffic.long_prompt_engines(most, now_s),
        )
    prompt = _PromptLookup(state, context)
    return [
        candidate
        for server in usable_servers
        if server.server_id not in excluded_ids
        and (
            candidate := _candidate(
                state,
                service,
                context,
                scope,
                server,
                prompt,
                takes_long_prompts=server.server_id in long_prompt_ids,
            )
        )
    ]


class _PromptLookup:
    """Looks up a prompt's parts once for each namespace of cached parts.

    Servers with the same weights share one, and a prompt may have a thousand
    parts.

    Args:
        state: State of this gateway process.
        context: Of the selection.
    """

    def __init__(
        self,
        state: state_lib.GatewayState,
        context: selection.SelectionContext,
    ) -> None:
        self._state = state
        self._context = context
        self._recent_tokens: dict[str, int] = {}
        self._stored_tokens: dict[str, int] = {}

    def recent_tokens(self, salt: str) -> int:
        """Returns the shared tokens that some engine prefilled recently."""
        if salt not in self._recent_tokens:
            self._recent_tokens[salt] = (
                self._state.recent_prefills.recent_tokens(
                    salt,
                    self._context.request.shared_parts,
                    self._state.clock.monotonic(),
                )
            )
        return self._recent_tokens[salt]

    def stored_tokens(self, salt: str, version: int | None) -> int:
        """Returns the leading tokens that a store can supply.

        Args:
            salt: Namespace of the parts.
            version: Weights version that it stands for.
        """
        if salt not in self._stored_tokens:
            self._stored_tokens[salt] = _stored_tokens(
                self._state, self._context, salt, version
            )
        return self._stored_tokens[salt]


def is_healthy(
    state: state_lib.GatewayState, server_id: str, load: load_lib.ServerLoad
) -> bool:
    """Returns whether a server is not down, silent or loading weights."""
    return (
        state.health.is_up(server_id)
        and not state.weights.is_changing(server_id)
        and load.overdue_s(state.clock.monotonic()) < _MAX_SILENCE_S
    )


def _candidate(
    state: state_lib.GatewayState,
    service: routes.Service,
    context: selection.SelectionContext,
    scope: str,
    server: fleet.BackendServer,
    prompt: _PromptLookup,
    *,
    takes_long_prompts: bool,
) -> selection.Candidate | None:
    """Returns a server as a candidate, or None if it must not be used."""
    server_id = server.server_id
    weights_lag_s = _weights_lag_s(state, context.request.model, server_id)
    bounds = state.weights.bounds
    if weights_lag_s > bounds.max_lag_s:
        return None
    now_s = state.clock.monotonic()
    load = state.loads.for_server(server_id)
    peer_load = _peer_load(state, service, context, load)
    running = load.running + peer_load.running
    # Each request in progress uses a connection of its own. The limit counts
    # reports in full: what fades from an estimate may still be connected.
    connections = load.running + load.peer_running(now_s)
    if service.max_connections and connections >= service.max_connections:
        return None
    if not state.server_memory.may_send(context.request, service, server_id):
        return None
    cache_tokens = 0
    if service.engine is not None:
        cache_tokens = service.engine.cache_tokens
        load.set_cache_tokens(cache_tokens)
    version = state.weights.version_at(server_id, context.request.model)
    salt = cache_salt(scope, version)
    return selection.Candidate(
        server,
        load,
        failure_rate=state.health.failure_rate(server_id),
        weights_lag_s=weights_lag_s,
        cache_tokens=cache_tokens,
        cache_salt=salt,
        stored_tokens=prompt.stored_tokens(salt, version),
        version=version,
        running=running,
        waiting_tokens=load.waiting_tokens + peer_load.waiting_tokens,
        recently_prefilled_tokens=prompt.recent_tokens(salt),
        recent_uses=_recent_uses(state, context, salt),
        takes_long_prompts=takes_long_prompts,
        start_within_s=_start_within_s(
            state, context.request.model, version, weights_lag_s
        ),
    )


def _recent_uses(
    state: state_lib.GatewayState,
    context: selection.SelectionContext,
    salt: str,
) -> float:
    """Returns how often the prompt's shared prefix was sent recently."""
    parts = context.request.shared_parts
    if not parts or not context.spread:
        return 0.0
    return state.recent_prefills.uses(
        salt, parts[-1].part_id, state.clock.monotonic()
    )


def _peer_load(
    state: state_lib.GatewayState,
    service: routes.Service,
    context: selection.SelectionContext,
    load: load_lib.ServerLoad,
) -> load_lib.PeerLoad:
    """Returns the load that other gateways put on a server."""
    now_s = state.clock.monotonic()
    if state.even_load.traffic(service.name).active:
        return load.probable_peer_load(
            now_s, context.rates.prefill_tokens_per_s
        )
    return load_lib.PeerLoad(
        load.peer_running(now_s), load.peer_waiting_tokens(now_s), now_s
    )


def _start_within_s(
    state: state_lib.GatewayState,
    model: str,
    version: int | None,
    weights_lag_s: float,
) -> float:
    """Returns the time within which a request must start at a server.

    A server of unknown version may have an outdated one until requests demand
    the target version.
    """
    bounds = state.weights.bounds
    target = state.weights.target(model)
    if version is None and target is not None:
        age_s = state.weights.age_s(target)
        if age_s <= bounds.unknown_server_grace_s:
            return bounds.max_start_lag_s - age_s
    if not weights_lag_s:
        return math.inf
    return bounds.max_start_lag_s - weights_lag_s


def cache_salt(scope: str, version: int | None) -> str:
    """Returns the namespace of cached prompt parts.

    Parts are shared neither across weights versions nor between an isolated
    workspace and other callers.
    """
    return f"v{version}.{scope}"


def _stored_tokens(
    state: state_lib.GatewayState,
    context: selection.SelectionContext,
    salt: str,
    version: int | None,
) -> int:
    """Returns how many leading prompt tokens a store can supply.

    Once newer weights are the target, an engine may load them while it saves
    parts under the older version's salt. Parts of an older version therefore
    count only if all shared parts were stored before the newer target was
    published, and none do if that time is unknown.
    """
    store = state.prefix_store()
    parts = context.request.parts
    if store is None or not parts:
        return 0
    newer = None
    if version is not None:
        newer = state.weights.target_after(context.request.model, version)
    if newer is None:
        return state.prefix_stores.held_tokens(store.address, salt, parts)
    if not newer.is_known:
        return 0
    stored = state.prefix_stores.held_tokens(
        store.address, salt, parts[:-1], newer.published_s
    )
    return stored if stored == sum(part.tokens for part in parts[:-1]) else 0


def _weights_lag_s(
    state: state_lib.GatewayState, model: str, server_id: str
) -> float:
    """Returns for how long a server's weights have been outdated.

    Returns 0 if its version is current or unknown.
    """
    version = state.weights.version_at(server_id, model)
    if version is None:
        return 0.0
    if state.weights.target_after(model, version) is None:
        return 0.0
    # Above 0, which stands for servers that are not outdated.
    return max(1e-3, state.weights.lag_s(model, version))
