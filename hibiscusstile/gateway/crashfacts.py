"""Facts about crashes of backend servers, and keys that they concern."""

from __future__ import annotations

import dataclasses

__all__ = [
    "ChargedCrash",
    "Clearance",
    "Crash",
    "describe",
    "is_request_key",
    "model_of",
    "request_key",
]

_REQUEST_KEY_PREFIX = "request:"


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """A crash of a server and a request that the server was running.

    Attributes:
        crash_id: The server and its start time.
        keys: Keys of the request.
        age_s: Seconds since the crash.
        survived: Whether the server had run the request for a while, which
            makes it unlikely that the request crashed the server.
    """

    crash_id: str
    keys: tuple[str, ...]
    age_s: float = 0.0
    survived: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Clearance:
    """Withdraws the charges against a key up to its last completion.

    Attributes:
        key: Key of the completed request.
        age_s: Seconds since the completion.
    """

    key: str
    age_s: float = 0.0


@dataclasses.dataclass(eq=False, slots=True)
class ChargedCrash:
    """A crash that is stored.

    Attributes:
        crash_id: The server and its start time.
        at_s: Time of the crash on the monotonic clock.
        slot: Its bit in masks of crashes.
        keys: All keys that were charged with it, also those cleared since.
        requests: Keys of each request that the server was about to begin or
            had just begun, with the request's bit in masks of requests.
        request_mask: These bits.
        models: Models of the parts charged.
        outlived: Key and time of a completion on a server that ran on, if any.
    """

    crash_id: str
    at_s: float
    slot: int
    keys: set[str] = dataclasses.field(default_factory=set)
    requests: dict[frozenset[str], int] = dataclasses.field(
        default_factory=dict
    )
    request_mask: int = 0
    models: set[str] = dataclasses.field(default_factory=set)
    outlived: tuple[str, float] | None = None

    @property
    def mask(self) -> int:
        """The crash in masks of crashes."""
        return 1 << self.slot


def describe(
    crash: ChargedCrash,
    request: frozenset[str],
    survived: bool,
    now_s: float,
) -> Crash:
    """Returns a stored crash and one of its requests as a fact.

    Args:
        crash: The crash.
        request: Keys of the request.
        survived: Whether the server had run the request for a while.
        now_s: Time on the monotonic clock.
    """
    return Crash(crash.crash_id, tuple(request), now_s - crash.at_s, survived)


def request_key(fingerprint: str) -> str:
    """Returns the key of a whole request; other keys are prompt parts."""
    return _REQUEST_KEY_PREFIX + fingerprint


def is_request_key(key: str) -> bool:
    """Returns whether a key stands for a whole request."""
    return key.startswith(_REQUEST_KEY_PREFIX)


def model_of(key: str) -> str:
    """Returns the model of a prompt part's key."""
    return key.partition("/")[0]
