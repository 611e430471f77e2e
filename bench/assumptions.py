"""Validated model of a simulated fleet, read from `fleets/NAME.yaml`."""

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
    """Request sizes and limits of one priority rank.

    Attributes:
        share: Share of all requests that have this rank.
        level: Priority; level 0 is served first.
        served_share: Share of the served tokens reserved for this rank when
            higher ranks overload the fleet.
        queue_time_s: Longest time in a queue before a request expires.
        reads_dossier: Whether the prompt contains the member's long dossier
            instead of the member's history.
        general_share: Share of the requests without a member level in their
            prompt.
        question_tokens: Minimum and maximum tokens of the last prompt level,
            which is unique to each request.
        output_tokens: Minimum and maximum generated tokens.
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
    """Distribution of the offered traffic.

    Attributes:
        load: Offered load as a share of the fleet's capacity.
        term_amplitude: Relative amplitude of the sine wave that the arrival
            rate follows.
        term_period_s: Period of that sine wave.
        warmup_share: Share of the requests, from the first one on, that is
            excluded from the measurement.
        instruction_tokens: Tokens of the instructions that all prompts share.
        tenant_tokens: Minimum and maximum tokens of the prompt level that the
            requests of a workspace share.
        history_tokens: Minimum and maximum tokens of a member's history.
        dossier_tokens: Minimum and maximum tokens of a dossier.
        workspace_members: Number of members (or plots) of each workspace.
        workspace_weights: Relative traffic of each workspace.
        members_per_dossier: Number of members that share one dossier.
        member_zipf: Zipf exponent of the members' popularity.
        callers: Number of callers per workspace.
        caller_zipf: Zipf exponent of the callers' request rates.
        hot_prefixes: Number of members whose prefixes are hot at a time.
        hot_share: Share of the requests that use a hot prefix.
        hot_requests: Requests after which other prefixes become hot.
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
    """Performance of the simulated model engines.

    Attributes:
        prefill_tokens_per_s: Prompt tokens computed per second.
        prefill_chunk_tokens: Maximum prompt tokens computed in one step.
        step_s: Base duration of a step, without prefill and decoding.
        decode_s: Additional step duration for each decoding sequence.
        batch: Maximum number of concurrent sequences.
        block_tokens: Tokens per cache block.
        cache_blocks: Capacity of the prefix cache in blocks.
        weight_load_s: Time to load the weights after a restart.
        weight_loads_at_once: Concurrent weight loads that run at full speed;
            more share the bandwidth.
        event_delay_s: Time until the sidecar can read a cache event.
        event_poll_s: Interval at which the sidecar polls cache events.
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
    """Limits of the sidecars' admission queues.

    Attributes:
        queued_tokens: Maximum number of waiting tokens.
        queued_requests: Maximum number of waiting requests.
        running_tokens: Maximum number of tokens dispatched to the engine at a
            time.
        prefill_ahead_tokens: Maximum number of prompt tokens dispatched to
            the engine and not yet computed.
        next_class_share: Share of the running slots that each priority class
            may use, relative to the class above it.
    """

    queued_tokens: _PositiveInt
    queued_requests: _PositiveInt
    running_tokens: _PositiveInt
    prefill_ahead_tokens: _PositiveInt
    next_class_share: _Share


class Disturbances(_StrictModel):
    """Parameters of the disturbances that scenarios inject.

    Attributes:
        at_share: Position of the disturbance, as a share of the requests.
        flood_s: Duration of a flood.
        crash_event_loss: Share of the cache events lost after a crash.
        hot_share: Share of the requests that use a hot prefix after the shift
            of the scenario `hot_shift`.
    """

    at_share: _Share
    flood_s: _PositiveFloat
    crash_event_loss: _Share
    hot_share: _Share


class Fleet(_StrictModel):
    """Configuration of a simulated fleet and its traffic.

    Attributes:
        name: The fleet's name.
        runners: Number of model engines.
        entries: Number of entry instances.
        zones: Number of availability zones; runners and entries are
            distributed round robin over them.
        zone_delay_s: One-way latency between availability zones.
        local_delay_s: One-way latency within an availability zone.
        client_delay_s: One-way latency between clients and entries.
        engine: Performance of the model engines.
        queue: Limits of the sidecars' admission queues.
        traffic: Distribution of the offered traffic.
        ranks: Request sizes and limits by rank.
        disturbances: Parameters of the disturbances.
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
    """Reads and validates a fleet's YAML file.

    Raises:
        FileNotFoundError: No fleet has this name.
        pydantic.ValidationError: The file is invalid.
    """
    text = (_FLEETS_FOLDER / f"{name}.yaml").read_text(encoding="utf-8")
    return Fleet.model_validate(yaml.safe_load(text))


def fleet_names() -> list[str]:
    """Returns the names of all fleets in the folder `fleets`."""
    return sorted(path.stem for path in _FLEETS_FOLDER.glob("*.yaml"))
