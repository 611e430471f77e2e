"""Schema of rank records."""

from __future__ import annotations

import datetime
from typing import Annotated, ClassVar

import pydantic

from hibiscusstile import records
from hibiscusstile.configuration import view

__all__ = ["RankV1"]


@records.record_schemas.register()
class RankV1(records.RecordBody):
    """A priority class of requests: its order, share and targets."""

    name: ClassVar[str] = "rank/1"
    kind: ClassVar[str] = "rank"
    schema_version: ClassVar[int] = 1

    level: Annotated[int, pydantic.Field(ge=0, le=9)]
    share: Annotated[float, pydantic.Field(ge=0, le=0.9)] = 0.0
    queue_time_s: Annotated[float, pydantic.Field(gt=0, le=3600)] = 30.0
    first_token_target_s: Annotated[float, pydantic.Field(gt=0, le=3600)] = 0.61

    def build(self, record_name: str) -> view.Rank:
        """Converts the body into a data class of `configuration.view`."""
        return view.Rank(
            name=record_name,
            level=self.level,
            share=self.share,
            queue_time=datetime.timedelta(seconds=self.queue_time_s),
            first_token_target=datetime.timedelta(
                seconds=self.first_token_target_s
            ),
        )
