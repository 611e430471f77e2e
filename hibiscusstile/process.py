"""Runs a role under a root supervisor, as one process."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import signal
import sys

import aiomisc
import logbook

from hibiscusstile import clock as clock_lib
from hibiscusstile import eventlog, logs, roles, settingsfaults, supervisor
from hibiscusstile.platform import boot

__all__ = ["Process", "run_process"]

_log = logbook.Logger("process")

_EXIT_FAILED = 1
_EXIT_BAD_SETTINGS = 2


class Process:
    """A role under its root supervisor.

    Args:
        role_settings: Validated settings of the role.
        clock: Clock for the role and the supervisor.
    """

    def __init__(
        self,
        role_settings: roles.RoleSettings,
        clock: clock_lib.Clock,
    ) -> None:
        self._role = roles.get_role_by_name(role_settings.role)(
            role_settings, clock
        )
        self._root = supervisor.Supervisor(role_settings.role, clock)
        self._role.build(self._root)

    @property
    def role(self) -> roles.Role:
        """The role that the process runs."""
        return self._role

    async def run(self, stop: asyncio.Event) -> None:
        """Serves until `stop` is set, then drains and stops the role.

        Raises:
            IntensityExceeded: Children of the root failed too often.
        """
        root_task = asyncio.ensure_future(self._root.run())
        stop_waiter = asyncio.ensure_future(stop.wait())
        try:
            await asyncio.wait(
                {root_task, stop_waiter}, return_when=asyncio.FIRST_COMPLETED
            )
            if not root_task.done():
                await self._role.drain()
        finally:
            stop_waiter.cancel()
            root_task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await root_task
            await self._role.close()


def run_process(settings_file: pathlib.Path | None) -> None:
    """Runs the role named in the settings until SIGTERM or SIGINT.

    Args:
        settings_file: YAML file with the settings; None to use the
            platform's settings file.
    """
    try:
        process = _create_process(settings_file)
    except settingsfaults.SettingsError as error:
        for fault in error.faults:
            print(f"{fault.path}: {fault.message}", file=sys.stderr)
        sys.exit(_EXIT_BAD_SETTINGS)
    try:
        with aiomisc.entrypoint(log_config=False) as loop:
            loop.run_until_complete(_run(process))
    except supervisor.IntensityExceeded as error:
        _log.error("process_failed error={}", error)
        sys.exit(_EXIT_FAILED)


def _create_process(settings_file: pathlib.Path | None) -> Process:
    clock = clock_lib.SystemClock()
    if settings_file is None:
        boot_settings = boot.load_boot_settings(boot.settings_path())
        eventlog.start_logging(clock, boot_settings.name)
        return Process(boot_settings, clock)
    # Not imported above: a process with the platform's settings starts sooner
    # without these pydantic models.
    from hibiscusstile import settings  # noqa: PLC0415

    role_settings = settings.load_settings(settings_file)
    logs.start_logging(
        role_settings.logging.format, role_settings.logging.level
    )
    return Process(role_settings, clock)


async def _run(process: Process) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, process.role.reload)
    await process.run(stop)
