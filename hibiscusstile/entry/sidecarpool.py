"""Connections from an entry instance to the sidecars of its region."""

from __future__ import annotations

import asyncio
import contextlib
import datetime
import random
from collections.abc import Callable, Sequence

import logbook

from hibiscusstile import clock as clock_lib
from hibiscusstile import (
    membership,
    platform,
    policies,
    settings,
    supervisor,
    suspects,
    zonecost,
)
from hibiscusstile.configuration import fetching
from hibiscusstile.configuration import freshness as freshness_lib
from hibiscusstile.configuration import store as store_lib
from hibiscusstile.peers import client as client_lib
from hibiscusstile.peers import connection as connection_lib
from hibiscusstile.peers import handshake, messages, revisionexchange

__all__ = ["SidecarPool"]

_log = logbook.Logger("fleet")

_INSTANCE_LIST_INTERVAL = datetime.timedelta(seconds=10)
_STARTUP_POLL_INTERVAL = datetime.timedelta(milliseconds=10)
_STARTUP_TIMEOUT = datetime.timedelta(seconds=10)
_ALL_CONNECTED_TIMEOUT = datetime.timedelta(seconds=1)
_MAX_PROBED_LINKS = 3
_NOTICE_TIMEOUT = datetime.timedelta(milliseconds=500)


class SidecarPool(client_lib.LinkObserver):
    """Maintains one connection, with its own task, for each sidecar.

    Args:
        config: The entry's settings.
        secret: The secret shared by all peers.
        build_hello: Returns this process's hello message.
        store: Holds the current configuration.
        suspect_table: Crashes and the requests charged with them.
        instance_list: The platform's list of instances.
        clock: Measures time.
        freshness: Records when peers last confirmed the revision.
    """

    def __init__(
        self,
        config: settings.EntrySettings,
        secret: bytes,
        build_hello: Callable[[], messages.Hello],
        store: store_lib.ConfigurationStore,
        suspect_table: suspects.SuspectTable,
        instance_list: platform.InstanceList,
        clock: clock_lib.Clock,
        freshness: freshness_lib.FreshnessTracker | None = None,
    ) -> None:
        self._config = config
        self._secret = secret
        self._build_hello = build_hello
        self._store = store
        self._suspect_table = suspect_table
        self._instance_list = instance_list
        self._clock = clock
        self._freshness = freshness or freshness_lib.FreshnessTracker(
            clock, lambda: store.revision
        )
        self._fetch_pacer = fetching.FetchPacer(clock, lambda: store.revision)
        self._state_arrived = asyncio.Event()
        self._links: dict[str, client_lib.SidecarLink] = {}
        self._link_supervisor = supervisor.Supervisor("links", clock)
        self._has_listing = False
        self._membership = membership.Membership(config.region, clock)
        self._zone_costs = zonecost.ZoneCosts(
            config.zone,
            config.region,
            config.zone_delays_s,
            config.region_delays_s,
        )

    @property
    def link_supervisor(self) -> supervisor.Supervisor:
        """Supervisor of the tasks that run the links."""
        return self._link_supervisor

    @property
    def wants_peers(self) -> bool:
        """Whether to ask peers for the addresses of sidecars.

        This is so until the instance list has been read once.
        """
        return not self._has_listing

    @property
    def links(self) -> Sequence[client_lib.SidecarLink]:
        """All links, connected or not."""
        return tuple(self._links.values())

    @property
    def senders(self) -> Sequence[client_lib.SidecarLink]:
        """All connected links."""
        return [link for link in self._links.values() if link.connected]

    @property
    def revision_exchange(self) -> revisionexchange.RevisionExchange:
        """Keeps revisions in sync with the connected sidecars."""
        return revisionexchange.RevisionExchange(
            self._store, self._fetch_pacer, self, self._clock
        )

    def link(self, peer_id: str) -> client_lib.SidecarLink | None:
        """Returns the link to a sidecar, None unless it is usable."""
        for link in self._usable():
            if link.peer_id == peer_id:
                return link
        return None

    def runners(self, model: str) -> list[policies.RunnerView]:
        """Returns the usable sidecars whose engine serves a model."""
        return [
            self._runner_view(link)
            for link in self._usable()
            if link.info and link.info.model == model
        ]

    def servers(self, application: str) -> list[policies.RunnerView]:
        """Returns the usable sidecars whose service runs an application."""
        return [
            self._runner_view(link)
            for link in self._usable()
            if link.info and link.info.application == application
        ]

    async def wait_initialized(self) -> None:
        """Waits until requests can be served.

        This is once a configuration is known and all known sidecars are
        connected, or 1 s after the first one is usable. Without a usable
        sidecar the wait ends at a timeout, so that callers get an error
        instead of no response.
        """
        deadline_s = self._clock.monotonic() + _STARTUP_TIMEOUT.total_seconds()
        while self._store.revision < 0 or not self._usable():
            if self._clock.monotonic() >= deadline_s:
                return
            await self._clock.sleep(_STARTUP_POLL_INTERVAL)
        deadline_s = (
            self._clock.monotonic() + _ALL_CONNECTED_TIMEOUT.total_seconds()
        )
        while self._clock.monotonic() < deadline_s:
            if all(link.connected for link in self._links.values()):
                return
            await self._clock.sleep(_STARTUP_POLL_INTERVAL)

    async def run(self) -> None:
        """Keeps the links up to date with seeds and the instance list."""
        for seed in self._config.seeds:
            self._membership.add_seed(seed.host_text, seed.port)
        self._reconcile()
        while True:
            listing = await self._instance_list.list_instances(
                self._config.region
            )
            if isinstance(listing, platform.Listing):
                self._has_listing = True
                self._membership.note_listing(listing)
            self._reconcile()
            # The jitter keeps instances that start together from polling
            # the list at the same moments.
            jitter = random.uniform(0.8, 1.2)
            await self._clock.sleep(_INSTANCE_LIST_INTERVAL * jitter)

    def _usable(self) -> list[client_lib.SidecarLink]:
        return [
            link
            for address, link in self._links.items()
            if link.usable and not self._membership.is_leaving(address)
        ]

    def _reconcile(self) -> None:
        for address, link in self._links.items():
            if link.connected and link.info is not None:
                self._membership.note_alive(address, link.info.incarnation)
        for address in self._membership.remove_expired():
            if self._links.pop(address, None) is not None:
                self._link_supervisor.cancel(address)
        for member in self._membership.members:
            self._add_link(member.host, member.port)

    def _add_link(self, host: str, port: int) -> None:
        address = f"{host}:{port}"
        if address in self._links or address in self._link_supervisor.children:
            return
        link = client_lib.SidecarLink(
            handshake.Identity(self._config.peer_id, "entry"),
            host,
            port,
            self._secret,
            self._clock,
            lambda: self._store.revision,
            self._build_hello,
            self,
        )
        self._links[address] = link
        self._link_supervisor.add(
            supervisor.ChildSpec(
                address, link.run, supervisor.Restart.TRANSIENT
            )
        )

    async def on_hello(
        self, link: client_lib.SidecarLink, hello: messages.Hello
    ) -> None:
        """Registers a sidecar and the peers and suspects that it reports."""
        self._membership.note_alive(link.address, hello.info.incarnation)
        self._membership.note_peers(
            (peer.host, peer.port) for peer in hello.peers
        )
        self._reconcile()
        _log.info(
            "sidecar_up peer_id={} address={} zone={}",
            hello.info.peer_id,
            link.address,
            hello.info.zone,
        )
        await self.merge_suspects(hello.suspects.facts, link)

    async def on_message(
        self, link: client_lib.SidecarLink, message: messages.PeerMessage
    ) -> None:
        """Handles configuration messages, suspect notices and departures."""
        match message:
            case messages.ConfigState():
                self._adopt_state(message)
            case messages.ConfigDigest():
                revisionexchange.check_digest(
                    self._store, message, link.peer_id
                )
            case messages.ConfigFetch():
                await revisionexchange.send_state(
                    self._store, link, message.revision
                )
            case messages.SuspectNotice():
                await self.merge_suspects(message.facts, link)
            case messages.Leaving():
                link.mark_leaving()
            case _:
                return

    async def merge_suspects(
        self,
        facts: Sequence[suspects.Fact],
        source: client_lib.SidecarLink | None = None,
    ) -> None:
        """Merges facts and forwards new ones to the other sidecars."""
        notice = messages.build_suspect_notice(self._suspect_table.merge(facts))
        if not notice.facts:
            return
        await asyncio.gather(
            *(
                _send_notice(link, notice)
                for link in self._links.values()
                if link is not source and link.connected
            )
        )

    async def on_revision(
        self, link: client_lib.SidecarLink, revision: int
    ) -> None:
        """Fetches a newer configuration from the sidecar that announced it."""
        self._freshness.note_revision(revision)
        since = self._fetch_pacer.next_fetch(revision)
        if since is None:
            return
        try:
            await link.send(messages.ConfigFetch(since))
        except connection_lib.ConnectionLost:
            return

    def on_reply(self, sent_s: float) -> None:
        """Records a sidecar's reply as a confirmation of the revision."""
        self._freshness.confirm(sent_s)

    async def catch_up(self, max_wait: datetime.timedelta) -> bool:
        """Probes some sidecars for their revision and waits for a newer one.

        Args:
            max_wait: Timeout of the probes, and again of the wait for a newer
                configuration.

        Returns:
            Whether the current configuration is confirmed as the newest.
        """
        timeout_s = max_wait.total_seconds()
        usable = [link for link in self._links.values() if link.usable]
        await asyncio.gather(
            *(link.probe(timeout_s) for link in usable[:_MAX_PROBED_LINKS])
        )
        try:
            async with asyncio.timeout(timeout_s):
                while usable and self._freshness.is_behind:
                    self._state_arrived.clear()
                    await self._state_arrived.wait()
        except TimeoutError:
            return False
        return self._freshness.is_fresh

    def _adopt_state(self, message: messages.ConfigState) -> None:
        result = self._store.adopt(message.state, message.digest)
        is_refused = isinstance(result, store_lib.AdoptionRefused)
        self._fetch_pacer.note_fetch_result(is_refused)
        self._state_arrived.set()

    def _runner_view(self, link: client_lib.SidecarLink) -> policies.RunnerView:
        info = link.info
        zone = info.zone if info else ""
        region = info.region if info else ""
        return policies.RunnerView(
            link.peer_id,
            self._zone_costs.cost_s(zone, region),
            link.load,
            link.load_age_s,
        )


async def _send_notice(
    link: client_lib.SidecarLink, notice: messages.SuspectNotice
) -> None:
    """Sends a notice with a timeout.

    A sidecar that misses it gets the facts with the next hello.
    """
    with contextlib.suppress(connection_lib.ConnectionLost, TimeoutError):
        async with asyncio.timeout(_NOTICE_TIMEOUT.total_seconds()):
            await link.send(notice)
