"""The platform's services behind small interfaces."""

from __future__ import annotations

import abc
import dataclasses
import datetime

from hibiscusstile import registry

__all__ = [
    "AppendRefused",
    "AppendUnknown",
    "Appended",
    "InstanceList",
    "ListUnavailable",
    "ListedInstance",
    "Listing",
    "LogClient",
    "LogEntries",
    "LogEntry",
    "LogUnavailable",
    "PlatformClientNotFound",
    "get_instance_list_by_name",
    "get_log_client_by_name",
    "instance_lists",
    "log_clients",
]


@dataclasses.dataclass(frozen=True, slots=True)
class Appended:
    """The append took effect at `offset`."""

    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class AppendRefused:
    """The append took no effect and never will (rate limit, wrong shape)."""

    message: str


@dataclasses.dataclass(frozen=True, slots=True)
class AppendUnknown:
    """No answer came; the append may have taken effect or may still do so."""

    message: str


@dataclasses.dataclass(frozen=True, slots=True)
class LogEntry:
    """One entry of a stream.

    Attributes:
        offset: Position in the stream, counted from 0 without gaps.
        time: When the log service took it.
        payload: The bytes appended.
    """

    offset: int
    time: datetime.datetime
    payload: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class LogEntries:
    """Answer to a read.

    Attributes:
        entries: In order of offset, possibly none.
        earliest: First offset still kept.
        end: Offset that the next append will get.
    """

    entries: tuple[LogEntry, ...]
    earliest: int
    end: int


@dataclasses.dataclass(frozen=True, slots=True)
class LogUnavailable:
    """The log service did not answer a read."""

    message: str


class LogClient(abc.ABC):
    """Client of the append-only log service."""

    name: str = ""
    aliases: tuple[str, ...] = ()

    def __init__(self, url: str) -> None:
        """Takes the service's base URL, without a trailing slash."""

    @abc.abstractmethod
    async def append(
        self, stream: str, payload: bytes
    ) -> Appended | AppendRefused | AppendUnknown:
        """Appends one entry, once: it never retries by itself."""

    @abc.abstractmethod
    async def read(
        self,
        stream: str,
        offset: int,
        *,
        limit: int = 500,
        wait: datetime.timedelta = datetime.timedelta(0),
    ) -> LogEntries | LogUnavailable:
        """Reads entries from `offset` on, waiting up to `wait` for one."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Closes connections."""


@dataclasses.dataclass(frozen=True, slots=True)
class ListedInstance:
    """An instance as the platform lists it.

    Attributes:
        peer_id: Name of the process on it.
        role: `entry` or `sidecar`.
        host: IP address for peers.
        port: TCP port for peers.
        zone: Availability zone.
        region: Region.
        leaving: Whether the platform is about to take it away.
    """

    peer_id: str
    role: str
    host: str
    port: int
    zone: str
    region: str
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """The instance list's answer, which lags behind the truth."""

    instances: tuple[ListedInstance, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ListUnavailable:
    """The instance list did not answer."""

    message: str


class InstanceList(abc.ABC):
    """Client of the platform's list of instances."""

    name: str = ""
    aliases: tuple[str, ...] = ()

    def __init__(self, url: str) -> None:
        """Takes the service's base URL, without a trailing slash."""

    @abc.abstractmethod
    async def list_instances(self, region: str) -> Listing | ListUnavailable:
        """Returns the instances of a region that are listed now."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Closes connections."""


class PlatformClientNotFound(registry.NameNotFound):
    """No platform client has the requested name."""


log_clients: registry.Registry[LogClient] = registry.Registry(
    "log client", PlatformClientNotFound, (f"{__name__}.http_log",)
)
instance_lists: registry.Registry[InstanceList] = registry.Registry(
    "instance list", PlatformClientNotFound, (f"{__name__}.http_instance_list",)
)


def get_log_client_by_name(name: str) -> type[LogClient]:
    """Returns the log client class with this name.

    Raises:
        PlatformClientNotFound: No log client has it.
    """
    return log_clients.get_by_name(name)


def get_instance_list_by_name(name: str) -> type[InstanceList]:
    """Returns the instance-list client class with this name.

    Raises:
        PlatformClientNotFound: No instance-list client has it.
    """
    return instance_lists.get_by_name(name)
