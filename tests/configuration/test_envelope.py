"""Tests of the envelope rules, which every version must share."""

from __future__ import annotations

import json

import pytest

from hibiscusstile.configuration import envelope
from tests import builders

_VALID_RECORD = builders.record("rank", "urgent", level=0)


def _payload(**changes: object) -> bytes:
    return json.dumps({**_VALID_RECORD, **changes}).encode()


def _nested(levels: int) -> bytes:
    body = '{"a":' * levels + "0" + "}" * levels
    return _payload(body=0).replace(b'"body": 0', b'"body": ' + body.encode())


@pytest.mark.parametrize(
    "payload",
    [
        _payload(),
        _payload(kind="kind-of-2031"),
        _payload(schema_version=2**53 - 1),
        _payload(expect_revision=-1, author="x" * 200),
        _payload(expect_revision=None),
        _payload(body={"unknown": [1.5, None, True, "é"]}),
        _nested(envelope.MAX_DEPTH - 1),
    ],
)
def test_well_formed_records_are_accepted(payload: bytes) -> None:
    """Guards against rejecting records that other versions accept."""
    envelope.parse_envelope(payload)


@pytest.mark.parametrize(
    "payload",
    [
        b"",
        b"\xff\xfe",
        b"[]",
        b"\xef\xbb\xbf" + _payload(),
        _payload(schema_version="1"),
        _payload(schema_version=1.0),
        _payload(schema_version=True),
        _payload(schema_version=0),
        _payload(schema_version=2**53),
        _payload(kind=""),
        _payload(name="a\n"),
        _payload(name="a b"),
        _payload(body=[]),
        _payload(added="field"),
        _payload(author="x" * 201),
        _payload(expect_revision="3"),
        _payload(body={"a": float("nan")}),
        _payload(body={"a": 0}).replace(b"0", b"1e999"),
        _payload(body={"a": 0}).replace(b": 0", b": " + b"9" * 5000),
        _payload(body={"a": "\ud800"}),
        _payload(body={"a": 1}).replace(b'{"a": 1}', b'{"a":1,"a":2}'),
        _payload(body={"a": "x" * envelope.MAX_RECORD_BYTES}),
        _nested(envelope.MAX_DEPTH),
        _nested(20_000),
    ],
)
def test_malformed_records_are_refused(payload: bytes) -> None:
    """Guards against accepting records that other versions reject."""
    with pytest.raises(envelope.EnvelopeError):
        envelope.parse_envelope(payload)
