"""JSON serialization of claims stream entries, one batch of records each."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Annotated, Literal

import pydantic

from hibiscusstile import outcome, request
from hibiscusstile.claims import entries

__all__ = ["MalformedBatchError", "decode", "encode"]

_Identifier = Annotated[str, pydantic.StringConstraints(max_length=512)]
_Digest = Annotated[str, pydantic.StringConstraints(pattern=r"^[0-9a-f]{32}$")]


class MalformedBatchError(ValueError):
    """A log entry is not a valid batch of claim records."""


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(
        ser_json_bytes="base64", val_json_bytes="base64"
    )


class _Claim(_Model):
    type: Literal["claim"] = "claim"
    claim_id: _Identifier
    key: _Digest
    content: _Digest
    peer_id: _Identifier
    incarnation: _Identifier


class _Release(_Model):
    type: Literal["release"] = "release"
    claim_id: _Identifier
    key: _Digest


class _Reply(_Model):
    status: int
    content_type: str
    body: bytes


class _Completed(_Model):
    type: Literal["completed"] = "completed"
    claim_id: _Identifier
    key: _Digest
    verdict: outcome.Verdict
    reply: _Reply | None = None


class _Batch(_Model):
    version: Literal[1] = 1
    records: list[
        Annotated[
            _Claim | _Release | _Completed, pydantic.Field(discriminator="type")
        ]
    ]


def encode(records: Sequence[entries.ClaimRecord]) -> bytes:
    """Encodes records as the payload of one log entry."""
    batch = _Batch(records=[_to_model(record) for record in records])
    return batch.model_dump_json(exclude_none=True).encode()


def decode(payload: bytes) -> list[entries.ClaimRecord]:
    """Decodes the records of one log entry.

    Raises:
        MalformedBatchError: The payload does not match the format.
    """
    try:
        batch = _Batch.model_validate_json(payload)
    except pydantic.ValidationError as error:
        raise MalformedBatchError(
            f"invalid batch of claim records, {error.error_count()} errors"
        ) from None
    return [_from_model(model) for model in batch.records]


def _to_model(
    record: entries.ClaimRecord,
) -> _Claim | _Release | _Completed:
    match record:
        case entries.Claim():
            return _Claim(
                claim_id=record.claim_id,
                key=record.digests.key.hex(),
                content=record.digests.content.hex(),
                peer_id=record.peer_id,
                incarnation=record.incarnation,
            )
        case entries.Release():
            return _Release(claim_id=record.claim_id, key=record.key.hex())
        case entries.Completed():
            reply = record.reply
            return _Completed(
                claim_id=record.claim_id,
                key=record.key.hex(),
                verdict=record.verdict,
                reply=None
                if reply is None
                else _Reply(
                    status=reply.status,
                    content_type=reply.content_type,
                    body=reply.body,
                ),
            )


def _from_model(
    model: _Claim | _Release | _Completed,
) -> entries.ClaimRecord:
    key = bytes.fromhex(model.key)
    match model:
        case _Claim():
            digests = entries.CallDigests(key, bytes.fromhex(model.content))
            return entries.Claim(
                model.claim_id, digests, model.peer_id, model.incarnation
            )
        case _Release():
            return entries.Release(model.claim_id, key)
        case _Completed():
            reply = model.reply
            return entries.Completed(
                model.claim_id,
                key,
                model.verdict,
                None
                if reply is None
                else request.ServiceReply(
                    reply.status, reply.content_type, reply.body
                ),
            )
