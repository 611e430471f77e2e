"""Entry role: HTTP front end that relays callers' requests to sidecars."""

from __future__ import annotations

import datetime
from collections.abc import Mapping

import logbook

from hibiscusstile import clock as clock_lib
from hibiscusstile import (
    identity,
    memory,
    operators,
    platform,
    retrybudget,
    roles,
    settings,
    supervisor,
    suspectlog,
    suspects,
)
from hibiscusstile.configuration import follower as follower_lib
from hibiscusstile.configuration import freshness, snapshot_stream
from hibiscusstile.configuration import store as store_lib
from hibiscusstile.entry import (
    chatrelay,
    configurationcheck,
    httpapi,
    listener,
    routing,
    servicecalls,
    sidecarpool,
    suspectisolation,
)
from hibiscusstile.peers import messages

__all__ = ["EntryRole"]

_log = logbook.Logger("entry")

_DRAIN_POLL_INTERVAL = datetime.timedelta(milliseconds=50)
_ROLE = "entry"


@roles.roles.register()
class EntryRole(roles.Role):
    """Accepts callers' requests and relays them to sidecars."""

    name = _ROLE

    def __init__(
        self, role_settings: settings.EntrySettings, clock: clock_lib.Clock
    ) -> None:
        super().__init__(role_settings, clock)
        self._settings = role_settings
        self._clock = clock
        self._incarnation = identity.new_id("inc")
        self._leaving = False
        self._configuration_store = store_lib.ConfigurationStore(
            author=role_settings.peer_id
        )
        self._log_client = platform.get_log_client_by_name(
            role_settings.platform.log.kind
        )(role_settings.platform.log.url)
        instance_list_settings = role_settings.platform.instance_list
        self._instance_list = platform.get_instance_list_by_name(
            instance_list_settings.kind
        )(instance_list_settings.url)
        self._freshness = freshness.FreshnessTracker(
            clock, lambda: self._configuration_store.revision
        )
        self._configuration_follower = follower_lib.LogFollower(
            self._log_client, self._configuration_store, clock, self._freshness
        )
        self._suspects = suspects.SuspectTable(clock)
        self._sidecar_pool = sidecarpool.SidecarPool(
            role_settings,
            role_settings.peer_secret.read(),
            self._build_hello,
            self._configuration_store,
            self._suspects,
            self._instance_list,
            clock,
            self._freshness,
        )
        self._configuration_check = configurationcheck.ConfigurationCheck(
            self._freshness, self._sidecar_pool, self._configuration_follower
        )
        router = routing.Router(self._sidecar_pool, self._configuration_store)
        self._retry_budget = retrybudget.RetryBudget()
        limits = memory.memory_limits(
            role_settings.limits.memory_mb, role_settings.limits.max_fds
        )
        self._memory = memory.MemoryBudget(limits, clock)
        self._connections = memory.ConnectionLimit(limits.max_connections)
        self._http_api = httpapi.HttpApi(
            role_settings.limits,
            self._memory,
            self._configuration_store,
            chatrelay.ChatRelay(
                self._sidecar_pool,
                router,
                suspectisolation.SuspectIsolator(
                    self._suspects, self._sidecar_pool
                ),
                self._retry_budget,
                clock,
            ),
            servicecalls.ServiceCallRouter(
                self._sidecar_pool, self._retry_budget, clock
            ),
            lambda: (
                not self._leaving and self._configuration_store.revision >= 0
            ),
            self._configuration_check.ensure_current,
            clock,
        )
        self._listener = listener.Listener(
            role_settings.http,
            self._http_api.build_application(),
            role_settings.limits.body_timeout_s,
            self._connections,
        )
        self._operators_server = operators.OperatorsServer(
            role_settings.operators.host_text,
            role_settings.operators.port,
            self.status,
            update_metrics=self._memory.update_metrics,
        )

    @property
    def ports(self) -> Mapping[str, int]:
        """Listening ports by their names in the settings."""
        return {
            "http": self._listener.port,
            "operators": self._operators_server.port,
        }

    @property
    def configuration_check(self) -> configurationcheck.ConfigurationCheck:
        """The check that the configuration is current before serving."""
        return self._configuration_check

    def status(self) -> dict[str, object]:
        """Returns the content of the operators' status page."""
        return {
            "role": _ROLE,
            "peer_id": self._settings.peer_id,
            "incarnation": self._incarnation,
            "revision": self._configuration_store.revision,
            "digest": self._configuration_store.digest,
            "fresh": self._freshness.is_fresh,
            "leaving": self._leaving,
            "active_requests": self._http_api.active_requests,
            "memory": {
                **self._memory.status(),
                "connections": self._connections.status(),
            },
            "suspect_facts": len(self._suspects),
            "retries_denied": self._retry_budget.denied,
            "backend_servers": [
                {
                    "peer_id": link.peer_id,
                    "address": link.address,
                    "usable": link.usable,
                    "load": link.load,
                    "zone": link.info.zone if link.info else "",
                    "model": link.info.model if link.info else "",
                    "application": link.info.application if link.info else "",
                }
                for link in self._sidecar_pool.links
            ],
        }

    def build(self, root: supervisor.Supervisor) -> None:
        """Adds the role's tasks to the root supervisor."""
        snapshot_writer = snapshot_stream.SnapshotWriter(
            self._log_client,
            self._configuration_store,
            self._clock,
            self._settings.platform.log_retention,
        )
        suspect_follower = suspectlog.SuspectFollower(
            self._log_client, self._sidecar_pool.merge_suspects, self._clock
        )
        children = [
            ("configuration", self._configuration_follower.run),
            ("snapshots", snapshot_writer.run),
            ("links", self._sidecar_pool.link_supervisor.run),
            ("suspects", suspect_follower.run),
            ("revisions", self._sidecar_pool.revision_exchange.run),
            ("fleet", self._sidecar_pool.run),
            ("operators", self._operators_server.run),
            ("http", self._serve_http),
        ]
        for name, start in children:
            root.add(supervisor.ChildSpec(name, start))

    async def wait_ready(self) -> None:
        """Waits until both ports are open."""
        await self._listener.wait_listening()
        await self._operators_server.wait_listening()

    async def drain(self) -> None:
        """Reports not ready, closes the port, and waits for active requests.

        The port closes only once the load balancer has had time to notice.
        New requests are served until then, and refused on connections that
        are still open afterwards. The wait for active requests ends at the
        deadline.
        """
        _log.info("leaving peer_id={}", self._settings.peer_id)
        self._leaving = True
        stop = self._settings.stop
        await self._clock.sleep(stop.balancer_delay)
        await self._listener.close_port()
        self._http_api.refuse_new_requests()
        deadline_s = self._clock.monotonic() + stop.deadline.total_seconds()
        while self._clock.monotonic() < deadline_s:
            self._listener.close_idle()
            if not self._http_api.active_requests:
                break
            await self._clock.sleep(_DRAIN_POLL_INTERVAL)

    async def close(self) -> None:
        """Closes clients after the supervisor tree has stopped."""
        await self._log_client.close()
        await self._instance_list.close()

    async def _serve_http(self) -> None:
        """Opens the callers' port.

        This is once requests can be relayed, or at the start-up timeout.
        """
        await self._sidecar_pool.wait_initialized()
        await self._listener.run()

    def _build_hello(self) -> messages.Hello:
        return messages.Hello(
            messages.PeerInfo(
                self._settings.peer_id,
                self._incarnation,
                _ROLE,
                "",
                0,
                self._settings.zone,
                self._settings.region,
                leaving=self._leaving,
            ),
            wants_peers=self._sidecar_pool.wants_peers,
            suspects=messages.build_suspect_notice(self._suspects.facts()),
        )
