"""Descriptions of records that fail validation, for the log."""

from __future__ import annotations

import pydantic

__all__ = ["describe_first"]

# An error may quote input, and the location the record's own names.
_MAX_LENGTH = 200


def describe_first(error: pydantic.ValidationError) -> str:
    """Returns the field and the reason of the first error."""
    first = error.errors(
        include_input=False, include_url=False, include_context=False
    )[0]
    location = ".".join(str(part) for part in first["loc"])
    text = f"{location}: {first['msg']}" if location else first["msg"]
    return text[:_MAX_LENGTH]
