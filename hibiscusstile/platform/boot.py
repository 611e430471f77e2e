"""Settings file that the platform provides for each process (TOML)."""

from __future__ import annotations

import dataclasses
import os
import pathlib
import tomllib
from typing import Annotated

import pydantic

from hibiscusstile import memory, settingsfaults
from hibiscusstile.gateway import evenload

__all__ = ["BootSettings", "load_boot_settings", "settings_path"]

_PATH_ENVIRONMENT_VARIABLE = "HIBISCUSSTILE_NODE_FILE"

# The platform's name for servers that end if they hold too much.
_MEMORY_CONTRACT = "pressure"


class _FileModel(pydantic.BaseModel):
    # The platform may add fields at any time, so unknown ones are ignored.
    model_config = pydantic.ConfigDict(extra="ignore", frozen=True)


class _Listen(_FileModel):
    front: str = ""
    ready: str = ""


_Tolerated = Annotated[float, pydantic.Field(ge=0, allow_inf_nan=False)]


class _Bounds(_FileModel):
    drain_ms: Annotated[float, pydantic.Field(gt=0)] = 2000
    stable_window_ms: Annotated[float, pydantic.Field(gt=0)] = 3000
    grace_s: float = 8
    retry_budget_ratio: float = 0.2
    budget_slack: float = 50
    lease_ms: float = 3000
    version_ms: Annotated[float, pydantic.Field(gt=0)] = 8000
    quota_window_s: _Tolerated = 0
    quota_over: _Tolerated = 0
    quota_slack: _Tolerated = 0


class _Store(_FileModel):
    address: str


class _Gateway(_FileModel):
    held_body_kb: Annotated[int, pydantic.Field(ge=1)] = 1024
    held_bodies_kb: Annotated[int, pydantic.Field(ge=1)] = 8 * 1024
    server_bodies_kb: Annotated[int, pydantic.Field(ge=1)] = 64 * 1024
    share_room: pydantic.StrictBool | None = None
    engine_fill: Annotated[float, pydantic.Field(ge=0, le=1000)] = 0.0
    even_load: evenload.Mode = evenload.Mode.OFF


class _Limits(_FileModel):
    memory_mb: Annotated[float, pydantic.Field(ge=0, allow_inf_nan=False)] = 0
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
    contracts: tuple[str, ...] = ()
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
        allowance_window_s: Window in which the use of allowances is counted.
        allowance_excess_share: Share by which a window may exceed them.
        allowance_excess_tokens: Further tokens by which it may exceed them.
        max_held_body_bytes: Size up to which the body of a response is held
            until it is complete.
        max_held_total_bytes: Size of all bodies that are held at the same time.
        limits_server_memory: Whether servers end if the requests that they
            hold exceed their memory.
        max_server_body_bytes: Size of the request bodies that all gateways may
            have sent to one server; only with `limits_server_memory`.
        shares_room: Whether callers share the room of engines fairly; None
            leaves it to the configuration.
        engine_fill: What the requests at one engine may need, as a multiple of
            its KV cache; 0 for no bound; only with `limits_server_memory`.
        even_load: When load is spread by estimates of what is not known.
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
    allowance_window_s: float
    allowance_excess_share: float
    allowance_excess_tokens: float
    max_held_body_bytes: int
    max_held_total_bytes: int
    memory_mb: float
    max_descriptors: int
    limits_server_memory: bool = False
    max_server_body_bytes: int = 64 * 1024 * 1024
    shares_room: bool | None = None
    engine_fill: float = 0.0
    even_load: evenload.Mode = evenload.Mode.OFF
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
        allowance_window_s=parsed.bounds.quota_window_s,
        allowance_excess_share=parsed.bounds.quota_over,
        allowance_excess_tokens=parsed.bounds.quota_slack,
        max_held_body_bytes=parsed.gateway.held_body_kb * 1024,
        max_held_total_bytes=parsed.gateway.held_bodies_kb * 1024,
        limits_server_memory=_MEMORY_CONTRACT in parsed.contracts,
        max_server_body_bytes=parsed.gateway.server_bodies_kb * 1024,
        shares_room=parsed.gateway.share_room,
        engine_fill=parsed.gateway.engine_fill,
        even_load=parsed.gateway.even_load,
        memory_mb=parsed.limits.memory_mb or memory.DEFAULT_MEMORY_MB,
        max_descriptors=parsed.limits.max_fds or memory.DEFAULT_DESCRIPTORS,
    )
