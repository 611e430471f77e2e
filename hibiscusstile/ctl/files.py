"""Parses the YAML and JSON files given to commands."""

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
# A list adds one level of nesting to the records in it.
_MAX_DEPTH = envelope_lib.MAX_DEPTH + 1
_RECORD_FIELDS = {"kind", "schema_version", "body"}
_TIMESTAMP_TAG = "tag:yaml.org,2002:timestamp"


class FileUnreadable(ValueError):  # noqa: N818 - names the state of the file
    """The file cannot be parsed; the message gives the reason."""


class _Loader(yaml.SafeLoader):
    """YAML loader for data that JSON can represent, without duplicate keys."""

    def construct_mapping(
        self, node: yaml.MappingNode, deep: bool = False
    ) -> dict[Hashable, Any]:
        """Returns the mapping of a node.

        Raises:
            ConstructorError: A key occurs more than once.
        """
        keys = [key.value for key, _ in node.value if key.value != "<<"]
        if any(keys.count(key) > 1 for key in keys):
            raise yaml.constructor.ConstructorError(
                None, None, "mapping has a duplicate key", node.start_mark
            )
        return super().construct_mapping(node, deep)


# Dates in records are strings, because JSON has no date type.
_Loader.yaml_implicit_resolvers = {
    first: [pair for pair in pairs if pair[0] != _TIMESTAMP_TAG]
    for first, pairs in yaml.SafeLoader.yaml_implicit_resolvers.items()
}


def read_documents(path: pathlib.Path) -> list[Any]:
    """Returns the YAML or JSON documents of a file.

    Raises:
        FileUnreadable: The file cannot be read, or is not YAML or JSON.
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
        raise FileUnreadable(
            f"has a value that JSON cannot represent: {error}"
        ) from None
    return documents


def contains_records(documents: list[Any]) -> bool:
    """Returns whether a file contains records rather than settings."""
    if len(documents) != 1:
        return True
    first = documents[0]
    return isinstance(first, list) or (
        isinstance(first, dict)
        and "role" not in first
        and not _RECORD_FIELDS.isdisjoint(first)
    )
