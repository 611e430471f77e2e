"""Builders of configurations, prompts and instance lists of fleets."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from hibiscusstile import (
    platform,
)
from tests.builders.base import record

__all__ = [
    "FLEET_WORKSPACES",
    "FakeInstanceList",
    "fleet_records",
    "nested_prompt",
]


FLEET_WORKSPACES = {"buyers": "urgent", "contracts": "routine"}


def fleet_records(
    key_digest: Callable[[str, str], str], secret: str
) -> list[dict[str, Any]]:
    """Returns the configuration records of a fleet of processes.

    Each workspace has one key, `hs_WORKSPACE_SECRET`. Only `contracts` may
    use model `m2`.

    Args:
        key_digest: Returns the digest of a salt and a secret.
        secret: Secret part of the keys.
    """
    salt = "0123456789abcdef"
    workspaces = [
        record(
            "workspace",
            name,
            keys=[
                {
                    "key_id": name,
                    "salt": salt,
                    "digest": key_digest(salt, secret),
                    "rank": rank,
                }
            ],
            models=["m1"] if name == "buyers" else ["m1", "m2"],
        )
        for name, rank in FLEET_WORKSPACES.items()
    ]
    return [
        record("rank", "urgent", level=0),
        record("rank", "routine", level=1, share=0.1),
        record("routing_policy", "default", algorithm="bidding"),
        record("model", "m1", weights_version="v1"),
        record("model", "m2", weights_version="v1"),
        record("application", "accounts"),
        *workspaces,
    ]


def nested_prompt(workspace: str, member: int, question: str) -> list[Any]:
    """Returns messages with shared, workspace and member prefixes."""
    content_chars = 9000
    return [
        {
            "role": "system",
            "content": ("Grade pods with care. " * 500)[:content_chars],
        },
        {
            "role": "system",
            "content": (f"Rules of {workspace}. " * 500)[:content_chars],
        },
        {
            "role": "user",
            "content": (f"Member {member} sold. " * 500)[:content_chars],
        },
        {"role": "user", "content": question},
    ]


class FakeInstanceList(platform.InstanceList):
    """Lists given sidecars, all in region `north`."""

    def __init__(self, *names: str) -> None:
        super().__init__("")
        self.names = list(names)

    async def list_instances(self, region: str = "") -> platform.Listing:
        """Returns the sidecars in `names`."""
        return platform.Listing(
            tuple(
                platform.ListedInstance(
                    name, "sidecar", "127.0.0.1", 1, "az-1", "north"
                )
                for name in self.names
            )
        )

    async def close(self) -> None:
        """Does nothing."""
