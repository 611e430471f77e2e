"""Refuses requests that crash engines and keeps suspects apart."""

from __future__ import annotations

import contextlib
import dataclasses

from hibiscusstile import outcome, rendezvous, request, suspects
from hibiscusstile.entry import sidecarpool
from hibiscusstile.peers import client as client_lib
from hibiscusstile.peers import connection as connection_lib
from hibiscusstile.peers import messages

__all__ = ["SuspectIsolator"]

_MAX_CANDIDATES = 3


class SuspectIsolator:
    """What an entry does about suspects.

    All entries send a suspect to the same runner, which takes one at a time,
    so copies of a request meet there after its first crash. The runner is not
    one that it was charged with, and lies in another availability zone if one
    serves the model: what struck the first runner is less likely to strike
    the second one there.

    Args:
        suspect_table: What is known.
        sidecars: The connections to sidecars.
    """

    def __init__(
        self,
        suspect_table: suspects.SuspectTable,
        sidecars: sidecarpool.SidecarPool,
    ) -> None:
        self._suspect_table = suspect_table
        self._sidecars = sidecars

    def check(
        self,
        workspace: str,
        chat: request.ChatRequest,
        verdict: outcome.Verdict,
    ) -> str:
        """Returns the fingerprint of a suspect, empty for other requests.

        Args:
            workspace: The workspace.
            chat: The request.
            verdict: Whether an earlier attempt may have run it.

        Raises:
            Refused: The request is known to crash engines.
        """
        if not len(self._suspect_table):
            return ""
        digest = suspects.fingerprint(workspace, chat)
        refusal = self._suspect_table.refusal(digest, verdict)
        if refusal is not None:
            raise outcome.Refused(refusal)
        return digest if self._suspect_table.is_suspect(digest) else ""

    def candidate_runners(
        self, digest: str, model: str, excluded: frozenset[str]
    ) -> list[str]:
        """Returns the runners to try for a suspect, in order."""
        crashed_engines = [
            suspects.CrashedEngine(*crash_id.split("/", 2))
            for crash_id in self._suspect_table.charged_crashes(digest)
        ]
        crashed_peers = {engine.peer_id for engine in crashed_engines}
        crashed_zones = {engine.zone for engine in crashed_engines}
        names = {
            view.runner
            for view in self._sidecars.runners(model)
            if view.runner not in excluded
        }
        on_other_peers = names - crashed_peers or names
        in_other_zones = {
            name
            for name in on_other_peers
            if self._zone(name) not in crashed_zones
        }
        return rendezvous.top_nodes(
            int(digest[:16], 16),
            in_other_zones or on_other_peers,
            _MAX_CANDIDATES,
        )

    def all_runners_except(self, runner: str, model: str) -> frozenset[str]:
        """Returns the runners to exclude so that one is left."""
        names = {view.runner for view in self._sidecars.runners(model)}
        return frozenset(names - {runner})

    async def send_charges(
        self, link: client_lib.SidecarLink, digest: str
    ) -> None:
        """Tells a sidecar why a request is a suspect, before it arrives."""
        if digest:
            notice = messages.build_suspect_notice(
                self._suspect_table.charges_of(digest)
            )
            with contextlib.suppress(connection_lib.ConnectionLost):
                await link.send(notice)

    def mark_work_item(
        self, item: request.WorkItem, digest: str
    ) -> request.WorkItem:
        """Returns the work, marked when it is a suspect."""
        return dataclasses.replace(item, suspect=True) if digest else item

    def _zone(self, runner: str) -> str:
        link = self._sidecars.link(runner)
        return link.info.zone if link is not None and link.info else ""
