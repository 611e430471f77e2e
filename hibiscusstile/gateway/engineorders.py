"""Interface for sending weights orders to engines and reading reports."""

from __future__ import annotations

import abc
import dataclasses
import enum
from collections.abc import Mapping

from hibiscusstile.gateway import fleet

__all__ = [
    "EngineOrders",
    "EngineReport",
    "OrderResponse",
    "OrderResult",
    "WeightsOrder",
]


class OrderResult(enum.Enum):
    """Outcome of an order."""

    ACCEPTED = "accepted"
    """The engine executes the order."""
    ALREADY_LOADED = "holds"
    """The engine has the version already."""
    REFUSED = "refused"
    """The engine rejected the order or could not be connected to."""
    UNKNOWN = "unknown"
    """No response arrived; the order may be executed."""
    REPLACED = "replaced"
    """Another server now uses the engine's address."""


@dataclasses.dataclass(frozen=True, slots=True)
class OrderResponse:
    """Response to an order.

    Attributes:
        result: Outcome of the order.
        detail: Explanation for logs.
    """

    result: OrderResult
    detail: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class EngineReport:
    """Status that an engine reports.

    Attributes:
        versions: Loaded weights versions by model.
        busy: Whether an order is being executed.
        orders_accepted: Orders accepted since the engine started.
        running: Running requests.
        waiting: Queued requests.
    """

    versions: Mapping[str, int]
    busy: bool
    orders_accepted: int
    running: int
    waiting: int


@dataclasses.dataclass(frozen=True, slots=True)
class WeightsOrder:
    """An order to load a version of a model's weights.

    Attributes:
        model: The model.
        version: The version.
        holder: Name of the process that sends the order.
        fence: Fencing token of its lease claim.
        orders_accepted: Number of earlier orders that the engine must have
            accepted for this one to be valid.
    """

    model: str
    version: int
    holder: str
    fence: int
    orders_accepted: int


class EngineOrders(abc.ABC):
    """Client for engines' order and report interface."""

    @abc.abstractmethod
    async def report(self, server: fleet.BackendServer) -> EngineReport | None:
        """Returns an engine's report, or None if none was received."""

    @abc.abstractmethod
    async def change_weights(
        self, server: fleet.BackendServer, order: WeightsOrder
    ) -> OrderResponse:
        """Orders an engine to load a version, without retrying."""
