"""Orders to engines and their reports, free of any encoding."""

from __future__ import annotations

import abc
import dataclasses
import enum
from collections.abc import Mapping

from hibiscusstile.gateway import fleet

__all__ = [
    "EngineOrders",
    "EngineReport",
    "OrderAnswer",
    "OrderResult",
    "WeightsOrder",
]


class OrderResult(enum.Enum):
    """What became of an order."""

    ACCEPTED = "accepted"
    ALREADY_LOADED = "holds"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    REPLACED = "replaced"


@dataclasses.dataclass(frozen=True, slots=True)
class OrderAnswer:
    """Answer to an order.

    Attributes:
        result: What became of the order.
        detail: Why, for logs.
    """

    result: OrderResult
    detail: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class EngineReport:
    """What an engine says of itself.

    Attributes:
        versions: Versions of weights by model.
        busy: Whether it carries out an order.
        orders_accepted: Orders accepted in its lifetime.
        running: Requests that run.
        waiting: Requests that wait.
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
        holder: Name of the process that orders.
        fence: Fencing token of its claim.
        orders_accepted: Orders that the engine must have accepted before.
    """

    model: str
    version: int
    holder: str
    fence: int
    orders_accepted: int


class EngineOrders(abc.ABC):
    """Gives orders to engines."""

    @abc.abstractmethod
    async def report(self, server: fleet.BackendServer) -> EngineReport | None:
        """Returns an engine's report, None if it gave none."""

    @abc.abstractmethod
    async def change_weights(
        self, server: fleet.BackendServer, order: WeightsOrder
    ) -> OrderAnswer:
        """Orders an engine to load a version, once."""
