"""Schemas of workspace records."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Annotated, ClassVar

import pydantic

from hibiscusstile import records
from hibiscusstile.configuration import view

__all__ = ["WorkspaceV1", "WorkspaceV2"]

_HexDigits = Annotated[
    str, pydantic.StringConstraints(pattern=r"^[0-9a-f]{16,128}$")
]
_KeyId = Annotated[
    str, pydantic.StringConstraints(pattern=r"^[A-Za-z0-9-]{4,64}$")
]
_CallerName = Annotated[
    str,
    pydantic.StringConstraints(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$"),
]
_Weight = Annotated[float, pydantic.Field(gt=0, le=1000)]


class _BareKey(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    key_id: _KeyId
    salt: _HexDigits
    digest: _HexDigits


class _Key(_BareKey):
    caller: str = ""
    rank: str = ""


class _CallerBody(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    rank: str = ""
    keys: Annotated[tuple[_BareKey, ...], pydantic.Field(min_length=1)]


def _check_unique_key_ids(key_ids: Iterable[str]) -> None:
    seen_key_ids: set[str] = set()
    for key_id in key_ids:
        if key_id in seen_key_ids:
            raise ValueError(f"key id {key_id!r} is duplicated")
        seen_key_ids.add(key_id)


def _common_references(
    policy: str, models: Iterable[str], applications: Iterable[str]
) -> Iterable[records.Reference]:
    yield records.Reference("policy", "routing_policy", policy)
    for index, name in enumerate(models):
        yield records.Reference(f"models.{index}", "model", name)
    for index, name in enumerate(applications):
        yield records.Reference(f"applications.{index}", "application", name)


@records.record_schemas.register()
class WorkspaceV1(records.RecordBody):
    """A customer, its API keys and its permissions."""

    name: ClassVar[str] = "workspace/1"
    kind: ClassVar[str] = "workspace"
    schema_version: ClassVar[int] = 1

    keys: tuple[_Key, ...]
    policy: str = "default"
    models: tuple[str, ...] = ()
    applications: tuple[str, ...] = ()
    weight: _Weight = 1.0

    @pydantic.model_validator(mode="after")
    def _check_keys(self) -> WorkspaceV1:
        _check_unique_key_ids(key.key_id for key in self.keys)
        return self

    def build(self, record_name: str) -> view.Workspace:
        """Converts the body into a data class of `configuration.view`."""
        return view.Workspace(
            name=record_name,
            keys=tuple(view.ApiKey(**key.model_dump()) for key in self.keys),
            policy=self.policy,
            models=self.models,
            applications=self.applications,
            weight=self.weight,
        )

    def references(self) -> Iterable[records.Reference]:
        """Returns the references to other records."""
        yield from _common_references(
            self.policy, self.models, self.applications
        )
        for index, key in enumerate(self.keys):
            if key.rank:
                yield records.Reference(f"keys.{index}.rank", "rank", key.rank)


@records.record_schemas.register()
class WorkspaceV2(records.RecordBody):
    """A customer whose API keys are grouped by caller.

    A caller's rank applies to all its keys, so that a key can be replaced
    without repeating the rank. The rank of the workspace applies to callers
    that have none.
    """

    name: ClassVar[str] = "workspace/2"
    kind: ClassVar[str] = "workspace"
    schema_version: ClassVar[int] = 2

    callers: dict[_CallerName, _CallerBody]
    rank: str = ""
    policy: str = "default"
    models: tuple[str, ...] = ()
    applications: tuple[str, ...] = ()
    weight: _Weight = 1.0

    @pydantic.model_validator(mode="after")
    def _check_keys(self) -> WorkspaceV2:
        _check_unique_key_ids(
            key.key_id
            for caller in self.callers.values()
            for key in caller.keys
        )
        return self

    def build(self, record_name: str) -> view.Workspace:
        """Converts the body into a data class of `configuration.view`."""
        return view.Workspace(
            name=record_name,
            keys=tuple(
                view.ApiKey(
                    key.key_id,
                    key.salt,
                    key.digest,
                    caller_name,
                    caller.rank or self.rank,
                )
                for caller_name, caller in self.callers.items()
                for key in caller.keys
            ),
            policy=self.policy,
            models=self.models,
            applications=self.applications,
            weight=self.weight,
        )

    def references(self) -> Iterable[records.Reference]:
        """Returns the references to other records."""
        yield from _common_references(
            self.policy, self.models, self.applications
        )
        if self.rank:
            yield records.Reference("rank", "rank", self.rank)
        for caller_name, caller in self.callers.items():
            if caller.rank:
                yield records.Reference(
                    f"callers.{caller_name}.rank", "rank", caller.rank
                )
