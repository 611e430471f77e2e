"""Tests of a gateway process that starts under adverse conditions."""

from __future__ import annotations

import contextlib
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time

_STARTUP_LIMIT_S = 20.0
_POLL_S = 0.005
_OBSERVATION_S = 1.5


def _start(tmp_path: pathlib.Path) -> subprocess.Popen[bytes]:
    settings = tmp_path / "node.toml"
    settings.write_text(
        'node = "n"\nzone = "z"\nip = "127.77.0.1"\n'
        "internal_ports = [0, 0]\n"
        '[listen]\nfront = "127.77.0.1:0"\nready = "127.77.0.1:0"\n'
        '[platform]\naddress = "127.77.0.1:1"\n'
    )
    return subprocess.Popen(
        [sys.executable, "-m", "hibiscusstile"],
        env={**os.environ, "HIBISCUSSTILE_NODE_FILE": str(settings)},
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )


def _wait_until_ignored(process: subprocess.Popen[bytes], number: int) -> None:
    """Waits until a process ignores a signal, or has a handler for it."""
    status = pathlib.Path(f"/proc/{process.pid}/status")
    limit_s = time.monotonic() + _STARTUP_LIMIT_S
    while time.monotonic() < limit_s:
        for line in status.read_text().splitlines():
            name, _, mask = line.partition(":")
            if name in ("SigIgn", "SigCgt") and (
                int(mask, 16) & 1 << (number - 1)
            ):
                return
        time.sleep(_POLL_S)
    raise TimeoutError(f"the process does not ignore signal {number}")


def test_a_reload_signal_while_starting_does_not_end_the_process(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against SIGHUP ending a process that has no handler yet.

    The signal came during imports (soak seed 225).
    """
    process = _start(tmp_path)
    try:
        _wait_until_ignored(process, signal.SIGHUP)
        process.send_signal(signal.SIGHUP)
        time.sleep(_OBSERVATION_S)
        assert process.poll() is None
    finally:
        process.kill()
        process.wait()


def test_a_taken_metrics_port_does_not_end_the_process(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a process that ends if its metrics port is in use.

    Another soak used the same address at the time (soak seed 316).
    """
    with socket.socket() as taken:
        taken.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        with contextlib.suppress(OSError):
            taken.bind(("127.77.0.1", 9464))
            taken.listen()
        process = _start(tmp_path)
        try:
            time.sleep(_OBSERVATION_S)
            assert process.poll() is None
        finally:
            process.kill()
            process.wait()
