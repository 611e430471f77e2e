"""Runs `hibiscusctl` as `python -m hibiscusstile.ctl`."""

from __future__ import annotations

from hibiscusstile import ctl

if __name__ == "__main__":
    ctl.main()
