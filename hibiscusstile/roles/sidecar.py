"""Sidecar role: admits and runs work for the local backend server."""

from __future__ import annotations

import datetime
from collections.abc import Mapping

import logbook

from hibiscusstile import (
    admission,
    backends,
    bidder,
    cacheview,
    identity,
    operators,
    platform,
    roles,
    settings,
    supervisor,
    suspectlog,
    suspects,
)
from hibiscusstile import clock as clock_lib
from hibiscusstile import outcome as outcome_lib
from hibiscusstile.claims import ledger as ledger_lib
from hibiscusstile.claims import ledgerlimits
from hibiscusstile.configuration import fetching, snapshot_stream
from hibiscusstile.configuration import follower as follower_lib
from hibiscusstile.configuration import store as store_lib
from hibiscusstile.peers import handshake, messages, revisionexchange
from hibiscusstile.peers import server as server_lib
from hibiscusstile.sidecar import (
    asyncadmission,
    cachepoller,
    cachescopes,
    calls,
    discovery,
    enginemonitor,
    executor,
    ledgersync,
    peerservice,
    regionsidecars,
    suspectbroadcast,
    weightsloader,
)

__all__ = ["SidecarRole"]

_log = logbook.Logger("sidecar")

_DRAIN_POLL_INTERVAL = datetime.timedelta(milliseconds=100)
# Work that peers sent before they read the notice of leaving arrives within
# this time and is refused; if the process had ended, it might have run.
_NOTICE_DELAY = datetime.timedelta(milliseconds=500)
_ROLE = "sidecar"


@roles.roles.register()
class SidecarRole(roles.Role):
    """Admits work for the local backend server and answers bid requests."""

    name = _ROLE

    def __init__(
        self, role_settings: settings.SidecarSettings, clock: clock_lib.Clock
    ) -> None:
        super().__init__(role_settings, clock)
        self._settings = role_settings
        self._clock = clock
        self._incarnation = identity.new_id("inc")
        self._leaving = False
        self._configuration_store = store_lib.ConfigurationStore(
            author=role_settings.peer_id
        )
        self._cache_view = cacheview.CacheView()
        self._backend = backends.get_backend_kind_by_name(
            role_settings.backend.kind
        )(role_settings.backend.url)
        self._log_client = platform.get_log_client_by_name(
            role_settings.platform.log.kind
        )(role_settings.platform.log.url)
        instance_list_settings = role_settings.platform.instance_list
        self._instance_list = platform.get_instance_list_by_name(
            instance_list_settings.kind
        )(instance_list_settings.url)
        self._discovery = discovery.Discovery(
            role_settings.region, self._instance_list, clock
        )
        queue = admission.AdmissionQueue(
            clock,
            admission.QueueLimits(**role_settings.queue.model_dump()),
            lambda: self._configuration_store.view.ranks,
            lambda: self._configuration_store.view.workspaces,
        )
        self._admission_queue = asyncadmission.AsyncAdmissionQueue(queue, clock)
        self._attempts = supervisor.Supervisor("attempts", clock)
        self._suspect_appender = suspectlog.SuspectAppender(
            self._log_client, clock
        )
        self._suspect_broadcaster = suspectbroadcast.SuspectBroadcaster(
            suspects.SuspectTable(clock), self._suspect_appender
        )
        self._bidder = bidder.Bidder(
            clock,
            queue,
            self._cache_view,
            role_settings.queue.prefill_tokens_per_s,
            self._priority_of_rank,
        )
        self._scopes = cachescopes.CacheScopeResolver(
            self._configuration_store, self._engine_health
        )
        self._executor = executor.AttemptExecutor(
            self._attempts,
            self._backend,
            self._admission_queue,
            self._cache_view,
            self._bidder,
            self._scopes,
            self._configuration_store,
            self._suspect_broadcaster,
            (role_settings.zone, role_settings.peer_id),
            self._check_engine,
            clock,
        )
        self._ledger_sync = self._build_ledger_sync()
        self._calls = calls.CallRunner(
            self._attempts,
            self._backend,
            role_settings.backend.application,
            self._admission_queue,
            self._configuration_store,
            self._ledger_sync,
            clock,
        )
        self._fetch_pacer = fetching.FetchPacer(
            clock, lambda: self._configuration_store.revision
        )
        self._peer_service = peerservice.PeerService(
            self._build_peer_info,
            self._configuration_store,
            self._executor,
            self._calls,
            self._bidder,
            self._scopes,
            self._suspect_broadcaster,
            lambda: self._discovery.peers,
            self._fetch_pacer,
        )
        self._engine_monitor: enginemonitor.EngineMonitor | None = None
        if isinstance(self._backend, backends.EngineBackend):
            self._engine_monitor = enginemonitor.EngineMonitor(
                self._backend,
                self._cache_view,
                self._executor.note_crash,
                self._executor.fail_running,
                self._peer_service.announce_info,
                clock,
            )
        self._peer_server = server_lib.PeerServer(
            handshake.Identity(role_settings.peer_id, _ROLE),
            role_settings.peers.host_text,
            role_settings.peers.port,
            role_settings.peer_secret.read(),
            lambda: self._configuration_store.revision,
            self._peer_service.serve,
        )
        self._operators_server = operators.OperatorsServer(
            role_settings.operators.host_text,
            role_settings.operators.port,
            self.status,
        )

    @property
    def ports(self) -> Mapping[str, int]:
        """Listening ports by their names in the settings."""
        return {
            "peers": self._peer_server.port,
            "operators": self._operators_server.port,
        }

    def status(self) -> dict[str, object]:
        """Returns the content of the operators' status page."""
        return {
            "role": _ROLE,
            "peer_id": self._settings.peer_id,
            "incarnation": self._incarnation,
            "revision": self._configuration_store.revision,
            "digest": self._configuration_store.digest,
            "leaving": self._leaving,
            "connections": self._peer_service.connection_count,
            "waiting": self._admission_queue.queue.waiting,
            "running": self._admission_queue.queue.running,
            "cached_prefixes": len(self._cache_view),
            "backend": self._backend_status(),
            "claims": 0
            if self._ledger_sync is None
            else len(self._ledger_sync.ledger),
            "suspect_facts": len(self._suspect_broadcaster.table),
        }

    def build(self, root: supervisor.Supervisor) -> None:
        """Adds the role's tasks to the root supervisor."""
        children = [
            ("configuration", self._build_configuration_follower().run),
            ("snapshots", self._build_snapshot_writer().run),
            ("attempts", self._attempts.run),
            ("turns", self._admission_queue.run),
            ("executor", self._executor.run),
            ("calls", self._calls.run),
            ("discovery", self._discovery.run),
            ("suspects", self._suspect_appender.run),
            ("peers", self._peer_server.run),
            ("revisions", self._build_revision_exchange().run),
            ("operators", self._operators_server.run),
        ]
        if self._ledger_sync is not None:
            children.insert(
                1, ("claims_follower", self._ledger_sync.follow_stream)
            )
            children.insert(
                2, ("claims_appender", self._ledger_sync.append_batches)
            )
        if isinstance(self._backend, backends.EngineBackend):
            cache_event_poller = cachepoller.CacheEventPoller(
                self._backend, self._cache_view, self._clock
            )
            children.append(("cache_feed", cache_event_poller.run))
        if self._engine_monitor is not None:
            children.append(("engine_watch", self._engine_monitor.run))
            children.append(
                ("orders", self._build_weights_loader(self._engine_monitor).run)
            )
        for name, start in children:
            root.add(supervisor.ChildSpec(name, start))

    async def wait_ready(self) -> None:
        """Waits until both ports are open."""
        await self._peer_server.wait_listening()
        await self._operators_server.wait_listening()

    async def drain(self) -> None:
        """Refuses new and queued work and waits for running work to end."""
        self._leaving = True
        _log.info("leaving peer_id={}", self._settings.peer_id)
        await self._peer_service.announce_leaving()
        self._admission_queue.refuse_waiting(
            outcome_lib.Refusal(
                outcome_lib.Reason.LEAVING, "the backend server is leaving"
            )
        )
        deadline_s = (
            self._clock.monotonic()
            + self._settings.stop.deadline.total_seconds()
        )
        await self._clock.sleep(_NOTICE_DELAY)
        while self._active_work and self._clock.monotonic() < deadline_s:
            await self._clock.sleep(_DRAIN_POLL_INTERVAL)

    async def close(self) -> None:
        """Closes clients after the supervisor tree has stopped."""
        await self._backend.close()
        await self._log_client.close()
        await self._instance_list.close()

    @property
    def _active_work(self) -> int:
        return self._executor.active_count + self._calls.active_count

    def _build_ledger_sync(self) -> ledgersync.LedgerSync | None:
        application = self._settings.backend.application
        if not application:
            return None
        claim_ledger = ledger_lib.Ledger(
            self._settings.peer_id,
            self._incarnation,
            self._clock,
            ledgerlimits.LedgerLimits(),
        )
        return ledgersync.LedgerSync(
            self._log_client,
            ledgersync.claims_stream(application),
            claim_ledger,
            self._clock,
        )

    def _build_configuration_follower(self) -> follower_lib.LogFollower:
        return follower_lib.LogFollower(
            self._log_client, self._configuration_store, self._clock
        )

    def _build_weights_loader(
        self, monitor: enginemonitor.EngineMonitor
    ) -> weightsloader.WeightsLoader:
        return weightsloader.WeightsLoader(
            monitor.engine,
            self._log_client,
            regionsidecars.RegionSidecars(
                self._instance_list, self._settings.region, self._clock
            ),
            self._configuration_store,
            self._admission_queue,
            self._clock,
            self._settings.peer_id,
            self._settings.region,
            self._engine_health,
            monitor.poll,
        )

    def _build_revision_exchange(self) -> revisionexchange.RevisionExchange:
        return revisionexchange.RevisionExchange(
            self._configuration_store,
            self._fetch_pacer,
            self._peer_service,
            self._clock,
        )

    def _build_snapshot_writer(self) -> snapshot_stream.SnapshotWriter:
        return snapshot_stream.SnapshotWriter(
            self._log_client,
            self._configuration_store,
            self._clock,
            self._settings.platform.log_retention,
        )

    def _priority_of_rank(self, rank: str) -> int:
        rank_record = self._configuration_store.view.ranks.get(rank)
        return rank_record.level if rank_record else 0

    def _backend_status(self) -> dict[str, object]:
        info = self._build_peer_info()
        return {
            "kind": info.backend_kind,
            "model": info.model,
            "weights_version": info.weights_version,
            "application": info.application,
            "up": self._engine_monitor is None
            or self._engine_monitor.health is not None,
        }

    async def _check_engine(self, stream_broke: bool) -> None:
        if self._engine_monitor is not None:
            await self._engine_monitor.poll(stream_broke=stream_broke)

    def _engine_health(self) -> backends.EngineHealth | None:
        return self._engine_monitor.health if self._engine_monitor else None

    def _build_peer_info(self) -> messages.PeerInfo:
        health = self._engine_health()
        return messages.PeerInfo(
            self._settings.peer_id,
            self._incarnation,
            _ROLE,
            self._settings.peers.host_text,
            self._peer_server.port,
            self._settings.zone,
            self._settings.region,
            backend_kind=self._settings.backend.kind,
            model=health.model if health else "",
            adapters=health.adapters if health else (),
            weights_version=health.weights_version if health else "",
            application=self._settings.backend.application,
            leaving=self._leaving,
        )
