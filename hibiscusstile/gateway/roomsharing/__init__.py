"""Shares the room of engines among callers while there is too little of it.

One decision tells which engine a request may still be sent to and who is
refused: by rank, then fairly over workspaces, then over their callers.
docs/design/room.md has the design.
"""

from __future__ import annotations

from hibiscusstile.gateway.roomsharing.fairshares import Flow
from hibiscusstile.gateway.roomsharing.room import (
    RoomRequest,
    RoomSharing,
    RouteRoom,
    latest_s,
)

__all__ = ["Flow", "RoomRequest", "RoomSharing", "RouteRoom", "latest_s"]
