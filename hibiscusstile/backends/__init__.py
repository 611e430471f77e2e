"""Kinds of backend servers: model engines and plain services."""

from __future__ import annotations

import abc
import dataclasses
import enum
from collections.abc import AsyncIterator

from hibiscusstile import registry, request

__all__ = [
    "Backend",
    "BackendNotFound",
    "BlockEvent",
    "BlockEventKind",
    "CacheEvents",
    "EngineBackend",
    "EngineEnd",
    "EngineEvent",
    "EngineHealth",
    "EngineLoad",
    "EngineOrder",
    "EngineStarted",
    "EngineText",
    "GenerationRequest",
    "OrderResult",
    "ProbeFailure",
    "ServiceBackend",
    "backend_kinds",
    "get_backend_kind_by_name",
]


@dataclasses.dataclass(frozen=True, slots=True)
class GenerationRequest:
    """What an engine is asked to generate.

    Attributes:
        attempt_id: Names the work for cancellation.
        chat: The request.
        weights_version: Version that must be loaded.
        priority: Lower runs first.
        cache_salt: Keeps cached blocks of other scopes apart.
        resume_text: Text generated before, to be continued.
        prefix_levels: The prompt's levels, by whose digests the engine's
            cache events name prefixes.
    """

    attempt_id: str
    chat: request.ChatRequest
    weights_version: str
    priority: int
    cache_salt: str
    resume_text: str = ""
    prefix_levels: tuple[request.PrefixLevel, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class EngineStarted:
    """The engine has taken the work up.

    Attributes:
        cached_tokens: Prompt tokens taken from the cache.
        incarnation: The engine's incarnation that holds the prompt now,
            empty when the engine does not say.
    """

    cached_tokens: int
    incarnation: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class EngineText:
    """Generated text."""

    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class EngineEnd:
    """The answer is whole."""

    finish_reason: str
    prompt_tokens: int
    cached_tokens: int
    completion_tokens: int


EngineEvent = EngineStarted | EngineText | EngineEnd


class BlockEventKind(enum.Enum):
    """What happened to a cached block."""

    STORED = "stored"
    REMOVED = "removed"


@dataclasses.dataclass(frozen=True, slots=True)
class BlockEvent:
    """One cache event.

    Attributes:
        number: Sequence number; a jump shows that events were lost.
        kind: Stored or removed.
        salt: The `cache_salt` the block belongs to.
        digest: Prefix digest of the level that ends in the block.
        tokens: Tokens of the prefix up to the end of the block.
    """

    number: int
    kind: BlockEventKind
    salt: str
    digest: int
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvents:
    """A batch of cache events of one engine incarnation.

    Attributes:
        incarnation: The incarnation.
        events: In order of their numbers.
        last_number: For a listing, the number of the last event that it
            includes; -1 otherwise.
    """

    incarnation: str
    events: tuple[BlockEvent, ...]
    last_number: int = -1


@dataclasses.dataclass(frozen=True, slots=True)
class EngineLoad:
    """The engine's lagging report of its load.

    Attributes:
        running: Requests in the batch.
        waiting: Requests in the engine's own queue.
        prefill_tokens: Prompt tokens not yet computed.
    """

    running: int
    waiting: int
    prefill_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class EngineHealth:
    """What the engine says of itself.

    Attributes:
        incarnation: Fresh at each start of the engine.
        model: Loaded model, empty for none.
        weights_version: Loaded version.
        adapters: Loaded adapters.
        role: The engine's role.
        fencing_number: Highest fencing number it has seen.
    """

    incarnation: str
    model: str
    weights_version: str
    adapters: tuple[str, ...]
    role: str
    fencing_number: int


@dataclasses.dataclass(frozen=True, slots=True)
class EngineOrder:
    """An order to an engine.

    Attributes:
        fencing_number: Offset of the lease's claim on the log.
        model: Model to load.
        weights_version: Version to load.
        adapters: Adapters to load.
        role: Role to take.
    """

    fencing_number: int
    model: str
    weights_version: str
    adapters: tuple[str, ...] = ()
    role: str = "mixed"


@dataclasses.dataclass(frozen=True, slots=True)
class OrderResult:
    """What came of an order.

    Attributes:
        applied: Whether the engine applied it.
        message: Why not, empty when applied.
        may_be_applied: Whether an order without a clear answer may still have
            taken effect.
    """

    applied: bool
    message: str = ""
    may_be_applied: bool = False


class ProbeFailure(enum.Enum):
    """Why an engine did not say how it is."""

    REFUSED = "refused"
    """It accepts no connection, or dropped the one it had accepted."""
    SILENT = "silent"
    """It did not answer in time."""
    MALFORMED = "malformed"
    """Its answer is not of the protocol."""


class Backend(abc.ABC):
    """A backend server beside a sidecar.

    Attributes:
        name: Name of the kind.
        aliases: Further names.
    """

    name: str = ""
    aliases: tuple[str, ...] = ()

    def __init__(self, url: str) -> None:
        """Takes the backend server's base URL, without a trailing slash."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Closes connections."""


class EngineBackend(Backend):
    """A model engine.

    Attributes:
        checks_fencing: Whether it refuses orders with an old number.
    """

    checks_fencing: bool = False

    @abc.abstractmethod
    def generate(
        self, generation: GenerationRequest
    ) -> AsyncIterator[EngineEvent]:
        """Yields one `EngineStarted`, texts, and one `EngineEnd`.

        Raises:
            Refused: With `not_run` when no byte reached the engine, with
                `may_have_run` when the stream broke before its end.
        """

    @abc.abstractmethod
    async def cancel(self, attempt_id: str) -> None:
        """Cancels work; unknown or ended work is ignored."""

    @abc.abstractmethod
    async def cache_events(self, after: int) -> CacheEvents | None:
        """Returns events numbered above `after`, None when unreachable."""

    @abc.abstractmethod
    async def cache_blocks(self) -> CacheEvents | None:
        """Returns all cached blocks as stored events, None if unreachable."""

    @abc.abstractmethod
    async def load(self) -> EngineLoad | None:
        """Returns the lagging load report, None when unreachable."""

    @abc.abstractmethod
    async def health(self) -> EngineHealth | None:
        """Returns the engine's state, None when unreachable."""

    @abc.abstractmethod
    async def probe(self, timeout_s: float) -> EngineHealth | ProbeFailure:
        """Returns the engine's state, or why there is none in time."""

    @abc.abstractmethod
    async def order(self, order: EngineOrder) -> OrderResult:
        """Sends an order and waits until it is done or refused."""

    @abc.abstractmethod
    async def export_kv(self, salt: str, digest: int) -> bytes | None:
        """Returns the KV cache of a prefix, None when it is not held."""

    @abc.abstractmethod
    async def import_kv(self, salt: str, digest: int, data: bytes) -> bool:
        """Imports the KV cache of a prefix; False when refused."""


class ServiceBackend(Backend):
    """A plain service."""

    @abc.abstractmethod
    async def call(
        self, call: request.ServiceCall, *, timeout_s: float
    ) -> request.ServiceReply:
        """Makes one call, once: the client below never repeats it.

        Raises:
            Refused: With `not_run` when no byte reached the service, with
                `may_have_run` when no whole answer came.
        """

    @abc.abstractmethod
    async def is_reachable(self) -> bool:
        """Returns whether the service accepts connections."""


class BackendNotFound(registry.NameNotFound):
    """No kind of backend server has the requested name."""


backend_kinds: registry.Registry[Backend] = registry.Registry(
    "backend kind",
    BackendNotFound,
    (f"{__name__}.engine_chat", f"{__name__}.plain_service"),
)


def get_backend_kind_by_name(name: str) -> type[Backend]:
    """Returns the class of a kind of backend server.

    Raises:
        BackendNotFound: No kind has the name.
    """
    return backend_kinds.get_by_name(name)
