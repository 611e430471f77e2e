"""Starts the daemon: `python -m hibiscusstile`.

A signal to read the settings again may come before the daemon's libraries are
loaded; without a handler it would end the process. It is ignored until then,
since the settings are read afterwards anyway.
"""

from __future__ import annotations

import signal
import sys


def main() -> None:
    """Entry point of the program."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Callers have no gateway until the libraries are loaded, which takes half
    # a second; those of the command line are loaded only for options.
    if len(sys.argv) == 1:
        from hibiscusstile import process  # noqa: PLC0415

        process.run_process(None)
        return
    from hibiscusstile import daemon  # noqa: PLC0415

    daemon.main()


if __name__ == "__main__":
    main()
