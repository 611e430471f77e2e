"""Checks requests against those that have crashed engines."""

from __future__ import annotations

import dataclasses

from hibiscusstile import outcome, request, suspects
from hibiscusstile.peers import messages
from hibiscusstile.sidecar import suspectbroadcast

__all__ = ["SuspectScreen"]


class SuspectScreen:
    """Blocks or marks the requests that are suspected of crashing engines.

    Args:
        broadcaster: Exchanges facts about such requests.
    """

    def __init__(
        self, broadcaster: suspectbroadcast.SuspectBroadcaster
    ) -> None:
        self._broadcaster = broadcaster

    def screen(self, dispatch: messages.Dispatch) -> request.WorkItem:
        """Returns the request's work item, marked if it is a suspect.

        Raises:
            Refused: The request is blocked because it crashed engines.
        """
        table = self._broadcaster.table
        if not len(table):
            return dispatch.work
        fingerprint = _fingerprint(dispatch)
        refusal = table.refusal(fingerprint)
        if refusal is not None:
            raise outcome.Refused(refusal)
        return dataclasses.replace(
            dispatch.work,
            suspect=dispatch.work.suspect or table.is_suspect(fingerprint),
        )

    async def clear(self, dispatch: messages.Dispatch) -> None:
        """Records that a request has completed without a crash."""
        if len(self._broadcaster.table):
            await self._broadcaster.note_completed(_fingerprint(dispatch))


def _fingerprint(dispatch: messages.Dispatch) -> str:
    return suspects.fingerprint(dispatch.work.workspace, dispatch.chat)
