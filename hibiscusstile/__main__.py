"""Starts the daemon: `python -m hibiscusstile`.

SIGHUP asks the daemon to reload its settings, but ends a process that has no
handler for it. It is ignored until the handler is installed: the settings are
read after the imports anyway.
"""

from __future__ import annotations

import signal
import sys


def main() -> None:
    """Runs the daemon with the options of the command line."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Imports take half a second, during which callers have no gateway. The
    # command-line library is therefore imported only to parse options.
    if len(sys.argv) == 1:
        from hibiscusstile import process  # noqa: PLC0415

        process.run_process(None)
        return
    from hibiscusstile import daemon  # noqa: PLC0415

    daemon.main()


if __name__ == "__main__":
    main()
