"""Blocks requests that crash engines and isolates suspected ones."""

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
    """Selects where requests run that are suspected of crashing engines.

    All entries send a suspect to the same runner, which runs one suspect at a
    time, so that copies of a request are serialized after its first crash.
    Runners at which the request is charged with a crash are avoided. A runner
    in another availability zone is preferred: a fault that hit the first
    runner from outside is less likely to hit the second one there.

    Args:
        suspect_table: Crashes and the requests charged with them.
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
            workspace: Name of the workspace.
            chat: The request.
            verdict: The combined verdict of earlier attempts.

        Raises:
            Refused: The request is blocked because it crashes engines.
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
        """Returns the runners to try for a suspect, in order of preference."""
        crashed_engines = [
            suspects.CrashedEngine(*crash_id.split("/", 2))
            for crash_id in self._suspect_table.charged_crashes(digest)
        ]
        crashed_peers = {engine.peer_id for engine in crashed_engines}
        crashed_zones = {engine.zone for engine in crashed_engines}
        runner_ids = {
            view.runner
            for view in self._sidecars.runners(model)
            if view.runner not in excluded
        }
        on_other_peers = runner_ids - crashed_peers or runner_ids
        in_other_zones = {
            runner_id
            for runner_id in on_other_peers
            if self._zone(runner_id) not in crashed_zones
        }
        return rendezvous.top_nodes(
            int(digest[:16], 16),
            in_other_zones or on_other_peers,
            _MAX_CANDIDATES,
        )

    def all_runners_except(self, runner: str, model: str) -> frozenset[str]:
        """Returns all runners of the model but one, to be excluded."""
        runner_ids = {view.runner for view in self._sidecars.runners(model)}
        return frozenset(runner_ids - {runner})

    async def send_charges(
        self, link: client_lib.SidecarLink, digest: str
    ) -> None:
        """Sends a sidecar the crashes charged to a suspect, before dispatch."""
        if digest:
            notice = messages.build_suspect_notice(
                self._suspect_table.charges_of(digest)
            )
            with contextlib.suppress(connection_lib.ConnectionLost):
                await link.send(notice)

    def mark_work_item(
        self, item: request.WorkItem, digest: str
    ) -> request.WorkItem:
        """Returns the work item, with `suspect` set if there is a digest."""
        return dataclasses.replace(item, suspect=True) if digest else item

    def _zone(self, runner: str) -> str:
        link = self._sidecars.link(runner)
        return link.info.zone if link is not None and link.info else ""
