"""Finds the cache scope of a request at the local engine."""

from __future__ import annotations

from collections.abc import Callable

from hibiscusstile import backends, identity, request
from hibiscusstile.configuration import store as store_lib

__all__ = ["CacheScopeResolver"]


class CacheScopeResolver:
    """Joins the configuration with the weights that the engine has loaded.

    During a rollout an engine serves its old weights until it has loaded the
    new ones, so the loaded version and not the configured one names the
    scope.

    Args:
        store: The configuration in force.
        health: Returns what the engine last said of itself.
    """

    def __init__(
        self,
        store: store_lib.ConfigurationStore,
        health: Callable[[], backends.EngineHealth | None],
    ) -> None:
        self._store = store
        self._health = health

    def resolve(self, work: request.WorkItem) -> identity.CacheScope | None:
        """Returns a request's scope, None for an unknown model."""
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
