"""An entry instance's links to the sidecars."""

from __future__ import annotations

import datetime
from collections.abc import Callable, Sequence

import logbook

from hibiscusstile import clock as clock_lib
from hibiscusstile import platform, policies, settings, supervisor, zonecost
from hibiscusstile.configuration import store as store_lib
from hibiscusstile.peers import client as client_lib
from hibiscusstile.peers import connection as connection_lib
from hibiscusstile.peers import handshake, messages

__all__ = ["Fleet"]

_log = logbook.Logger("fleet")

_LIST_INTERVAL = datetime.timedelta(seconds=5)


class Fleet(client_lib.LinkObserver):
    """Keeps one link, and so one task, for each sidecar of the region.

    Args:
        config: The entry's settings.
        secret: The shared secret.
        hello: Returns the hello that this process sends.
        store: The configuration in force.
        instance_list: The platform's list.
        clock: Paces look-ups of the list.
    """

    def __init__(
        self,
        config: settings.EntrySettings,
        secret: bytes,
        hello: Callable[[], messages.Hello],
        store: store_lib.ConfigurationStore,
        instance_list: platform.InstanceList,
        clock: clock_lib.Clock,
    ) -> None:
        self._config = config
        self._secret = secret
        self._hello = hello
        self._store = store
        self._instance_list = instance_list
        self._clock = clock
        self._links: dict[str, client_lib.SidecarLink] = {}
        self._tasks = supervisor.Supervisor("links", clock)
        self._zone_costs = zonecost.ZoneCosts(
            config.zone,
            config.region,
            config.zone_delays_s,
            config.region_delays_s,
        )

    @property
    def tasks(self) -> supervisor.Supervisor:
        """Supervisor of the links."""
        return self._tasks

    @property
    def links(self) -> Sequence[client_lib.SidecarLink]:
        """All links, connected or not."""
        return tuple(self._links.values())

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
                self._store.adopt(message.state)
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
        del revision
        try:
            await link.send(messages.ConfigFetch(self._store.revision))
        except connection_lib.ConnectionLost:
            return

    async def _send_state(
        self, link: client_lib.SidecarLink, revision: int
    ) -> None:
        if self._store.revision > revision:
            await link.send(
                messages.ConfigState(
                    self._store.revision,
                    self._store.digest,
                    self._store.snapshot(),
                )
            )

    def _view(self, link: client_lib.SidecarLink) -> policies.RunnerView:
        info = link.info
        zone = info.zone if info else ""
        region = info.region if info else ""
        return policies.RunnerView(
            link.peer_id,
            self._zone_costs.cost_s(zone, region),
            link.load,
            link.load_age_s,
        )
