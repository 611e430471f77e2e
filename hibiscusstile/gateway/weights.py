"""Which version of a model's weights is named, and which server has which."""

from __future__ import annotations

import dataclasses

import logbook

from hibiscusstile import clock as clock_lib
from hibiscusstile import logs

__all__ = ["TargetVersion", "WeightsTable"]

_log = logbook.Logger("weights")

# Versions of a model that are remembered; servers have one of the last few.
_MAX_TARGETS = 64


@dataclasses.dataclass(frozen=True, slots=True)
class TargetVersion:
    """A version of a model's weights that operators named.

    Attributes:
        version: The version.
        learnt_s: When this process learnt of it, on the monotonic clock.
    """

    version: int
    learned_s: float


class WeightsTable:
    """What is known of weights.

    A server's version comes from its answers and reports. What it said last
    counts, since a server that starts anew may have an older version.

    Args:
        clock: Tells when versions were learnt.
    """

    def __init__(self, clock: clock_lib.Clock) -> None:
        self._clock = clock
        # Every version that was named, by model, oldest first.
        self._targets: dict[str, list[TargetVersion]] = {}
        self._versions: dict[tuple[str, str], int] = {}
        self._changing_until_s: dict[str, float] = {}

    @property
    def models(self) -> tuple[str, ...]:
        """Models with a named version."""
        return tuple(self._targets)

    def target(self, model: str) -> TargetVersion | None:
        """Returns the newest version named for a model."""
        versions = self._targets.get(model)
        return versions[-1] if versions else None

    def target_after(self, model: str, version: int) -> TargetVersion | None:
        """Returns the oldest known version that is newer than another.

        A server is behind since that one was named, however many followed.
        """
        return next(
            (
                target
                for target in self._targets.get(model, ())
                if target.version > version
            ),
            None,
        )

    def set_target(self, model: str, version: int) -> bool:
        """Takes in a version that operators named; whether it is newer."""
        current = self.target(model)
        if current is not None and current.version >= version:
            return False
        versions = self._targets.setdefault(model, [])
        versions.append(TargetVersion(version, self._clock.monotonic()))
        del versions[:-_MAX_TARGETS]
        logs.event(_log, "weights_named", model=model, version=version)
        return True

    def version_at(self, server_id: str, model: str) -> int | None:
        """Returns the version that a server had last, if known."""
        return self._versions.get((server_id, model))

    def note_version(self, server_id: str, model: str, version: int) -> bool:
        """Notes a server's version; returns whether it has changed."""
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
        """Notes that a server has other weights than it was believed to."""
        if self._versions.pop((server_id, model), None) is not None:
            logs.event(_log, "weights_unknown", server=server_id, model=model)

    def note_changing(self, server_id: str, duration_s: float) -> None:
        """Notes that a server takes new weights for about `for_s`."""
        self._changing_until_s[server_id] = self._clock.monotonic() + duration_s

    def is_changing(self, server_id: str) -> bool:
        """Returns whether a server is taking new weights."""
        until_s = self._changing_until_s.get(server_id, 0.0)
        return self._clock.monotonic() < until_s

    def keep_only(self, server_ids: set[str]) -> None:
        """Forgets servers that are not listed any more."""
        for key in [
            each for each in self._versions if each[0] not in server_ids
        ]:
            del self._versions[key]
        for server_id in set(self._changing_until_s) - server_ids:
            del self._changing_until_s[server_id]
