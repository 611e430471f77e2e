"""Validates settings files and configuration records."""

from __future__ import annotations

import dataclasses
import json
import pathlib
from collections.abc import Iterable, Sequence
from typing import Any

import pydantic

from hibiscusstile import (
    backends,
    platform,
    records,
    registry,
    settings,
    settingsfaults,
)
from hibiscusstile.configuration import envelope as envelope_lib
from hibiscusstile.configuration import store as store_lib
from hibiscusstile.ctl import files

__all__ = [
    "RecordFile",
    "check_bodies",
    "check_records",
    "check_settings",
    "read_records",
]


@dataclasses.dataclass(frozen=True, slots=True)
class RecordFile:
    """The records of a file.

    Attributes:
        documents: The parsed records, not validated.
        is_list: Whether paths in the file start with the index of a record.
    """

    documents: tuple[Any, ...]
    is_list: bool

    def path(self, number: int, *parts: str | int) -> str:
        """Returns the dotted path of a part of a record."""
        prefix = (str(number),) if self.is_list else ()
        joined = ".".join((*prefix, *(str(part) for part in parts if part)))
        return joined or "(file)"


def read_records(documents: Sequence[Any]) -> RecordFile:
    """Returns the records from the documents of a file."""
    if len(documents) == 1 and isinstance(documents[0], list):
        return RecordFile(tuple(documents[0]), True)
    return RecordFile(tuple(documents), len(documents) != 1)


def check_settings(path: pathlib.Path) -> list[files.FileFault]:
    """Returns every fault of a settings file."""
    try:
        config = settings.load_settings(path)
    except settingsfaults.SettingsError as error:
        return list(error.faults)
    faults = []
    for where, look_up, name in _registry_lookups(config):
        try:
            look_up(name)
        except registry.NameNotFound as error:
            faults.append(files.FileFault(where, str(error)))
    return faults


def check_records(
    found: RecordFile, published: store_lib.ConfigurationStore | None = None
) -> list[files.FileFault]:
    """Returns every fault of a file of records.

    Args:
        found: The records.
        published: The configuration on the log. Without it, references are
            resolved only within the file.
    """
    bodies, faults = _check_bodies(found)
    faults += _check_references(found, bodies, published)
    faults += _check_key_ids(found, bodies, published)
    return faults


def check_bodies(found: RecordFile) -> list[files.FileFault]:
    """Returns the faults in single records, references not resolved."""
    return _check_bodies(found)[1]


def _check_bodies(
    found: RecordFile,
) -> tuple[dict[int, records.RecordBody], list[files.FileFault]]:
    if not found.documents:
        return {}, [files.FileFault("(file)", "contains no records")]
    faults: list[files.FileFault] = []
    bodies: dict[int, records.RecordBody] = {}
    for number, document in enumerate(found.documents):
        envelope_faults = list(_check_envelope(found, number, document))
        faults += envelope_faults
        if envelope_faults:
            continue
        result = _check_body(found, number, document)
        if isinstance(result, records.RecordBody):
            bodies[number] = result
        else:
            faults += result
    return bodies, faults


def _registry_lookups(
    config: settings.EntrySettings | settings.SidecarSettings,
) -> Iterable[tuple[str, Any, str]]:
    yield (
        "platform.log.kind",
        platform.get_log_client_by_name,
        config.platform.log.kind,
    )
    yield (
        "platform.instance_list.kind",
        platform.get_instance_list_by_name,
        config.platform.instance_list.kind,
    )
    if isinstance(config, settings.SidecarSettings):
        yield (
            "backend.kind",
            backends.get_backend_kind_by_name,
            config.backend.kind,
        )


def _check_envelope(
    found: RecordFile, number: int, document: Any
) -> Iterable[files.FileFault]:
    try:
        envelope_lib.Envelope.model_validate(document)
    except pydantic.ValidationError as error:
        yield from _pydantic_faults(found, number, (), error)
        return
    try:
        envelope_lib.parse_envelope(json.dumps(document).encode())
    except envelope_lib.EnvelopeError as error:
        yield files.FileFault(found.path(number), str(error))


def _check_body(
    found: RecordFile, number: int, document: dict[str, Any]
) -> records.RecordBody | list[files.FileFault]:
    kind, version = document["kind"], document["schema_version"]
    schema = records.find_schema(kind, version)
    if schema is None:
        newest = records.newest_schema_version(kind)
        if not newest:
            fault = f"unknown kind {kind!r}"
            return [files.FileFault(found.path(number, "kind"), fault)]
        fault = f"unknown schema version {version} (newest known: {newest})"
        return [files.FileFault(found.path(number, "schema_version"), fault)]
    try:
        body = schema.model_validate(document["body"])
    except pydantic.ValidationError as error:
        return list(_pydantic_faults(found, number, ("body",), error))
    try:
        body.build(document["name"])
    except (ArithmeticError, TypeError, ValueError) as error:
        return [files.FileFault(found.path(number, "body"), str(error))]
    return body


def _check_references(
    found: RecordFile,
    bodies: dict[int, records.RecordBody],
    published: store_lib.ConfigurationStore | None,
) -> Iterable[files.FileFault]:
    known = {
        (found.documents[number]["kind"], found.documents[number]["name"])
        for number in bodies
    }
    if published is not None:
        known |= {(each.kind, each.name) for each in published.state.records}
    place = "in the file" if published is None else "in the file or on the log"
    for number, body in bodies.items():
        for each in body.references():
            if (each.kind, each.name) not in known:
                yield files.FileFault(
                    found.path(number, "body", each.path),
                    f"{each.kind} {each.name!r} is not defined {place}",
                )


def _check_key_ids(
    found: RecordFile,
    bodies: dict[int, records.RecordBody],
    published: store_lib.ConfigurationStore | None,
) -> Iterable[files.FileFault]:
    owners: dict[str, str] = {}
    if published is not None:
        for key_id, (workspace, _) in published.view.keys.items():
            owners[key_id] = workspace.name
    for number, body in bodies.items():
        if body.kind != "workspace":
            continue
        name = found.documents[number]["name"]
        for key in body.build(name).keys:
            owner = owners.setdefault(key.key_id, name)
            if owner != name:
                yield files.FileFault(
                    found.path(number, "body"),
                    f"key id {key.key_id!r} is already used by workspace "
                    f"{owner!r}",
                )


def _pydantic_faults(
    found: RecordFile,
    number: int,
    prefix: tuple[str, ...],
    error: pydantic.ValidationError,
) -> Iterable[files.FileFault]:
    for each in error.errors(include_input=False, include_url=False):
        location = [str(part) for part in each["loc"]]
        yield files.FileFault(
            found.path(number, *prefix, *location), each["msg"]
        )
