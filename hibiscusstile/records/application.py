"""Schema of application records."""

from __future__ import annotations

import datetime
from typing import Annotated, ClassVar, Literal

import pydantic

from hibiscusstile import records
from hibiscusstile.configuration import view

__all__ = ["ApplicationV1"]

_HttpMethod = Literal[
    "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"
]


@records.record_schemas.register()
class ApplicationV1(records.RecordBody):
    """An application of a plain service, and the rules for its calls."""

    name: ClassVar[str] = "application/1"
    kind: ClassVar[str] = "application"
    schema_version: ClassVar[int] = 1

    idempotent_methods: tuple[_HttpMethod, ...] = ("GET", "HEAD")
    call_timeout_s: Annotated[float, pydantic.Field(gt=0, le=600)] = 30.0
    key_required_methods: tuple[_HttpMethod, ...] = ()

    def build(self, record_name: str) -> view.Application:
        """Converts the body into a data class of `configuration.view`."""
        return view.Application(
            name=record_name,
            idempotent_methods=self.idempotent_methods,
            call_timeout=datetime.timedelta(seconds=self.call_timeout_s),
            key_required_methods=self.key_required_methods,
        )
