"""Schemas of routing-policy records."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Annotated, Any, ClassVar

import pydantic

from hibiscusstile import options as options_lib
from hibiscusstile import policies, records, registry
from hibiscusstile.configuration import view

__all__ = ["RoutingPolicyV1", "RoutingPolicyV2"]

_PolicyVersion = Annotated[int, pydantic.Field(ge=1)]


def _check_algorithm(algorithm: str, options: dict[str, Any]) -> None:
    try:
        policies.get_policy_by_name(algorithm)(options)
    except (registry.NameNotFound, options_lib.OptionError) as error:
        raise ValueError(str(error)) from None


@records.record_schemas.register()
class RoutingPolicyV1(records.RecordBody):
    """A routing algorithm with its options."""

    name: ClassVar[str] = "routing_policy/1"
    kind: ClassVar[str] = "routing_policy"
    schema_version: ClassVar[int] = 1

    algorithm: str
    version: _PolicyVersion = 1
    options: dict[str, Any] = pydantic.Field(default_factory=dict)
    default_rank: str = "routine"
    split_algorithm: str = ""
    split_share: Annotated[float, pydantic.Field(ge=0, le=1)] = 0.0
    split_options: dict[str, Any] = pydantic.Field(default_factory=dict)

    @pydantic.model_validator(mode="after")
    def _check_algorithms(self) -> RoutingPolicyV1:
        _check_algorithm(self.algorithm, self.options)
        if self.split_algorithm:
            _check_algorithm(self.split_algorithm, self.split_options)
        return self

    def build(self, record_name: str) -> view.RoutingPolicy:
        """Converts the body into a data class of `configuration.view`."""
        return view.RoutingPolicy(name=record_name, **self.model_dump())

    def references(self) -> Iterable[records.Reference]:
        """Returns the references to other records."""
        yield records.Reference("default_rank", "rank", self.default_rank)


class _Algorithm(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    algorithm: str
    options: dict[str, Any] = pydantic.Field(default_factory=dict)

    @pydantic.model_validator(mode="after")
    def _check(self) -> _Algorithm:
        _check_algorithm(self.algorithm, self.options)
        return self


class _Trial(_Algorithm):
    share: Annotated[float, pydantic.Field(gt=0, le=1)]


@records.record_schemas.register()
class RoutingPolicyV2(records.RecordBody):
    """A routing algorithm and, optionally, a second one on trial.

    A trial has an algorithm, options and a share above zero. Version 1
    accepted an algorithm without a share or a share without an algorithm, and
    then ran no trial.
    """

    name: ClassVar[str] = "routing_policy/2"
    kind: ClassVar[str] = "routing_policy"
    schema_version: ClassVar[int] = 2

    primary: _Algorithm
    trial: _Trial | None = None
    version: _PolicyVersion = 1
    default_rank: str = "routine"

    def build(self, record_name: str) -> view.RoutingPolicy:
        """Converts the body into a data class of `configuration.view`."""
        return view.RoutingPolicy(
            name=record_name,
            algorithm=self.primary.algorithm,
            version=self.version,
            options=self.primary.options,
            default_rank=self.default_rank,
            split_algorithm=self.trial.algorithm if self.trial else "",
            split_share=self.trial.share if self.trial else 0.0,
            split_options=self.trial.options if self.trial else {},
        )

    def references(self) -> Iterable[records.Reference]:
        """Returns the references to other records."""
        yield records.Reference("default_rank", "rank", self.default_rank)
