"""Interfaces of backend servers: model engines and plain services."""

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
    """A request to an engine to generate text.

    Attributes:
        attempt_id: Id under which the request can be cancelled.
        chat: The request.
        weights_version: Weights version that the engine must have loaded.
        priority: Lower values run first.
        cache_salt: Isolates cached blocks of different scopes.
        resume_text: Text generated before, to be continued.
        prefix_levels: Prefix levels of the prompt; the engine's cache events
            identify prefixes by their digests.
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
    """The engine has started the request.

    Attributes:
        cached_tokens: Prompt tokens reused from the cache.
        incarnation: Incarnation of the engine that has cached the prompt;
            empty if the engine does not report it.
    """

    cached_tokens: int
    incarnation: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class EngineText:
    """A piece of generated text."""

    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class EngineEnd:
    """The response is complete."""

    finish_reason: str
    prompt_tokens: int
    cached_tokens: int
    completion_tokens: int


EngineEvent = EngineStarted | EngineText | EngineEnd


class BlockEventKind(enum.Enum):
    """Type of a cache event."""

    STORED = "stored"
    REMOVED = "removed"


@dataclasses.dataclass(frozen=True, slots=True)
class BlockEvent:
    """An event about one block of the engine's prefix cache.

    Attributes:
        number: Sequence number; a gap shows that events were lost.
        kind: Type of the event.
        salt: The `cache_salt` that the block belongs to.
        digest: Digest of the prefix level that ends in the block.
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
        incarnation: Incarnation of the engine.
        events: Events, sorted by their numbers.
        last_number: For a listing of all blocks, the number of the last
            event that it includes; -1 otherwise.
    """

    incarnation: str
    events: tuple[BlockEvent, ...]
    last_number: int = -1


@dataclasses.dataclass(frozen=True, slots=True)
class EngineLoad:
    """The engine's load report, which lags behind its actual load.

    Attributes:
        running: Requests in the batch.
        waiting: Requests in the engine's own queue.
        prefill_tokens: Prompt tokens that are not yet prefilled.
    """

    running: int
    waiting: int
    prefill_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class EngineHealth:
    """The engine's health report.

    Attributes:
        incarnation: Unique for each start of the engine.
        model: Loaded model; empty for none.
        weights_version: Version of the loaded weights.
        adapters: Loaded adapters.
        role: Role of the engine.
        fencing_number: Highest fencing number that the engine has received.
    """

    incarnation: str
    model: str
    weights_version: str
    adapters: tuple[str, ...]
    role: str
    fencing_number: int


@dataclasses.dataclass(frozen=True, slots=True)
class EngineOrder:
    """An order to an engine to load a model.

    Attributes:
        fencing_number: Log offset of the claim of the lease under which the
            order is sent.
        model: Model to load.
        weights_version: Version of the weights to load.
        adapters: Adapters to load.
        role: Role to assume.
    """

    fencing_number: int
    model: str
    weights_version: str
    adapters: tuple[str, ...] = ()
    role: str = "mixed"


@dataclasses.dataclass(frozen=True, slots=True)
class OrderResult:
    """Result of an order.

    Attributes:
        applied: Whether the engine applied it.
        message: Reason why the order was not applied; empty if it was.
        may_be_applied: Whether an order without a definite response may have
            been applied.
    """

    applied: bool
    message: str = ""
    may_be_applied: bool = False


class ProbeFailure(enum.Enum):
    """Why a health probe of an engine failed."""

    REFUSED = "refused"
    """The engine refused or dropped the connection."""
    SILENT = "silent"
    """The engine did not respond in time."""
    MALFORMED = "malformed"
    """The response violates the protocol."""


class Backend(abc.ABC):
    """Client of the backend server that a sidecar serves.

    Attributes:
        name: Name of the kind of backend server.
        aliases: Further names of the kind.
    """

    name: str = ""
    aliases: tuple[str, ...] = ()

    def __init__(self, url: str) -> None:
        """Initializes the client with a base URL without a trailing slash."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Closes connections."""


class EngineBackend(Backend):
    """Client of a model engine.

    Attributes:
        checks_fencing: Whether the engine refuses orders with an outdated
            fencing number.
    """

    checks_fencing: bool = False

    @abc.abstractmethod
    def generate(
        self, generation: GenerationRequest
    ) -> AsyncIterator[EngineEvent]:
        """Yields one `EngineStarted`, `EngineText`s and one `EngineEnd`.

        Raises:
            Refused: With the verdict `not_run` if no byte reached the engine
                or it refused the request, with `may_have_run` if the stream
                broke before its end.
        """

    @abc.abstractmethod
    async def cancel(self, attempt_id: str) -> None:
        """Cancels an attempt; an unknown or ended one is ignored."""

    @abc.abstractmethod
    async def cache_events(self, after: int) -> CacheEvents | None:
        """Returns events after number `after`, None if unreachable."""

    @abc.abstractmethod
    async def cache_blocks(self) -> CacheEvents | None:
        """Returns all cached blocks as stored events, None if unreachable."""

    @abc.abstractmethod
    async def load(self) -> EngineLoad | None:
        """Returns the delayed load report, None if unreachable."""

    @abc.abstractmethod
    async def health(self) -> EngineHealth | None:
        """Returns the engine's health, None if unreachable."""

    @abc.abstractmethod
    async def probe(self, timeout_s: float) -> EngineHealth | ProbeFailure:
        """Returns the engine's health, or the failure of the probe."""

    @abc.abstractmethod
    async def order(self, order: EngineOrder) -> OrderResult:
        """Sends an order and waits until it is applied or refused."""

    @abc.abstractmethod
    async def export_kv(self, salt: str, digest: int) -> bytes | None:
        """Returns the KV cache of a prefix, None if it is not cached."""

    @abc.abstractmethod
    async def import_kv(self, salt: str, digest: int, data: bytes) -> bool:
        """Imports the KV cache of a prefix; returns False if refused."""


class ServiceBackend(Backend):
    """Client of a plain service."""

    @abc.abstractmethod
    async def call(
        self, call: request.ServiceCall, *, timeout_s: float
    ) -> request.ServiceReply:
        """Makes one call, without retries by the HTTP client.

        Raises:
            Refused: With the verdict `not_run` if no byte reached the service,
                with `may_have_run` if no complete response arrived, with
                `ran` if the response is too large.
        """

    @abc.abstractmethod
    async def is_reachable(self) -> bool:
        """Returns whether the service accepts connections."""


class BackendNotFound(registry.NameNotFound):
    """There is no kind of backend server with the given name."""


backend_kinds: registry.Registry[Backend] = registry.Registry(
    "backend kind",
    BackendNotFound,
    (f"{__name__}.engine_chat", f"{__name__}.plain_service"),
)


def get_backend_kind_by_name(name: str) -> type[Backend]:
    """Returns the client class of a kind of backend server.

    Raises:
        BackendNotFound: There is no such kind.
    """
    return backend_kinds.get_by_name(name)
