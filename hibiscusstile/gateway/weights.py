"""Target versions of model weights and the versions that servers have."""

from __future__ import annotations

import dataclasses

import logbook

from hibiscusstile import clock as clock_lib
from hibiscusstile import logs

__all__ = ["STORE_FOLLOWED", "STORE_READ", "TargetVersion", "WeightsTable"]

_log = logbook.Logger("weights")

# Sources of target versions, besides the names of peers: a record that came
# while this process followed the store, and one that was there before.
STORE_FOLLOWED = "store_followed"
STORE_READ = "store_read"
# Target versions kept for each model; servers have one of the last few.
_MAX_TARGETS = 64


@dataclasses.dataclass(frozen=True, slots=True)
class TargetVersion:
    """A version of a model's weights that operators have published.

    Attributes:
        version: The version.
        learned_s: When this process learned of it, on the monotonic clock.
    """

    version: int
    learned_s: float


class WeightsTable:
    """Target versions of each model and the version of each server.

    A server's version comes from its responses and reports. The last one
    received counts, as a restarted server may have an older version.

    Args:
        clock: Clock for the times at which versions are learned.
    """

    def __init__(self, clock: clock_lib.Clock) -> None:
        self._clock = clock
        # Target versions by model, oldest first.
        self._targets: dict[str, list[TargetVersion]] = {}
        self._versions: dict[tuple[str, str], int] = {}
        self._changing_until_s: dict[str, float] = {}

    @property
    def models(self) -> tuple[str, ...]:
        """Models with a target version."""
        return tuple(self._targets)

    def target(self, model: str) -> TargetVersion | None:
        """Returns the newest target version of a model, if any."""
        versions = self._targets.get(model)
        return versions[-1] if versions else None

    def target_after(self, model: str, version: int) -> TargetVersion | None:
        """Returns the oldest target version newer than `version`.

        A server with `version` has been outdated since that one was published,
        however many followed.
        """
        return next(
            (
                target
                for target in self._targets.get(model, ())
                if target.version > version
            ),
            None,
        )

    def set_target(self, model: str, version: int, source: str) -> bool:
        """Adds a target version; returns whether it is newer than the last.

        Args:
            model: The model.
            version: The version.
            source: Where this process learned of it, for the log.
        """
        current = self.target(model)
        if current is not None and current.version >= version:
            return False
        versions = self._targets.setdefault(model, [])
        versions.append(TargetVersion(version, self._clock.monotonic()))
        del versions[:-_MAX_TARGETS]
        logs.event(
            _log,
            "weights_named",
            model=model,
            version=version,
            source=source,
            age_s=0.0,
        )
        return True

    def version_at(self, server_id: str, model: str) -> int | None:
        """Returns the version that a server last reported, if known."""
        return self._versions.get((server_id, model))

    def note_version(self, server_id: str, model: str, version: int) -> bool:
        """Records a server's version; returns whether it has changed."""
        key = (server_id, model)
        current = self._versions.get(key)
        if current == version:
            return False
        self._versions[key] = version
        self._changing_until_s.pop(server_id, None)
        logs.event(
            _log,
            "weights_seen",
            server=server_id,
            model=model,
            version=version,
            before=current,
        )
        return True

    def forget_version(self, server_id: str, model: str) -> None:
        """Drops a server's version that turned out to be wrong."""
        if self._versions.pop((server_id, model), None) is not None:
            logs.event(_log, "weights_unknown", server=server_id, model=model)

    def note_changing(self, server_id: str, duration_s: float) -> None:
        """Records that a server changes its weights for `duration_s`.

        A change of the server's recorded version ends this earlier.
        """
        self._changing_until_s[server_id] = self._clock.monotonic() + duration_s

    def is_changing(self, server_id: str) -> bool:
        """Returns whether a server is changing its weights."""
        until_s = self._changing_until_s.get(server_id, 0.0)
        return self._clock.monotonic() < until_s

    def keep_only(self, server_ids: set[str]) -> None:
        """Drops servers that are no longer listed."""
        for key in [
            each for each in self._versions if each[0] not in server_ids
        ]:
            del self._versions[key]
        for server_id in set(self._changing_until_s) - server_ids:
            del self._changing_until_s[server_id]
