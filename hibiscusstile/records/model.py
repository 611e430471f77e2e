"""Schema of model records."""

from __future__ import annotations

from typing import Annotated, ClassVar

import pydantic

from hibiscusstile import records
from hibiscusstile.configuration import view

__all__ = ["ModelV1"]


@records.record_schemas.register()
class ModelV1(records.RecordBody):
    """A model and the version of its weights."""

    name: ClassVar[str] = "model/1"
    kind: ClassVar[str] = "model"
    schema_version: ClassVar[int] = 1

    weights_version: Annotated[str, pydantic.Field(min_length=1)]
    adapters: tuple[str, ...] = ()
    context_tokens: Annotated[int, pydantic.Field(ge=1)] = 131072
    replicas: Annotated[int, pydantic.Field(ge=0)] = 0
    weight_store: str = "default"

    def build(self, record_name: str) -> view.Model:
        """Converts the body into a data class of `configuration.view`."""
        return view.Model(name=record_name, **self.model_dump())
