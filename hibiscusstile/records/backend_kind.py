"""Schema of backend-kind records."""

from __future__ import annotations

from typing import ClassVar

from hibiscusstile import records
from hibiscusstile.configuration import view

__all__ = ["BackendKindV1"]


@records.record_schemas.register()
class BackendKindV1(records.RecordBody):
    """Guarantees of a kind of backend server."""

    name: ClassVar[str] = "backend_kind/1"
    kind: ClassVar[str] = "backend_kind"
    schema_version: ClassVar[int] = 1

    checks_fencing: bool = False

    def build(self, record_name: str) -> view.BackendKind:
        """Converts the body into a data class of `configuration.view`."""
        return view.BackendKind(
            name=record_name, checks_fencing=self.checks_fencing
        )
