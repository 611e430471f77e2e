"""Test oracle that recomputes the state from a plain list of records."""

from __future__ import annotations

from typing import Any

__all__ = ["ConfigurationOracle"]


class ConfigurationOracle:
    """Evaluates all records from the start on every call."""

    def __init__(self) -> None:
        self.entries: list[dict[str, Any] | None] = []

    def accepted(self, end: int) -> list[tuple[int, dict[str, Any]]]:
        """Returns the accepted records below an offset."""
        result: list[tuple[int, dict[str, Any]]] = []
        for offset, record in enumerate(self.entries[:end]):
            if record is None:
                continue
            expected = record.get("expect_revision")
            current = self._newest(result, record)
            if expected is None or expected == current:
                result.append((offset, record))
        return result

    def state(self, end: int) -> dict[tuple[Any, ...], tuple[int, Any]]:
        """Returns offset and body of the newest accepted record by key."""
        return {
            (r["kind"], r["name"], r["schema_version"]): (offset, r["body"])
            for offset, r in self.accepted(end)
        }

    def weights(self, end: int, versions: int) -> dict[str, float]:
        """Returns the weight in force by workspace.

        Args:
            end: Offset after the last record to evaluate.
            versions: Newest schema version known to the process.
        """
        result: dict[str, float] = {}
        for version in range(1, versions + 1):
            for _, record in self.accepted(end):
                weight = record["body"]["weight"]
                if record["schema_version"] == version and weight > 0:
                    result[record["name"]] = weight
        return result

    def trailing_invalid_bodies(self, name: str, version: int) -> int:
        """Returns how many of the last bodies of a key are invalid."""
        count = 0
        for record in self.entries:
            if record and (record["name"], record["schema_version"]) == (
                name,
                version,
            ):
                count = 0 if record["body"]["weight"] > 0 else count + 1
        return count

    @staticmethod
    def _newest(
        accepted: list[tuple[int, dict[str, Any]]], record: dict[str, Any]
    ) -> int:
        return max(
            (
                offset
                for offset, other in accepted
                if other["name"] == record["name"]
            ),
            default=-1,
        )
