"""Schemas of configuration records.

One class for each kind and schema version validates the body and converts it
into a data class of `configuration.view`. The rules of a schema version never
change after its release, because processes of different versions must agree
on whether a record is valid.
"""

from __future__ import annotations

import abc
import dataclasses
from collections.abc import Iterable
from typing import Any, ClassVar

import pydantic

from hibiscusstile import registry

__all__ = [
    "RecordBody",
    "RecordSchemaNotFound",
    "Reference",
    "find_schema",
    "get_schema_by_name",
    "newest_schema_version",
    "record_schemas",
    "schema_name",
]


@dataclasses.dataclass(frozen=True, slots=True)
class Reference:
    """A reference from a record's body to another record.

    Attributes:
        path: Path in the body, for example `keys.0.rank`.
        kind: Kind of the referenced record.
        name: Name of the referenced record.
    """

    path: str
    kind: str
    name: str


class RecordBody(pydantic.BaseModel, abc.ABC):
    """Body of a record of one kind and schema version.

    Attributes:
        name: Name in the registry, `kind/schema_version`.
        aliases: Additional names in the registry.
        kind: The kind of record.
        schema_version: The schema's version, from 1.
    """

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    name: ClassVar[str] = ""
    aliases: ClassVar[tuple[str, ...]] = ()
    kind: ClassVar[str] = ""
    schema_version: ClassVar[int] = 0

    @abc.abstractmethod
    def build(self, record_name: str) -> Any:
        """Converts the body into a data class of `configuration.view`."""

    def references(self) -> Iterable[Reference]:
        """Returns the references to other records."""
        return ()


class RecordSchemaNotFound(registry.NameNotFound):
    """This process does not know a schema of that kind and version."""


record_schemas: registry.Registry[RecordBody] = registry.Registry(
    "record schema",
    RecordSchemaNotFound,
    (
        f"{__name__}.application",
        f"{__name__}.backend_kind",
        f"{__name__}.model",
        f"{__name__}.rank",
        f"{__name__}.routing_policy",
        f"{__name__}.workspace",
    ),
)


def schema_name(kind: str, schema_version: int) -> str:
    """Returns the name of a kind and version in the registry."""
    return f"{kind}/{schema_version}"


def get_schema_by_name(name: str) -> type[RecordBody]:
    """Returns the body class named `kind/schema_version`.

    Raises:
        RecordSchemaNotFound: This process does not know it.
    """
    return record_schemas.get_by_name(name)


def find_schema(kind: str, schema_version: int) -> type[RecordBody] | None:
    """Returns the body class, None if this process does not know it."""
    try:
        return record_schemas.get_by_name(schema_name(kind, schema_version))
    except RecordSchemaNotFound:
        return None


def newest_schema_version(kind: str) -> int:
    """Returns the newest known version of a kind, 0 for an unknown kind."""
    versions = (
        schema.schema_version
        for schema in record_schemas
        if schema.kind == kind
    )
    return max(versions, default=0)
