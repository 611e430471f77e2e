"""Resolves the cache scope of a request on the local engine."""

from __future__ import annotations

from collections.abc import Callable

from hibiscusstile import backends, identity, request
from hibiscusstile.configuration import store as store_lib

__all__ = ["CacheScopeResolver"]


class CacheScopeResolver:
    """Builds cache scopes from the configuration and the loaded weights.

    During a rollout an engine serves the old weights until the new ones are
    loaded. The scope therefore contains the loaded version, not the
    configured one.

    Args:
        store: Store of the active configuration.
        health: Returns the last health reported by the engine.
    """

    def __init__(
        self,
        store: store_lib.ConfigurationStore,
        health: Callable[[], backends.EngineHealth | None],
    ) -> None:
        self._store = store
        self._health = health

    def resolve(self, work: request.WorkItem) -> identity.CacheScope | None:
        """Returns the cache scope of a request, None for an unknown model."""
        model = self._store.view.models.get(work.model)
        if model is None:
            return None
        health = self._health()
        version = model.weights_version
        if health is not None and health.model == work.model:
            version = health.weights_version
        return identity.CacheScope(
            work.workspace, work.model, work.adapter, version
        )
