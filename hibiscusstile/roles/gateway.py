"""Gateway role: forwards callers' requests to backend servers."""

from __future__ import annotations

import asyncio
import contextlib
import datetime
import os
from collections.abc import Mapping

import logbook

import hibiscusstile
from hibiscusstile import clock as clock_lib
from hibiscusstile import (
    logs,
    memory,
    operators,
    placementquery,
    roles,
    settingsfaults,
    supervisor,
)
from hibiscusstile.gateway import (
    configurationrelay,
    follower,
    heldbodies,
    notices,
    placementpreview,
    rollout,
    rolloutlease,
    service,
    statuspage,
    stopping,
)
from hibiscusstile.gateway import state as state_lib
from hibiscusstile.peers import mesh
from hibiscusstile.platform import (
    boot,
    cacheevents,
    consumers,
    ingress,
    members,
    operatorrecords,
    orders,
    platformstore,
    serverentries,
    servers,
)
from hibiscusstile.roles import gatewaysettings

__all__ = ["GatewayRole"]

_log = logbook.Logger("gateway")

_MEMBER_READ_INTERVAL = datetime.timedelta(seconds=1)
_SETTINGS_POLL_INTERVAL = datetime.timedelta(milliseconds=500)
# Metrics port that deploy/system.toml declares.
_METRICS_PORT = 9464
_METRICS_RETRY_DELAY = datetime.timedelta(seconds=10)
_DRAIN_POLL_INTERVAL = datetime.timedelta(milliseconds=50)


@roles.roles.register()
class GatewayRole(roles.Role):
    """Forwards callers' requests to backend servers."""

    name = "gateway"

    def __init__(
        self, boot_settings: boot.BootSettings, clock: clock_lib.Clock
    ) -> None:
        super().__init__(boot_settings, clock)
        self._settings = boot_settings
        self._clock = clock
        self._reload_requested = asyncio.Event()
        self._memory = memory.MemoryBudget(
            memory.memory_limits(
                boot_settings.memory_mb, boot_settings.max_descriptors
            ),
            clock,
        )
        self._platform_store = platformstore.PlatformStore(
            boot_settings.store_address, clock
        )
        self._state = state_lib.GatewayState(
            clock,
            boot_settings.zone,
            gatewaysettings.retry_policy(boot_settings),
            heldbodies.HeldBodies(
                boot_settings.max_held_body_bytes,
                min(
                    boot_settings.max_held_total_bytes,
                    self._memory.limits.held_bytes,
                ),
                self._memory,
            ),
            datetime.timedelta(seconds=boot_settings.stable_window_s),
            gatewaysettings.weights_bounds(boot_settings),
            hibiscusstile.STARTED_S,
            boot_settings.even_load,
        )
        gatewaysettings.apply_settings(self._state, boot_settings)
        self._server_client = servers.HttpServerClient()
        self._gateway = service.Gateway(self._state, self._server_client)
        self._ingress = ingress.Ingress(
            boot_settings.caller_address, self._gateway, clock, self._memory
        )
        self._engine_orders = orders.HttpOrders(self._state.server_statements)
        self._cache_event_feed = cacheevents.CacheEventFeed(self._state)
        self._operators_server = operators.OperatorsServer(
            boot_settings.address,
            _METRICS_PORT,
            self._status,
            self._place,
            self._memory.update_metrics,
        )
        self._readiness_server = ingress.ReadinessServer(
            boot_settings.ready_address, self._gateway
        )
        relay = configurationrelay.ConfigurationRelay(
            boot_settings.name,
            self._state,
            consumers.OperatorRecordConsumer(self._state),
            operatorrecords.CONFIGURATION_KEY,
        )
        self._operator_record_follower = follower.KeyedFollower(
            self._platform_store,
            operatorrecords.OPERATOR_TOPIC,
            consumers.IsolatingConsumer(relay),
            clock,
        )
        self._notice_handler = notices.NoticeHandler(self._state)
        self._mesh = mesh.Mesh(
            boot_settings.name,
            boot_settings.address,
            boot_settings.internal_ports[0],
            self._state,
            self._notice_handler,
            relay,
        )
        self._membership = members.GatewayMembership(
            self._platform_store, self._mesh, self._state
        )
        self._member_follower = follower.KeyedFollower(
            self._platform_store,
            members.MEMBER_TOPIC,
            consumers.IsolatingConsumer(self._membership),
            clock,
            follower.ReadPace(_MEMBER_READ_INTERVAL),
        )
        self._server_entry_follower = follower.KeyedFollower(
            self._platform_store,
            serverentries.SERVER_TOPIC,
            consumers.IsolatingConsumer(
                consumers.ServerEntryConsumer(self._state)
            ),
            clock,
            follower.ReadPace.for_server_entries(
                datetime.timedelta(seconds=boot_settings.drain_s),
                datetime.timedelta(seconds=boot_settings.stable_window_s),
            ),
        )
        self._followers = (
            self._operator_record_follower,
            self._member_follower,
            self._server_entry_follower,
        )
        follower.link(self._followers)
        self._lease = rolloutlease.RolloutLease(
            self._state,
            self._platform_store,
            self._notice_handler,
            rolloutlease.Holder(boot_settings.name, boot_settings.address),
            datetime.timedelta(seconds=boot_settings.lease_s),
        )
        self._rollout = rollout.Rollout(
            self._state,
            self._lease,
            self._engine_orders,
            boot_settings.name,
        )

    @property
    def ports(self) -> Mapping[str, int]:
        """Listening ports by their names in the settings."""
        return {"callers": self._ingress.port}

    def build(self, root: supervisor.Supervisor) -> None:
        """Adds the role's tasks to the root supervisor."""
        logs.event(
            _log,
            "started",
            zone=self._settings.zone,
            process=os.getpid(),
            store=self._settings.store_address,
        )
        children = [
            ("operators", self._operator_record_follower.run),
            ("servers", self._server_entry_follower.run),
            ("peers", self._mesh.run_server),
            ("links", self._mesh.run_connections),
            ("announcement", self._membership.announce),
            ("members", self._member_follower.run),
            ("pauses", self._state.pauses.run),
            ("rollout", self._rollout.run),
            ("cache_events", self._cache_event_feed.run),
            ("settings", self._watch_settings),
            ("ready", self._readiness_server.run),
            ("metrics", self._serve_metrics),
            ("callers", self._ingress.run),
        ]
        for name, start in children:
            root.add(supervisor.ChildSpec(name, start))

    def _status(self) -> dict[str, object]:
        """Returns the content of the operators' status page."""
        table = self._state.table
        return {
            "role": self.name,
            "peer_id": self._settings.name,
            "revision": table.version if table else None,
            "store": self._store_status(),
            "ready": self._gateway.ready,
            "leaving": self._gateway.draining,
            "active_requests": self._gateway.active,
            "peers": list(self._mesh.peers),
            "lease": self._lease.status(),
            "memory": self._ingress.memory_status(),
            **statuspage.describe_state(self._state, self._settings.name),
        }

    def _place(self, query: placementquery.PlacementQuery) -> dict[str, object]:
        """Returns where a described request would go now."""
        return placementpreview.preview(self._state, query)

    def _store_status(self) -> dict[str, object]:
        known_for_s = self._platform_store.era_known_for_s
        return {
            "era": self._platform_store.era,
            "known_for_s": None if known_for_s is None else round(known_for_s),
        }

    def reload(self) -> None:
        """Requests a reload of the settings file."""
        self._reload_requested.set()

    async def wait_ready(self) -> None:
        """Waits until the callers' port is open."""
        await self._ingress.wait_listening()

    async def drain(self) -> None:
        """Reports not ready and ends when no caller is connected any more.

        Requests whose time limit ends before the process must exit are still
        served, and others refused. The wait ends early enough before the
        kill signal to close the connections.
        """
        signalled_s = self._clock.monotonic()
        logs.event(_log, "leaving", active=self._gateway.active)
        schedule = stopping.StopSchedule.after_signal(
            signalled_s, self._settings.grace_s
        )
        self._gateway.start_draining(schedule)
        await self._withdraw(schedule)
        await self._sleep_until(schedule.accept_all_until_s)
        self._log_drain("removed_from_balancer", signalled_s)
        await self._close_connections(schedule)
        self._log_drain("stopped", signalled_s)

    async def _withdraw(self, schedule: stopping.StopSchedule) -> None:
        """Removes the announcement, unless the store is slow to respond."""
        time_left_s = schedule.accept_all_until_s - self._clock.monotonic()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(0.0, time_left_s)):
                await self._membership.withdraw()

    async def _close_connections(self, schedule: stopping.StopSchedule) -> None:
        """Closes each connection after its response, then the port.

        The port stays open while requests are in progress, since the load
        balancer may have no other process to connect callers to. It is closed
        for one interval before the end, so that a connection accepted last is
        seen.
        """
        port_closed = False
        while self._clock.monotonic() < schedule.exit_s:
            self._ingress.close_idle()
            if port_closed and not self._ingress.connections:
                break
            is_late = self._clock.monotonic() >= schedule.answer_until_s
            if is_late or not self._ingress.busy_connections:
                self._ingress.close_port()
                port_closed = True
            if is_late:
                self._ingress.refuse_unread()
            await self._clock.sleep(_DRAIN_POLL_INTERVAL)

    async def _sleep_until(self, time_s: float) -> None:
        await self._clock.sleep(
            datetime.timedelta(
                seconds=max(0.0, time_s - self._clock.monotonic())
            )
        )

    def _log_drain(self, event: str, signalled_s: float) -> None:
        logs.event(
            _log,
            event,
            active=self._gateway.active,
            taken=self._gateway.taken_while_draining,
            reused=self._gateway.reused_while_draining,
            elapsed_s=round(self._clock.monotonic() - signalled_s, 3),
        )

    async def close(self) -> None:
        """Closes clients after the supervisor tree has stopped."""
        await self._server_client.close()
        await self._engine_orders.close()
        await self._cache_event_feed.close()
        await self._platform_store.close()

    async def _serve_metrics(self) -> None:
        """Serves the operators' port.

        If the port cannot be opened, only the operators are affected, and
        opening is retried.
        """
        while True:
            try:
                await self._operators_server.run()
            except OSError as error:
                logs.warn(_log, "metrics_not_served", error=str(error))
            await self._clock.sleep(_METRICS_RETRY_DELAY)

    async def _watch_settings(self) -> None:
        """Reloads the settings file when it changes or on request."""
        path = boot.settings_path()
        # The file may have changed since the process read it at its start.
        last_modified_ns = 0
        while True:
            try:
                async with asyncio.timeout(
                    _SETTINGS_POLL_INTERVAL.total_seconds()
                ):
                    await self._reload_requested.wait()
            except TimeoutError:
                pass
            modified_ns = _modification_time_ns(path)
            if (
                modified_ns == last_modified_ns
                and not self._reload_requested.is_set()
            ):
                continue
            self._reload_requested.clear()
            last_modified_ns = modified_ns
            await self._reload()

    async def _reload(self) -> None:
        try:
            boot_settings = boot.load_boot_settings(boot.settings_path())
        except settingsfaults.SettingsError as error:
            logs.warn(_log, "settings_rejected", error=str(error))
            return
        changed = [
            name
            for name in boot_settings.__slots__
            if getattr(boot_settings, name) != getattr(self._settings, name)
        ]
        self._settings = boot_settings
        gatewaysettings.apply_settings(self._state, boot_settings)
        if self._platform_store.address != boot_settings.store_address:
            await self._platform_store.move(boot_settings.store_address)
            for keyed_follower in self._followers:
                keyed_follower.restart()
        logs.event(_log, "settings_reloaded", changed=changed)


def _modification_time_ns(path: os.PathLike[str]) -> int:
    try:
        return os.stat(path).st_mtime_ns
    except OSError:
        return 0
