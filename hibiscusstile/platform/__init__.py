"""Interfaces to the platform's log service and instance list."""

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
    """The append took effect at `offset` of a log in this era, if known."""

    offset: int
    era: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class AppendRefused:
    """The append had no effect and will have none.

    For example, a rate limit was exceeded or the entry is invalid.
    """

    message: str


@dataclasses.dataclass(frozen=True, slots=True)
class AppendUnknown:
    """The append may have taken effect, or may still do so.

    No response arrived, or it does not tell whether the entry was stored.
    """

    message: str


@dataclasses.dataclass(frozen=True, slots=True)
class LogEntry:
    """One entry of a stream.

    Attributes:
        offset: Position in the stream, counted from 0 without gaps.
        time: When the log service accepted the entry.
        payload: The appended bytes.
    """

    offset: int
    time: datetime.datetime
    payload: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class LogEntries:
    """Result of a read.

    Attributes:
        entries: Entries in order of offset, possibly none.
        earliest: First offset that the log still retains.
        end: Offset of the next append.
    """

    entries: tuple[LogEntry, ...]
    earliest: int
    end: int


@dataclasses.dataclass(frozen=True, slots=True)
class LogUnavailable:
    """A read failed: no response, an error or a malformed response."""

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
        """Appends one entry without retrying."""

    @abc.abstractmethod
    async def read(
        self,
        stream: str,
        offset: int,
        *,
        limit: int = 500,
        wait: datetime.timedelta = datetime.timedelta(0),
    ) -> LogEntries | LogUnavailable:
        """Reads entries from `offset` on, waiting up to `wait` for new ones."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Closes the client's connections."""


@dataclasses.dataclass(frozen=True, slots=True)
class ListedInstance:
    """One entry of the platform's instance list.

    Attributes:
        peer_id: Name of the process on the instance.
        role: `entry` or `sidecar`.
        host: IP address that peers connect to.
        port: TCP port that peers connect to.
        zone: Availability zone.
        region: Region.
        leaving: Whether the platform is about to remove the instance.
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
    """The instances listed by the platform; the list may be outdated."""

    instances: tuple[ListedInstance, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ListUnavailable:
    """A read failed: no response, an error or a malformed response."""

    message: str


class InstanceList(abc.ABC):
    """Client of the platform's instance list."""

    name: str = ""
    aliases: tuple[str, ...] = ()

    def __init__(self, url: str) -> None:
        """Takes the service's base URL, without a trailing slash."""

    @abc.abstractmethod
    async def list_instances(self, region: str) -> Listing | ListUnavailable:
        """Returns the instances currently listed for a region."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Closes the client's connections."""


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
