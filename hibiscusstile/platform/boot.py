"""Settings file that the platform provides for each process (TOML)."""

from __future__ import annotations

import dataclasses
import os
import pathlib
import tomllib
from typing import Annotated

import pydantic

from hibiscusstile import memory, settingsfaults

__all__ = ["BootSettings", "load_boot_settings", "settings_path"]

_PATH_ENVIRONMENT_VARIABLE = "HIBISCUSSTILE_NODE_FILE"


class _FileModel(pydantic.BaseModel):
    # The platform may add fields at any time, so unknown ones are ignored.
    model_config = pydantic.ConfigDict(extra="ignore", frozen=True)


class _Listen(_FileModel):
    front: str = ""
    ready: str = ""


class _Bounds(_FileModel):
    drain_ms: Annotated[float, pydantic.Field(gt=0)] = 2000
    stable_window_ms: Annotated[float, pydantic.Field(gt=0)] = 3000
    grace_s: float = 8
    retry_budget_ratio: float = 0.2
    budget_slack: float = 50
    lease_ms: float = 3000
    version_ms: Annotated[float, pydantic.Field(gt=0)] = 8000


class _Store(_FileModel):
    address: str


class _Gateway(_FileModel):
    held_body_kb: Annotated[int, pydantic.Field(ge=1)] = 1024
    held_bodies_kb: Annotated[int, pydantic.Field(ge=1)] = 8 * 1024


class _Limits(_FileModel):
    memory_mb: Annotated[float, pydantic.Field(ge=0)] = 0
    max_fds: Annotated[int, pydantic.Field(ge=0)] = 0


class _File(_FileModel):
    node: str
    zone: str
    ip: str = ""
    internal_ports: tuple[int, int] = (0, 0)
    listen: _Listen = _Listen()
    bounds: _Bounds = _Bounds()
    limits: _Limits = _Limits()
    platform: _Store
    # The project's own settings.
    gateway: _Gateway = _Gateway()


@dataclasses.dataclass(frozen=True, slots=True)
class BootSettings:
    """Settings that a process reads from its settings file.

    Attributes:
        name: Name of the instance.
        zone: Its availability zone.
        address: Its IP address.
        internal_ports: First and last port for traffic between processes.
        caller_address: Address that callers connect to, as `ip:port`.
        ready_address: Address of the load balancer's readiness check.
        store_address: Address of the platform's store.
        drain_s: Time after its announcement at which a leaving server must
            get no new requests.
        stable_window_s: Time after the start of a process, or after a
            disturbance of the store, from which bounds on times hold.
        grace_s: Time between the stop signal and the kill signal.
        retry_share: Retries earned by each request, over all processes.
        retry_reserve: Further retries allowed, over all processes.
        lease_s: Minimum time between the orders of two holders of the
            rollout lease.
        version_s: Time after the publication of weights from which no request
            may start on older ones.
        max_held_body_bytes: Size up to which the body of a response is held
            until it is complete.
        max_held_total_bytes: Size of all bodies that are held at the same time.
        memory_mb: Memory at which the process is killed, in MB.
        max_descriptors: Descriptors that the process may have open.
        role: Name of the process's role.
    """

    name: str
    zone: str
    address: str
    internal_ports: tuple[int, int]
    caller_address: str
    ready_address: str
    store_address: str
    drain_s: float
    stable_window_s: float
    grace_s: float
    retry_share: float
    retry_reserve: float
    lease_s: float
    version_s: float
    max_held_body_bytes: int
    max_held_total_bytes: int
    memory_mb: float
    max_descriptors: int
    role: str = "gateway"


def settings_path() -> pathlib.Path:
    """Returns the path of the settings file.

    Raises:
        SettingsError: The environment variable with the path is not set.
    """
    path = os.environ.get(_PATH_ENVIRONMENT_VARIABLE, "")
    if not path:
        raise settingsfaults.SettingsError(
            [
                settingsfaults.SettingsFault(
                    _PATH_ENVIRONMENT_VARIABLE, "is not set"
                )
            ]
        )
    return pathlib.Path(path)


def load_boot_settings(path: pathlib.Path) -> BootSettings:
    """Reads the settings file.

    Raises:
        SettingsError: The file cannot be read, or a field is missing or
            invalid.
    """
    try:
        parsed = _File.model_validate(tomllib.loads(path.read_text()))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        fault = settingsfaults.SettingsFault(path.name, str(error))
        raise settingsfaults.SettingsError([fault]) from None
    except pydantic.ValidationError as error:
        raise settingsfaults.SettingsError(
            settingsfaults.list_faults(error)
        ) from None
    return BootSettings(
        name=parsed.node,
        zone=parsed.zone,
        address=parsed.ip,
        internal_ports=parsed.internal_ports,
        caller_address=parsed.listen.front,
        ready_address=parsed.listen.ready,
        store_address=parsed.platform.address,
        drain_s=parsed.bounds.drain_ms / 1000,
        stable_window_s=parsed.bounds.stable_window_ms / 1000,
        grace_s=parsed.bounds.grace_s,
        retry_share=parsed.bounds.retry_budget_ratio,
        retry_reserve=parsed.bounds.budget_slack,
        lease_s=parsed.bounds.lease_ms / 1000,
        version_s=parsed.bounds.version_ms / 1000,
        max_held_body_bytes=parsed.gateway.held_body_kb * 1024,
        max_held_total_bytes=parsed.gateway.held_bodies_kb * 1024,
        memory_mb=parsed.limits.memory_mb or memory.DEFAULT_MEMORY_MB,
        max_descriptors=parsed.limits.max_fds or memory.DEFAULT_DESCRIPTORS,
    )
