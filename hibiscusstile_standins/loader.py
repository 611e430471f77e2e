"""Weight loading of the stand-in engine."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from hibiscusstile_standins import weights

__all__ = ["WeightsLoader"]


class WeightsLoader:
    """Tracks the loaded weights and applies loading orders one at a time.

    Args:
        model: The loaded model, empty if none.
        weights_version: Version of the loaded weights.
        weight_store: Store that weights are loaded from.
        checks_fencing: Whether orders with an older fencing number are
            refused.
        clear_cache: Called when the model or its version has changed.
    """

    def __init__(
        self,
        model: str,
        weights_version: str,
        weight_store: weights.WeightStore,
        checks_fencing: bool,
        clear_cache: Callable[[], None],
    ) -> None:
        self._model = model
        self._weights_version = weights_version
        self._weight_store = weight_store
        self._checks_fencing = checks_fencing
        self._clear_cache = clear_cache
        self._adapters: tuple[str, ...] = ()
        self._role = "mixed"
        self._fencing_number = -1
        self._loading = False
        self._orders: list[dict[str, Any]] = []

    @property
    def model(self) -> str:
        """The loaded model, empty if none."""
        return self._model

    @property
    def weights_version(self) -> str:
        """Version of the loaded weights."""
        return self._weights_version

    @property
    def orders(self) -> tuple[dict[str, Any], ...]:
        """The accepted orders, in order."""
        return tuple(self._orders)

    def health_fields(self) -> dict[str, Any]:
        """Returns the fields of the health response.

        The model is empty during a load.
        """
        return {
            "model": "" if self._loading else self._model,
            "weights_version": self._weights_version,
            "adapters": list(self._adapters),
            "role": self._role,
            "fencing_number": self._fencing_number,
        }

    def refusal_reason(self, body: dict[str, Any]) -> str:
        """Returns why a chat request is refused; empty if it can run."""
        if self._loading:
            return "weights are loading"
        if body["model"] != self._model:
            return f"model {body['model']!r} is not loaded"
        if body["weights_version"] != self._weights_version:
            return f"weights {body['weights_version']!r} are not loaded"
        if body["adapter"] and body["adapter"] not in self._adapters:
            return f"adapter {body['adapter']!r} is not loaded"
        return ""

    async def apply_order(self, order: dict[str, Any]) -> str:
        """Applies an order; returns why it is refused, empty on success."""
        fencing_number = order["fencing_number"]
        if self._checks_fencing and fencing_number < self._fencing_number:
            return (
                f"fencing number {fencing_number} is older than"
                f" {self._fencing_number}"
            )
        if self._loading:
            return "another load is in progress"
        self._fencing_number = max(self._fencing_number, fencing_number)
        self._orders.append(order)
        adapters = tuple(order["adapters"])
        target_weights = (order["model"], order["weights_version"])
        loaded_weights = (self._model, self._weights_version)
        if (target_weights, adapters) != (loaded_weights, self._adapters):
            await self._load()
        if target_weights != loaded_weights:
            self._clear_cache()
        self._model, self._weights_version = target_weights
        self._adapters = adapters
        self._role = order["role"]
        return ""

    async def _load(self) -> None:
        self._loading = True
        try:
            await self._weight_store.load()
        finally:
            self._loading = False
