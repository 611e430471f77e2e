"""An entry instance's links to the sidecars."""

from __future__ import annotations

import asyncio
import datetime
from collections.abc import Callable, Sequence

import logbook

from hibiscusstile import clock as clock_lib
from hibiscusstile import platform, policies, settings, supervisor
from hibiscusstile.configuration import fetching, freshness
from hibiscusstile.configuration import snapshot as snapshot_lib
from hibiscusstile.configuration import store as store_lib
from hibiscusstile.peers import client as client_lib
from hibiscusstile.peers import connection as connection_lib
from hibiscusstile.peers import exchange, handshake, messages

__all__ = ["Fleet"]

_log = logbook.Logger("fleet")

_LIST_INTERVAL = datetime.timedelta(seconds=5)
_PROBED_LINKS = 3


class Fleet(client_lib.LinkObserver):
    """Keeps one link, and so one task, for each sidecar of the region.

    Args:
        config: The entry's settings.
        secret: The shared secret.
        hello: Returns the hello that this process sends.
        store: The configuration in force.
        instance_list: The platform's list.
        clock: Paces look-ups of the list.
        fresh: Told what peers say of their revision.
    """

    def __init__(
        self,
        config: settings.EntrySettings,
        secret: bytes,
        hello: Callable[[], messages.Hello],
        store: store_lib.ConfigurationStore,
        instance_list: platform.InstanceList,
        clock: clock_lib.Clock,
        fresh: freshness.Freshness | None = None,
    ) -> None:
        self._config = config
        self._secret = secret
        self._hello = hello
        self._store = store
        self._instance_list = instance_list
        self._clock = clock
        self._fresh = fresh or freshness.Freshness(
            clock, lambda: store.revision
        )
        self._fetches = fetching.FetchPacer(clock, lambda: store.revision)
        self._state_arrived = asyncio.Event()
        self._links: dict[str, client_lib.SidecarLink] = {}
        self._tasks = supervisor.Supervisor("links", clock)

    @property
    def tasks(self) -> supervisor.Supervisor:
        """Supervisor of the links."""
        return self._tasks

    @property
    def links(self) -> Sequence[client_lib.SidecarLink]:
        """All links, connected or not."""
        return tuple(self._links.values())

    @property
    def senders(self) -> Sequence[client_lib.SidecarLink]:
        """The links that are connected."""
        return [link for link in self._links.values() if link.connected]

    @property
    def exchange(self) -> exchange.RevisionExchange:
        """Exchanges revisions with the connected sidecars."""
        return exchange.RevisionExchange(
            self._store, self._fetches, self, self._clock
        )

    def link(self, peer_id: str) -> client_lib.SidecarLink | None:
        """Returns the usable link to a sidecar, None if there is none."""
        for each in self._links.values():
            if each.peer_id == peer_id and each.usable:
                return each
        return None

    def runners(self, model: str) -> list[policies.RunnerView]:
        """Returns the usable sidecars whose engine serves a model."""
        return [
            self._view(link)
            for link in self._links.values()
            if link.usable and link.info and link.info.model == model
        ]

    def servers(self, application: str) -> list[policies.RunnerView]:
        """Returns the usable sidecars whose service is of an application."""
        return [
            self._view(link)
            for link in self._links.values()
            if link.usable
            and link.info
            and link.info.application == application
        ]

    def add(self, host: str, port: int) -> None:
        """Starts a link unless there is one to this address."""
        address = f"{host}:{port}"
        if address in self._links:
            return
        link = client_lib.SidecarLink(
            handshake.Identity(self._config.peer_id, "entry"),
            host,
            port,
            self._secret,
            self._clock,
            lambda: self._store.revision,
            self._hello,
            self,
        )
        self._links[address] = link
        self._tasks.add(supervisor.ChildSpec(address, link.run))

    async def run(self) -> None:
        """Follows seeds and the instance list until cancelled."""
        for seed in self._config.seeds:
            self.add(seed.host_text, seed.port)
        while True:
            listing = await self._instance_list.list_instances()
            if isinstance(listing, platform.Listing):
                for each in listing.instances:
                    if (
                        each.role == "sidecar"
                        and each.region == self._config.region
                    ):
                        self.add(each.host, each.port)
            await self._clock.sleep(_LIST_INTERVAL)

    async def on_hello(
        self, link: client_lib.SidecarLink, hello: messages.Hello
    ) -> None:
        """Notes a sidecar's hello."""
        _log.info(
            "sidecar_up peer_id={} address={} zone={}",
            hello.info.peer_id,
            link.address,
            hello.info.zone,
        )

    async def on_message(
        self, link: client_lib.SidecarLink, message: messages.PeerMessage
    ) -> None:
        """Handles configuration and notices."""
        match message:
            case messages.ConfigState():
                self._adopt(message)
            case messages.ConfigDigest():
                exchange.check_digest(self._store, message, link.peer_id)
            case messages.ConfigFetch():
                await self._send_state(link, message.revision)
            case messages.Leaving():
                link.mark_leaving()
            case _:
                return

    async def on_revision(
        self, link: client_lib.SidecarLink, revision: int
    ) -> None:
        """Fetches a newer configuration from the sidecar that has it."""
        self._fresh.note_revision(revision)
        since = self._fetches.next_fetch(revision)
        if since is None:
            return
        try:
            await link.send(messages.ConfigFetch(since))
        except connection_lib.ConnectionLost:
            return

    def on_answer(self, asked_s: float) -> None:
        """Counts a sidecar's answer as a confirmation of the revision."""
        self._fresh.confirm(asked_s)

    async def confirm(self, patience: datetime.timedelta) -> bool:
        """Asks a few sidecars for their revision and catches up with them.

        Args:
            patience: How long to wait for them and for a newer state.

        Returns:
            Whether the configuration in force is known to be the newest.
        """
        timeout_s = patience.total_seconds()
        usable = [link for link in self._links.values() if link.usable]
        await asyncio.gather(
            *(link.probe(timeout_s) for link in usable[:_PROBED_LINKS])
        )
        try:
            async with asyncio.timeout(timeout_s):
                while usable and self._fresh.is_behind:
                    self._state_arrived.clear()
                    await self._state_arrived.wait()
        except TimeoutError:
            return False
        return self._fresh.is_fresh

    def _adopt(self, message: messages.ConfigState) -> None:
        result = self._store.adopt(message.state, message.digest)
        refused = isinstance(result, store_lib.AdoptionRefused)
        self._fetches.note_answer(refused)
        self._state_arrived.set()

    async def _send_state(
        self, link: client_lib.SidecarLink, revision: int
    ) -> None:
        if self._store.revision <= revision:
            return
        try:
            state = self._store.snapshot(revision)
        except snapshot_lib.SnapshotError as error:
            _log.error("snapshot_not_sent reason={!r}", str(error))
            return
        await link.send(
            messages.ConfigState(
                self._store.revision, self._store.digest, state
            )
        )

    def _view(self, link: client_lib.SidecarLink) -> policies.RunnerView:
        zone = link.info.zone if link.info else ""
        return policies.RunnerView(
            link.peer_id,
            self._config.zone_delays_s.get(zone, 0.0),
            link.load,
            link.load_age_s,
        )
