"""Target versions of model weights and the versions that servers have."""

from __future__ import annotations

import bisect
import dataclasses

import logbook

from hibiscusstile import clock as clock_lib
from hibiscusstile import logs

__all__ = [
    "STORE_FOLLOWED",
    "STORE_READ",
    "TargetVersion",
    "WeightsBounds",
    "WeightsTable",
]

_log = logbook.Logger("weights")

# Sources of target versions, besides the names of peers: a record that came
# while this process followed the store, and one that was there before.
STORE_FOLLOWED = "store_followed"
STORE_READ = "store_read"
# Target versions kept for each model; servers have one of the last few.
_MAX_TARGETS = 64
# Models of one server whose versions are remembered.
_MAX_MODELS_PER_SERVER = 64
# Shares of the bound on outdated weights. The first leaves time to wait in an
# engine's queue, the last covers errors of the expected wait and of ages.
_MAX_LAG_SHARE = 0.625
_UNKNOWN_SERVER_SHARE = 0.4375
_MAX_START_LAG_SHARE = 0.875
# Shares of the stable window for which engines may lack a version of unknown
# age: from when it is learned, and from the start of the process. The second
# allows for an interpreter that starts slowly.
_UNKNOWN_AGE_GRACE_SHARE = 0.4
_START_GRACE_SHARE = 0.7
# Peers' ages that differ by less are not logged.
_MIN_LOGGED_CORRECTION_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class WeightsBounds:
    """Times that bound the use of outdated weights.

    Attributes:
        version_s: Age of a target version from which no request may start on
            older weights.
        stable_window_s: Time after the start of a process, or after a
            disturbance, in which this does not bind it.
    """

    version_s: float = 8.0
    stable_window_s: float = 3.0

    @property
    def max_lag_s(self) -> float:
        """Lag up to which requests are sent to an outdated server."""
        return _MAX_LAG_SHARE * self.version_s

    @property
    def max_start_lag_s(self) -> float:
        """Lag up to which requests may be expected to start."""
        return _MAX_START_LAG_SHARE * self.version_s

    @property
    def unknown_server_grace_s(self) -> float:
        """Target's age up to which a server of unknown version is used."""
        return _UNKNOWN_SERVER_SHARE * self.version_s

    def assumed_age_s(self, process_age_s: float) -> float:
        """Returns the age to assume for a version when it is learned.

        Servers that lack it are used for a short time only. It may have been
        published long before this process started, or lost the store, but the
        process is not bound by `version_s` until the stable window has passed.
        """
        grace_s = _UNKNOWN_AGE_GRACE_SHARE * self.stable_window_s
        if process_age_s < 2 * self.stable_window_s:
            start_grace_s = _START_GRACE_SHARE * self.stable_window_s
            grace_s = min(grace_s, max(0.0, start_grace_s - process_age_s))
        return max(0.0, self.max_lag_s - grace_s)


@dataclasses.dataclass(frozen=True, slots=True)
class TargetVersion:
    """A version of a model's weights that operators have published.

    Attributes:
        version: The version.
        published_s: Earliest time at which some gateway followed its
            publication, on this process's monotonic clock; assumed if unknown.
        is_known: Whether that time is known.
    """

    version: int
    published_s: float
    is_known: bool


class WeightsTable:
    """Target versions of each model and the version of each server.

    A server's version comes from its responses and reports. The last one
    received counts, as a restarted server may have an older version.

    Args:
        clock: Clock for the times at which versions are learned.
        bounds: Bounds on the use of outdated weights.
        started_s: When the process started, on the monotonic clock; now if
            None.
    """

    def __init__(
        self,
        clock: clock_lib.Clock,
        bounds: WeightsBounds | None = None,
        started_s: float | None = None,
    ) -> None:
        self._clock = clock
        self._started_s = clock.monotonic() if started_s is None else started_s
        self._bounds = bounds or WeightsBounds()
        # Target versions by model, oldest first.
        self._targets: dict[str, list[TargetVersion]] = {}
        self._versions: dict[tuple[str, str], int] = {}
        self._changing_until_s: dict[str, float] = {}

    @property
    def bounds(self) -> WeightsBounds:
        """Bounds on the use of outdated weights."""
        return self._bounds

    @bounds.setter
    def bounds(self, bounds: WeightsBounds) -> None:
        self._bounds = bounds

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

    def age_s(self, target: TargetVersion) -> float:
        """Returns the age of a target version, assumed if unknown."""
        return self._clock.monotonic() - target.published_s

    def lag_s(self, model: str, version: int) -> float:
        """Returns for how long a version has been outdated; 0 if it is not."""
        return max(
            (
                self.age_s(target)
                for target in self._targets.get(model, ())
                if target.version > version
            ),
            default=0.0,
        )

    def known_ages(self) -> list[tuple[str, int, float | None]]:
        """Returns models, target versions and their ages, None if unknown."""
        now_s = self._clock.monotonic()
        return [
            (
                model,
                each.version,
                now_s - each.published_s if each.is_known else None,
            )
            for model, targets in self._targets.items()
            for each in targets
        ]

    def set_target(
        self,
        model: str,
        version: int,
        source: str,
        age_s: float | None,
        delay_s: float = 0.0,
    ) -> bool:
        """Adds a target version, or corrects its age if it is known.

        Of several known ages, the oldest counts.

        Args:
            model: The model.
            version: The version.
            source: Where this process learned of it, for the log.
            age_s: Its age; None if the source does not know.
            delay_s: Longest time for which this information may have waited to
                be read; the age is not known exactly if it is above 0.

        Returns:
            Whether it is newer than all others.
        """
        now_s = self._clock.monotonic()
        is_known = age_s is not None and not delay_s
        taken_age_s = self._bounds.assumed_age_s(now_s - self._started_s)
        if age_s is not None:
            upper_bound_s = age_s + delay_s
            taken_age_s = (
                upper_bound_s if is_known else min(taken_age_s, upper_bound_s)
            )
        target = TargetVersion(version, now_s - taken_age_s, is_known)
        targets = self._targets.setdefault(model, [])
        index = bisect.bisect_left(targets, version, key=_version)
        if index < len(targets) and targets[index].version == version:
            self._correct_age(model, targets, index, source, target)
            return False
        targets.insert(index, target)
        del targets[:-_MAX_TARGETS]
        logs.event(
            _log,
            "weights_named",
            model=model,
            version=version,
            source=source,
            age_s=round(taken_age_s, 3),
            age_known=is_known,
        )
        return targets[-1].version == version

    def _correct_age(
        self,
        model: str,
        targets: list[TargetVersion],
        index: int,
        source: str,
        target: TargetVersion,
    ) -> None:
        current = targets[index]
        correction_s = current.published_s - target.published_s
        if not target.is_known or (current.is_known and correction_s <= 0.0):
            return
        targets[index] = target
        if not current.is_known or correction_s > _MIN_LOGGED_CORRECTION_S:
            logs.event(
                _log,
                "weights_age_learned",
                model=model,
                version=target.version,
                source=source,
                age_s=round(self.age_s(target), 3),
            )

    def version_at(self, server_id: str, model: str) -> int | None:
        """Returns the version that a server last reported, if known."""
        return self._versions.get((server_id, model))

    def note_version(self, server_id: str, model: str, version: int) -> bool:
        """Records a server's version; returns whether it has changed."""
        key = (server_id, model)
        current = self._versions.get(key)
        if current == version or (current is None and self._is_full(server_id)):
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

    def _is_full(self, server_id: str) -> bool:
        """Returns whether a server has as many models as are remembered.

        Callers choose the model that an answer tells a version of.
        """
        models = sum(each == server_id for each, _ in self._versions)
        return models >= _MAX_MODELS_PER_SERVER

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

    def changing(self) -> list[tuple[str, float]]:
        """Returns the servers that change weights, and for how long in s."""
        now_s = self._clock.monotonic()
        return [
            (server_id, until_s - now_s)
            for server_id, until_s in self._changing_until_s.items()
            if until_s > now_s
        ]

    def keep_only(self, server_ids: set[str]) -> None:
        """Drops servers that are no longer listed."""
        for key in [
            each for each in self._versions if each[0] not in server_ids
        ]:
            del self._versions[key]
        for server_id in set(self._changing_until_s) - server_ids:
            del self._changing_until_s[server_id]


def _version(target: TargetVersion) -> int:
    return target.version
