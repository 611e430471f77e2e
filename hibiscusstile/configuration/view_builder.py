"""Builds the configuration view from the configuration state."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Sequence
from typing import Any, TypeAlias

import logbook

from hibiscusstile import records as records_lib
from hibiscusstile.configuration import state as state_lib
from hibiscusstile.configuration import view as view_lib

__all__ = ["DEFAULT_POLICY", "ReferenceFault", "SchemaLookup", "ViewBuilder"]

_log = logbook.Logger("configuration")

DEFAULT_POLICY = "default"
_DEFAULT_ALGORITHM = "bidding"
_DEFAULT_RANK = "routine"
_FIELD_BY_KIND = {
    "workspace": "workspaces",
    "rank": "ranks",
    "routing_policy": "policies",
    "model": "models",
    "application": "applications",
    "backend_kind": "backend_kinds",
}

SchemaLookup: TypeAlias = Callable[
    [str, int], type[records_lib.RecordBody] | None
]


@dataclasses.dataclass(frozen=True, slots=True)
class ReferenceFault:
    """A record in force has a reference that cannot be used.

    Attributes:
        kind: Kind of the record that contains the reference.
        name: Name of that record.
        path: Path of the reference in the body.
        message: Description of the fault.
    """

    kind: str
    name: str
    path: str
    message: str


@dataclasses.dataclass(frozen=True, slots=True)
class _BuiltRecord:
    value: Any
    references: tuple[records_lib.Reference, ...]


class ViewBuilder:
    """Builds views, with a cache of the data classes built from each record.

    Args:
        find_schema: Finds the schemas that this process knows.
    """

    def __init__(self, find_schema: SchemaLookup) -> None:
        self._find_schema = find_schema
        self._cache: dict[
            tuple[state_lib.RecordKey, int], _BuiltRecord | None
        ] = {}
        self._faults: tuple[ReferenceFault, ...] = ()

    @property
    def faults(self) -> tuple[ReferenceFault, ...]:
        """Faulty references in the view that was built last."""
        return self._faults

    def check_body(self, record: state_lib.StoredRecord) -> bool | None:
        """Returns whether a body is valid, None for an unknown schema."""
        if self._find_schema(record.kind, record.schema_version) is None:
            return None
        return self._build_record(record) is not None

    def build(
        self, state: state_lib.ConfigurationState
    ) -> view_lib.ConfigurationView:
        """Returns the view of a state.

        For each kind and name, the record with the newest schema version that
        this process knows is in force; for each key, the newest valid body.
        A reference to a record that is not in force is logged and replaced
        by a default, so that every policy and rank in the view exists.
        """
        self._evict_stale(state)
        in_force: dict[str, dict[str, _BuiltRecord]] = {
            kind: {} for kind in _FIELD_BY_KIND
        }
        # Keys are sorted by schema version: the newest one overwrites others.
        for key in sorted(state.histories):
            built = self._newest_valid(state.histories[key])
            if built is not None:
                in_force[key[0]][key[1]] = built
        self._set_faults(_find_reference_faults(in_force))
        fields: dict[str, dict[str, Any]] = {
            field: {name: built.value for name, built in in_force[kind].items()}
            for kind, field in _FIELD_BY_KIND.items()
        }
        _apply_defaults(fields)
        return view_lib.ConfigurationView(
            revision=state.revision,
            keys=_index_keys(fields["workspaces"]),
            **fields,
        )

    def _newest_valid(
        self, history: Sequence[state_lib.StoredRecord]
    ) -> _BuiltRecord | None:
        for record in reversed(history):
            built = self._build_record(record)
            if built is not None:
                return built
        return None

    def _build_record(
        self, record: state_lib.StoredRecord
    ) -> _BuiltRecord | None:
        cache_key = (record.key, record.offset)
        if cache_key not in self._cache:
            self._cache[cache_key] = self._build_uncached(record)
        return self._cache[cache_key]

    def _build_uncached(
        self, record: state_lib.StoredRecord
    ) -> _BuiltRecord | None:
        schema = self._find_schema(record.kind, record.schema_version)
        if schema is None or record.kind not in _FIELD_BY_KIND:
            self._log_ineffective(record, "unknown schema")
            return None
        # Any failure on a body must leave the previous body in force instead
        # of stopping the process.
        try:
            body = schema.model_validate(record.body)
            value = body.build(record.name)
            references = tuple(body.references())
        except Exception as error:
            self._log_ineffective(record, type(error).__name__)
            return None
        return _BuiltRecord(value, references)

    def _log_ineffective(
        self, record: state_lib.StoredRecord, reason: str
    ) -> None:
        _log.warning(
            "record_ineffective kind={} name={} schema_version={} offset={} "
            "reason={!r}",
            record.kind,
            record.name,
            record.schema_version,
            record.offset,
            reason,
        )

    def _evict_stale(self, state: state_lib.ConfigurationState) -> None:
        kept = {
            (key, record.offset)
            for key, history in state.histories.items()
            for record in history
        }
        for cache_key in self._cache.keys() - kept:
            del self._cache[cache_key]

    def _set_faults(self, faults: tuple[ReferenceFault, ...]) -> None:
        for fault in set(faults) - set(self._faults):
            _log.warning(
                "reference_unresolved kind={} name={} path={} message={!r}",
                fault.kind,
                fault.name,
                fault.path,
                fault.message,
            )
        self._faults = faults


def _find_reference_faults(
    in_force: dict[str, dict[str, _BuiltRecord]],
) -> tuple[ReferenceFault, ...]:
    faults = [
        ReferenceFault(
            kind,
            name,
            reference.path,
            f"{reference.kind} {reference.name!r} is not in force",
        )
        for kind, by_name in in_force.items()
        for name, built in by_name.items()
        for reference in built.references
        if reference.name not in in_force[reference.kind]
    ]
    owners: dict[str, str] = {}
    for name, built in in_force["workspace"].items():
        for key in built.value.keys:
            owner = owners.setdefault(key.key_id, name)
            if owner != name:
                faults.append(
                    ReferenceFault(
                        "workspace",
                        name,
                        "",
                        f"key id {key.key_id!r} belongs to workspace {owner!r}",
                    )
                )
    return tuple(faults)


def _apply_defaults(fields: dict[str, dict[str, Any]]) -> None:
    ranks: dict[str, view_lib.Rank] = fields["ranks"]
    lowest_rank = _lowest_rank(ranks)
    policies: dict[str, view_lib.RoutingPolicy] = fields["policies"]
    for name, policy in policies.items():
        if policy.default_rank not in ranks:
            policies[name] = dataclasses.replace(
                policy, default_rank=lowest_rank
            )
    policies.setdefault(
        DEFAULT_POLICY,
        view_lib.RoutingPolicy(
            DEFAULT_POLICY, _DEFAULT_ALGORITHM, default_rank=lowest_rank
        ),
    )
    workspaces: dict[str, view_lib.Workspace] = fields["workspaces"]
    for name, workspace in workspaces.items():
        workspaces[name] = _apply_workspace_defaults(workspace, policies, ranks)


def _apply_workspace_defaults(
    workspace: view_lib.Workspace,
    policies: dict[str, view_lib.RoutingPolicy],
    ranks: dict[str, view_lib.Rank],
) -> view_lib.Workspace:
    if workspace.policy not in policies:
        workspace = dataclasses.replace(workspace, policy=DEFAULT_POLICY)
    if all(not key.rank or key.rank in ranks for key in workspace.keys):
        return workspace
    # A key with an unknown rank must not gain priority.
    lowest_rank = _lowest_rank(ranks)
    keys = tuple(
        key
        if not key.rank or key.rank in ranks
        else dataclasses.replace(key, rank=lowest_rank)
        for key in workspace.keys
    )
    return dataclasses.replace(workspace, keys=keys)


def _lowest_rank(ranks: dict[str, view_lib.Rank]) -> str:
    lowest = max(
        ranks.values(), key=lambda rank: (rank.level, rank.name), default=None
    )
    return lowest.name if lowest else _DEFAULT_RANK


def _index_keys(
    workspaces: dict[str, view_lib.Workspace],
) -> dict[str, tuple[view_lib.Workspace, view_lib.ApiKey]]:
    index: dict[str, tuple[view_lib.Workspace, view_lib.ApiKey]] = {}
    for workspace in workspaces.values():
        for key in workspace.keys:
            index.setdefault(key.key_id, (workspace, key))
    return index
