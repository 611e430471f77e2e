"""Reads typed and range-checked options from a mapping."""

from __future__ import annotations

import datetime
from collections.abc import Mapping, Sequence
from typing import Any

__all__ = [
    "OptionError",
    "get_bool",
    "get_choice",
    "get_duration",
    "get_float",
    "get_float_by_name",
    "get_int",
]


class OptionError(ValueError):
    """An option is missing, of the wrong type or out of range."""


def get_bool(options: Mapping[str, Any], name: str, default: bool) -> bool:
    """Returns a boolean option.

    Raises:
        OptionError: The value is not a boolean.
    """
    value = options.get(name, default)
    if not isinstance(value, bool):
        raise OptionError(f"option {name!r} must be true or false")
    return value


def get_int(
    options: Mapping[str, Any],
    name: str,
    default: int,
    *,
    minimum: int | None = None,
    maximum: int | None = None,
) -> int:
    """Returns an integer option within [minimum, maximum].

    Raises:
        OptionError: The value is not an integer or is out of range.
    """
    value = options.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int):
        raise OptionError(f"option {name!r} must be an integer")
    _check_range(name, value, minimum, maximum)
    return value


def get_float(
    options: Mapping[str, Any],
    name: str,
    default: float,
    *,
    minimum: float | None = None,
    maximum: float | None = None,
) -> float:
    """Returns a numeric option within [minimum, maximum].

    Raises:
        OptionError: The value is not a number or is out of range.
    """
    value = options.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise OptionError(f"option {name!r} must be a number")
    _check_range(name, value, minimum, maximum)
    return float(value)


def get_float_by_name(
    options: Mapping[str, Any],
    name: str,
    default: Mapping[str, float],
    *,
    minimum: float | None = None,
    maximum: float | None = None,
) -> dict[str, float]:
    """Returns a mapping option with values within [minimum, maximum].

    Raises:
        OptionError: The option is not a mapping, or one of its values is not
            a number or is out of range.
    """
    value = options.get(name, default)
    if not isinstance(value, Mapping):
        raise OptionError(f"option {name!r} must be a mapping")
    return {
        str(key): get_float(
            {name: number}, name, 0.0, minimum=minimum, maximum=maximum
        )
        for key, number in value.items()
    }


def get_duration(
    options: Mapping[str, Any], name: str, default: datetime.timedelta
) -> datetime.timedelta:
    """Returns a non-negative option in seconds as a time span.

    Raises:
        OptionError: The value is not a number or is negative.
    """
    seconds = get_float(options, name, default.total_seconds(), minimum=0.0)
    return datetime.timedelta(seconds=seconds)


def get_choice(
    options: Mapping[str, Any],
    name: str,
    default: str,
    choices: Sequence[str],
) -> str:
    """Returns an option that is one of `choices`.

    Raises:
        OptionError: The value is not one of them.
    """
    value = options.get(name, default)
    if value not in choices:
        raise OptionError(
            f"option {name!r} must be one of {', '.join(choices)}"
        )
    return str(value)


def _check_range(
    name: str,
    value: float,
    minimum: float | None,
    maximum: float | None,
) -> None:
    if minimum is not None and value < minimum:
        raise OptionError(f"option {name!r} must be at least {minimum}")
    if maximum is not None and value > maximum:
        raise OptionError(f"option {name!r} must be at most {maximum}")
