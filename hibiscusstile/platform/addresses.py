"""Checked addresses of servers and gateways on the platform's network."""

from __future__ import annotations

import ipaddress
import re
from typing import Annotated

import pydantic

__all__ = ["IpAddress", "OptionalIpAddress"]

# Ports in ASCII digits without leading zeros.
_PORT = re.compile(r"[1-9][0-9]{0,4}")
_MAX_PORT = 65_535


def _check(value: str) -> str:
    host, _, port = value.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        raise ValueError("the host is not an IPv4 address") from None
    if not _PORT.fullmatch(port) or int(port) > _MAX_PORT:
        raise ValueError(f"the port is not a number from 1 to {_MAX_PORT}")
    return value


def _check_optional(value: str) -> str:
    return _check(value) if value else value


IpAddress = Annotated[str, pydantic.AfterValidator(_check)]
"""An IPv4 address and a port, as `ip:port`."""
OptionalIpAddress = Annotated[str, pydantic.AfterValidator(_check_optional)]
"""An `IpAddress`, or an empty text for none."""
