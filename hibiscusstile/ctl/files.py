"""Reads the files that operators hand to `hibiscusctl`."""

from __future__ import annotations

import json
import pathlib
from collections.abc import Hashable
from typing import Any

import yaml

from hibiscusstile import settingsfaults
from hibiscusstile.configuration import envelope as envelope_lib

__all__ = ["FileFault", "FileUnreadable", "contains_records", "read_documents"]

FileFault = settingsfaults.SettingsFault
# A list of records is one level deeper than a record.
_MAX_DEPTH = envelope_lib.MAX_DEPTH + 1
_RECORD_FIELDS = {"kind", "schema_version", "body"}
_TIMESTAMP_TAG = "tag:yaml.org,2002:timestamp"


class FileUnreadable(ValueError):  # noqa: N818 - names the state of the file
    """The file cannot be read as YAML or JSON; the text says why."""


class _Loader(yaml.SafeLoader):
    """Reads what JSON can express, and refuses an object's double keys."""

    def construct_mapping(
        self, node: yaml.MappingNode, deep: bool = False
    ) -> dict[Hashable, Any]:
        """Returns the mapping.

        Raises:
            ConstructorError: A key is given twice.
        """
        keys = [key.value for key, _ in node.value if key.value != "<<"]
        if any(keys.count(key) > 1 for key in keys):
            raise yaml.constructor.ConstructorError(
                None, None, "a key is given twice", node.start_mark
            )
        return super().construct_mapping(node, deep)


# A date in a record is text: JSON has no other form for it.
_Loader.yaml_implicit_resolvers = {
    first: [pair for pair in pairs if pair[0] != _TIMESTAMP_TAG]
    for first, pairs in yaml.SafeLoader.yaml_implicit_resolvers.items()
}


def read_documents(path: pathlib.Path) -> list[Any]:
    """Returns the YAML or JSON documents of a file.

    Raises:
        FileUnreadable: The file cannot be read or is no YAML or JSON.
    """
    try:
        text = path.read_text(encoding="utf-8")
        if path.suffix == ".json":
            return [envelope_lib.parse_json(text.encode(), _MAX_DEPTH)]
        documents = list(yaml.load_all(text, _Loader))
        json.dumps(documents, allow_nan=False)
    except (OSError, UnicodeDecodeError) as error:
        raise FileUnreadable(f"cannot be read: {error}") from None
    except (yaml.YAMLError, RecursionError) as error:
        raise FileUnreadable(
            f"not YAML: {' '.join(str(error).split())}"
        ) from None
    except envelope_lib.EnvelopeError as error:
        raise FileUnreadable(str(error)) from None
    except (TypeError, ValueError) as error:
        raise FileUnreadable(f"has a value that JSON lacks: {error}") from None
    return documents


def contains_records(documents: list[Any]) -> bool:
    """Tells a file of records from one of settings."""
    if len(documents) != 1:
        return True
    first = documents[0]
    return isinstance(first, list) or (
        isinstance(first, dict)
        and "role" not in first
        and not _RECORD_FIELDS.isdisjoint(first)
    )
