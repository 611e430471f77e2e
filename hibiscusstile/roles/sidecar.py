"""Role of the process beside a backend server."""

from __future__ import annotations

import datetime
from collections.abc import Mapping

import logbook

from hibiscusstile import (
    admission,
    backends,
    cacheview,
    identity,
    operators,
    platform,
    roles,
    settings,
    supervisor,
)
from hibiscusstile import clock as clock_lib
from hibiscusstile import outcome as outcome_lib
from hibiscusstile.configuration import fetching, snapshot_stream
from hibiscusstile.configuration import follower as follower_lib
from hibiscusstile.configuration import store as store_lib
from hibiscusstile.peers import exchange, handshake, messages
from hibiscusstile.peers import server as server_lib
from hibiscusstile.sidecar import cachefeed, executor, service, turns

__all__ = ["SidecarRole"]

_log = logbook.Logger("sidecar")

_DRAIN_POLL = datetime.timedelta(milliseconds=100)
_ROLE = "sidecar"


@roles.roles.register()
class SidecarRole(roles.Role):
    """Admits work, runs it at the local backend server, answers bids."""

    name = _ROLE

    def __init__(
        self, config: settings.SidecarSettings, clock: clock_lib.Clock
    ) -> None:
        super().__init__(config, clock)
        self._config = config
        self._clock = clock
        self._incarnation = identity.new_id("inc")
        self._leaving = False
        self._model = ""
        self._store = store_lib.ConfigurationStore(author=config.peer_id)
        self._view = cacheview.CacheView()
        self._backend = backends.get_backend_kind_by_name(config.backend.kind)(
            config.backend.url
        )
        self._log = platform.get_log_client_by_name(config.platform.log.kind)(
            config.platform.log.url
        )
        queue = admission.AdmissionQueue(
            clock, admission.QueueLimits(**config.queue.model_dump())
        )
        self._turns = turns.Turns(queue, clock)
        self._attempts = supervisor.Supervisor("attempts", clock)
        self._executor = executor.Executor(
            self._attempts,
            self._backend,
            self._turns,
            self._view,
            self._store,
            clock,
        )
        self._fetches = fetching.FetchPacer(clock, lambda: self._store.revision)
        self._service = service.SidecarService(
            self._info,
            self._store,
            self._executor,
            self._turns,
            self._view,
            config.queue.prefill_tokens_per_s,
            self._fetches,
        )
        self._server = server_lib.PeerServer(
            handshake.Identity(config.peer_id, _ROLE),
            config.peers.host_text,
            config.peers.port,
            config.peer_secret.read(),
            lambda: self._store.revision,
            self._service.serve,
        )
        self._operators = operators.OperatorsServer(
            config.operators, self.status
        )

    @property
    def ports(self) -> Mapping[str, int]:
        """The open ports by their names in the settings."""
        return {
            "peers": self._server.port,
            "operators": self._operators.port,
        }

    def status(self) -> dict[str, object]:
        """Returns what the operators' port shows."""
        return {
            "role": _ROLE,
            "peer_id": self._config.peer_id,
            "incarnation": self._incarnation,
            "revision": self._store.revision,
            "digest": self._store.digest,
            "leaving": self._leaving,
            "connections": self._service.connections,
            "waiting": self._turns.queue.waiting,
            "running": self._turns.queue.running,
            "cached_prefixes": len(self._view),
        }

    def build(self, root: supervisor.Supervisor) -> None:
        """Adds the role's children to the root."""
        specs = [
            ("configuration", self._follower().run),
            ("snapshots", self._snapshotter().run),
            ("attempts", self._attempts.run),
            ("turns", self._turns.run),
            ("executor", self._executor.run),
            ("engine", self._run_engine),
            ("peers", self._server.run),
            ("revisions", self._exchange().run),
            ("operators", self._operators.run),
        ]
        for name, start in specs:
            root.add(supervisor.ChildSpec(name, start))

    async def wait_ready(self) -> None:
        """Waits until peers can connect."""
        await self._server.wait_listening()
        await self._operators.wait_listening()

    async def drain(self) -> None:
        """Refuses new work, returns what waits, and lets the rest end."""
        self._leaving = True
        _log.info("leaving peer_id={}", self._config.peer_id)
        await self._service.announce_leaving()
        self._turns.drain(
            outcome_lib.Refusal(
                outcome_lib.Reason.LEAVING, "the backend server is leaving"
            )
        )
        limit_s = (
            self._clock.monotonic() + self._config.stop.deadline.total_seconds()
        )
        while self._executor.active and self._clock.monotonic() < limit_s:
            await self._clock.sleep(_DRAIN_POLL)

    async def close(self) -> None:
        """Closes clients, once the children have stopped."""
        await self._backend.close()
        await self._log.close()

    def _follower(self) -> follower_lib.LogFollower:
        return follower_lib.LogFollower(self._log, self._store, self._clock)

    def _exchange(self) -> exchange.RevisionExchange:
        return exchange.RevisionExchange(
            self._store, self._fetches, self._service, self._clock
        )

    def _snapshotter(self) -> snapshot_stream.Snapshotter:
        return snapshot_stream.Snapshotter(
            self._log,
            self._store,
            self._clock,
            self._config.platform.log_retention,
        )

    async def _run_engine(self) -> None:
        if isinstance(self._backend, backends.EngineBackend):
            health = await self._backend.health()
            self._model = health.model if health else ""
            await cachefeed.CacheFeed(
                self._backend, self._view, self._clock
            ).run()
        await self._clock.sleep(datetime.timedelta.max / 1000)

    def _info(self) -> messages.PeerInfo:
        return messages.PeerInfo(
            self._config.peer_id,
            self._incarnation,
            _ROLE,
            self._config.peers.host_text,
            self._server.port,
            self._config.zone,
            self._config.region,
            backend_kind=self._config.backend.kind,
            model=self._model,
            application=self._config.backend.application,
            leaving=self._leaving,
        )
