"""Routing-policy records."""

from __future__ import annotations

from typing import Annotated, Any, ClassVar

import pydantic

from hibiscusstile import options as options_lib
from hibiscusstile import policies, records, registry
from hibiscusstile.configuration import view

__all__ = ["RoutingPolicyV1"]


@records.record_schemas.register()
class RoutingPolicyV1(records.RecordBody):
    """A routing algorithm with its options."""

    name: ClassVar[str] = "routing_policy/1"
    kind: ClassVar[str] = "routing_policy"
    schema_version: ClassVar[int] = 1

    algorithm: str
    version: Annotated[int, pydantic.Field(ge=1)] = 1
    options: dict[str, Any] = pydantic.Field(default_factory=dict)
    default_rank: str = "routine"
    split_algorithm: str = ""
    split_share: Annotated[float, pydantic.Field(ge=0, le=1)] = 0.0
    split_options: dict[str, Any] = pydantic.Field(default_factory=dict)

    @pydantic.model_validator(mode="after")
    def _check_algorithms(self) -> RoutingPolicyV1:
        self._check(self.algorithm, self.options)
        if self.split_algorithm:
            self._check(self.split_algorithm, self.split_options)
        return self

    def build(self, record_name: str) -> view.RoutingPolicy:
        """Returns the data class of `configuration.view`."""
        return view.RoutingPolicy(name=record_name, **self.model_dump())

    @staticmethod
    def _check(algorithm: str, options: dict[str, Any]) -> None:
        try:
            policies.get_policy_by_name(algorithm)(options)
        except (registry.NameNotFound, options_lib.OptionError) as error:
            raise ValueError(str(error)) from None
