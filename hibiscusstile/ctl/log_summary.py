"""The command `hibiscusctl log summary`, which counts events by second."""

from __future__ import annotations

import collections
import pathlib
from collections.abc import Callable, Sequence

from hibiscusstile import ctl, logreader
from hibiscusstile.ctl import logfiles

__all__ = ["LogSummaryCommand", "log_summary"]

_COUNTED_EVENTS = frozenset(
    {
        "store_lost",
        "store_back",
        "store_restored",
        "server_suspected",
        "server_kept",
        "server_gone",
        "prefix_store_lost",
        "prefix_store_back",
        "peer_lost",
        "started",
        "leaving",
        "record_unreadable",
        "settings_rejected",
        "lease_won",
        "weights_named",
        "configuration_applied",
    }
)


@ctl.commands.register()
class LogSummaryCommand(ctl.Command):
    """Counts failed requests and events of the fleet in logs."""

    name = "log summary"

    @property
    def handler(self) -> Callable[..., int]:
        """The function that runs the command."""
        return log_summary


def log_summary(*files: pathlib.Path) -> int:
    """Prints counts of failures and fleet events, by second and instance.

    Args:
        files: Log files of the gateways, in any order.
    """
    events = logfiles.read_logs(files)
    if events is None:
        return ctl.EXIT_BAD_USAGE
    for line in _count_by_second(events):
        print(line)
    return ctl.EXIT_DONE


def _count_by_second(events: Sequence[logreader.LogEvent]) -> list[str]:
    counts: collections.Counter[tuple[str, str, str]] = collections.Counter()
    dropped = 0
    for event in events:
        dropped += int(event.fields.get("lines_dropped", 0))
        category = _category(event)
        if category:
            second = event.time.strftime("%H:%M:%S")
            counts[second, event.instance, category] += 1
    lines = [
        f"{second} {instance} {category} {count}"
        for (second, instance, category), count in sorted(counts.items())
    ]
    return [*lines, f"{len(events)} lines, {dropped} dropped"]


def _category(event: logreader.LogEvent) -> str:
    """Returns the category that an event is counted in, empty for none."""
    if event.name == "request_ended":
        result = str(event.fields.get("result"))
        return "" if result == "served" else f"request {result}"
    if event.name == "request_refused":
        return f"request {event.fields.get('reason')}"
    return event.name if event.name in _COUNTED_EVENTS else ""
