"""The assumptions about a fleet, read from its YAML file."""

from __future__ import annotations

import pathlib
from typing import Annotated

import pydantic
import yaml

__all__ = ["Fleet", "RankShape", "fleet_names", "load_fleet"]

_FLEETS_FOLDER = pathlib.Path(__file__).parent / "fleets"
_PositiveFloat = Annotated[float, pydantic.Field(gt=0)]
_Share = Annotated[float, pydantic.Field(ge=0, le=1)]
_PositiveInt = Annotated[int, pydantic.Field(ge=1)]
_IntRange = tuple[_PositiveInt, _PositiveInt]


class _StrictModel(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class RankShape(_StrictModel):
    """Sizes and limits of the requests of one rank.

    Attributes:
        share: Share of all requests.
        level: Order of service; 0 is served first.
        served_share: Share of served tokens kept for it in a flood.
        queue_time_s: How long it may wait before it expires.
        reads_dossier: Whether the member level is the long dossier.
        general_share: Share without any member level.
        question_tokens: Least and most tokens of the unique last level.
        output_tokens: Least and most generated tokens.
    """

    share: _Share
    level: Annotated[int, pydantic.Field(ge=0)]
    served_share: _Share
    queue_time_s: _PositiveFloat
    reads_dossier: bool
    general_share: _Share
    question_tokens: _IntRange
    output_tokens: _IntRange


class Traffic(_StrictModel):
    """The shape of the offered traffic.

    Attributes:
        load: Offered share of the fleet's capacity.
        term_amplitude: Relative rise and fall of the rate with the terms.
        term_period_s: Period of that rise and fall.
        warmup_share: First share of the requests, not measured.
        instruction_tokens: Tokens of the shared instructions.
        tenant_tokens: Least and most tokens of a tenant's own level.
        history_tokens: Least and most tokens of a member's history.
        dossier_tokens: Least and most tokens of a dossier.
        workspace_members: Members (or plots) of each workspace.
        workspace_weights: Relative traffic of each workspace.
        members_per_dossier: Members that share one dossier.
        member_zipf: Exponent of the popularity of members.
        callers: Callers per workspace.
        caller_zipf: Exponent of the callers' activity.
        hot_prefixes: Members that are very hot at one time.
        hot_share: Share of the requests that go to them.
        hot_requests: Requests after which the hot ones change.
    """

    load: _Share
    term_amplitude: _Share
    term_period_s: _PositiveFloat
    warmup_share: _Share
    instruction_tokens: _PositiveInt
    tenant_tokens: _IntRange
    history_tokens: _IntRange
    dossier_tokens: _IntRange
    workspace_members: tuple[_PositiveInt, ...]
    workspace_weights: tuple[_PositiveFloat, ...]
    members_per_dossier: _PositiveInt
    member_zipf: _PositiveFloat
    callers: _PositiveInt
    caller_zipf: _PositiveFloat
    hot_prefixes: _PositiveInt
    hot_share: _Share
    hot_requests: _PositiveInt


class Engine(_StrictModel):
    """The model engines.

    Attributes:
        prefill_tokens_per_s: Prompt tokens computed in a second.
        prefill_chunk_tokens: Prompt tokens computed in one step at most.
        step_s: Duration of a step without prompt tokens and sequences.
        decode_s: Further duration for each decoding sequence.
        batch: Sequences at once.
        block_tokens: Tokens of a cached block.
        cache_blocks: Blocks that the cache holds.
        weight_load_s: Seconds to load the weights.
        weight_loads_at_once: Loads beyond which each takes longer.
        event_delay_s: Lateness of cache events.
        event_poll_s: How often the sidecar asks for cache events.
        event_loss: Share of the cache events that are lost.
    """

    prefill_tokens_per_s: _PositiveFloat
    prefill_chunk_tokens: _PositiveInt
    step_s: _PositiveFloat
    decode_s: _PositiveFloat
    batch: _PositiveInt
    block_tokens: _PositiveInt
    cache_blocks: _PositiveInt
    weight_load_s: _PositiveFloat
    weight_loads_at_once: _PositiveInt
    event_delay_s: _PositiveFloat
    event_poll_s: _PositiveFloat
    event_loss: _Share


class Queue(_StrictModel):
    """Bounds of the sidecars' queues.

    Attributes:
        queued_tokens: Tokens that may wait.
        queued_requests: Requests that may wait.
        running_tokens: Tokens handed to the engine at once.
        prefill_ahead_tokens: Prompt tokens handed to the engine and not yet
            computed.
        next_class_share: Part of the running places of each class
            relative to the class before.
    """

    queued_tokens: _PositiveInt
    queued_requests: _PositiveInt
    running_tokens: _PositiveInt
    prefill_ahead_tokens: _PositiveInt
    next_class_share: _Share


class Disturbances(_StrictModel):
    """What the scenarios do.

    Attributes:
        at_share: When, as a share of the requests.
        flood_s: Duration of a flood.
        crash_event_loss: Share of the cache events lost after crashes.
        hot_share: Share of the requests for the hot prefixes in `hot_shift`.
    """

    at_share: _Share
    flood_s: _PositiveFloat
    crash_event_loss: _Share
    hot_share: _Share


class Fleet(_StrictModel):
    """Every assumption about a fleet and its traffic.

    Attributes:
        name: The fleet's name.
        runners: Number of model engines.
        entries: Number of entry instances.
        zones: Availability zones; runners and entries alternate over them.
        zone_delay_s: One-way latency between availability zones.
        local_delay_s: One-way latency within a zone.
        client_delay_s: One-way latency to clients.
        engine: The model engines.
        queue: Bounds of the sidecars' queues.
        traffic: The offered traffic.
        ranks: Shapes of the requests by rank.
        disturbances: What the scenarios do.
    """

    name: str
    runners: _PositiveInt
    entries: _PositiveInt
    zones: _PositiveInt
    zone_delay_s: _PositiveFloat
    local_delay_s: _PositiveFloat
    client_delay_s: _PositiveFloat
    engine: Engine
    queue: Queue
    traffic: Traffic
    ranks: dict[str, RankShape]
    disturbances: Disturbances


def load_fleet(name: str) -> Fleet:
    """Returns a fleet's validated assumptions.

    Raises:
        FileNotFoundError: There is no such fleet.
        pydantic.ValidationError: The file has faults.
    """
    text = (_FLEETS_FOLDER / f"{name}.yaml").read_text(encoding="utf-8")
    return Fleet.model_validate(yaml.safe_load(text))


def fleet_names() -> list[str]:
    """Returns the names of all fleets."""
    return sorted(path.stem for path in _FLEETS_FOLDER.glob("*.yaml"))
