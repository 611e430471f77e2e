"""Workspace records."""

from __future__ import annotations

from typing import Annotated, ClassVar

import pydantic

from hibiscusstile import records
from hibiscusstile.configuration import view

__all__ = ["WorkspaceV1"]

_Hex = Annotated[str, pydantic.StringConstraints(pattern=r"^[0-9a-f]{16,128}$")]
_KeyId = Annotated[
    str, pydantic.StringConstraints(pattern=r"^[A-Za-z0-9-]{4,64}$")
]


class _Key(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    key_id: _KeyId
    salt: _Hex
    digest: _Hex
    caller: str = ""
    rank: str = ""


@records.record_schemas.register()
class WorkspaceV1(records.RecordBody):
    """A tenant, its keys and what it may use."""

    name: ClassVar[str] = "workspace/1"
    kind: ClassVar[str] = "workspace"
    schema_version: ClassVar[int] = 1

    keys: tuple[_Key, ...]
    policy: str = "default"
    models: tuple[str, ...] = ()
    applications: tuple[str, ...] = ()
    weight: Annotated[float, pydantic.Field(gt=0, le=1000)] = 1.0

    def build(self, record_name: str) -> view.Workspace:
        """Returns the data class of `configuration.view`."""
        return view.Workspace(
            name=record_name,
            keys=tuple(view.ApiKey(**key.model_dump()) for key in self.keys),
            policy=self.policy,
            models=self.models,
            applications=self.applications,
            weight=self.weight,
        )
