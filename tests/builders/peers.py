"""Builders of process settings."""

from __future__ import annotations

import json
from typing import Any

from hibiscusstile import settings

__all__ = [
    "process_settings",
]


def process_settings(
    role: str, peer_id: str, log_url: str, list_url: str, **fields: Any
) -> settings.EntrySettings | settings.SidecarSettings:
    """Returns settings of a process on loopback with free ports.

    The peer secret is read from the environment variable `PEER_SECRET`.
    """
    any_loopback_port = {"host": "127.0.0.1", "port": 0}
    role_fields: dict[str, Any] = {"http": any_loopback_port}
    if role == "sidecar":
        backend = {"kind": "plain_service", "url": "http://127.0.0.1:1"}
        role_fields = {
            "peers": any_loopback_port,
            "backend": {**backend, "application": "a"},
        }
    return settings.parse_settings(
        json.dumps(
            {
                "role": role,
                "peer_id": peer_id,
                "zone": "az-1",
                "region": "south",
                "operators": any_loopback_port,
                "platform": {
                    "log": {"url": log_url},
                    "instance_list": {"url": list_url},
                },
                "peer_secret": {"environment": "PEER_SECRET"},
                "stop": {"balancer_delay_s": 0, "deadline_s": 1},
                **role_fields,
                **fields,
            }
        )
    )
