"""Finds the backend server for an attempt."""

from __future__ import annotations

from collections.abc import Collection

from hibiscusstile.gateway import routes, selection, state

__all__ = ["cache_salt", "choose_server"]

_ENGINE_SELECTION = "expected_first_token"
_PLAIN_SELECTION = "least_running"
# A request must not begin on weights that were replaced longer ago than the
# users' bound (8 s and more); the rest is for queues at the engine.
_BEHIND_LIMIT_S = 5.0


def choose_server(
    known: state.GatewayState,
    service: routes.Service,
    need: selection.Need,
    wall: str,
    excluded: Collection[str],
) -> selection.Selected | None:
    """Returns the server for the next attempt, None if there is none.

    Servers that take new weights or fail are used only where no other is
    left.

    Args:
        known: What this process knows.
        service: The service that the request goes to.
        need: What the request needs.
        wall: Namespace of prompt parts that the request may share.
        excluded: Servers not to use.
    """
    candidates = [
        candidate
        for server in known.fleet.usable(service.name)
        if server.server_id not in excluded
        and (
            candidate := _candidate(
                known, service, need, wall, server.server_id
            )
        )
    ]
    if not candidates:
        return None
    sound = [
        each
        for each in candidates
        if known.health.is_up(each.server.server_id)
        and not known.weights.is_changing(each.server.server_id)
    ]
    name = _ENGINE_SELECTION if service.engine else _PLAIN_SELECTION
    chosen = selection.get_selection_by_name(name)()
    return chosen.select(need, sound or candidates)


def _candidate(
    known: state.GatewayState,
    service: routes.Service,
    need: selection.Need,
    wall: str,
    server_id: str,
) -> selection.Candidate | None:
    server = known.fleet.get(server_id)
    if server is None:
        return None
    cache_tokens = service.engine.cache_tokens if service.engine else 0
    behind_s = _behind_s(known, need.request.model, server_id)
    if behind_s > _BEHIND_LIMIT_S:
        return None
    version = known.weights.version_at(server_id, need.request.model)
    salt = cache_salt(wall, version)
    return selection.Candidate(
        server,
        known.loads.of(server_id, cache_tokens),
        known.health.failures(server_id),
        behind_s,
        cache_tokens,
        salt,
        _stored_tokens(known, need, salt) if not behind_s else 0,
        version,
    )


def cache_salt(wall: str, version: int | None) -> str:
    """Returns the namespace of cached prompt parts.

    Parts are never shared between versions of the weights, nor across a wall
    between workspaces.
    """
    return f"v{version}.{wall}"


def _stored_tokens(
    known: state.GatewayState, need: selection.Need, salt: str
) -> int:
    store = known.prefix_store()
    if store is None or not need.request.parts:
        return 0
    return known.prefix_stores.held_tokens(
        store.address, salt, need.request.parts
    )


def _behind_s(known: state.GatewayState, model: str, server_id: str) -> float:
    named = known.weights.named(model)
    version = known.weights.version_at(server_id, model)
    if named is None or version is None or version >= named.version:
        return 0.0
    return max(1e-3, known.clock.monotonic() - named.learnt_s)
