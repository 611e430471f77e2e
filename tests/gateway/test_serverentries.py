"""Fuzzing of the decoding of server entries."""

from __future__ import annotations

import json
from typing import Any

import hypothesis
import pytest
import yarl
from hypothesis import strategies as st

from hibiscusstile import clock as clock_lib
from hibiscusstile import logs
from hibiscusstile.platform import consumers, serverentries, topics
from tests.builders import gateway as builders

_INTEGERS = st.one_of(
    st.integers(-5, 70_000),
    st.sampled_from([10**15, 2**63, 10**30, 10**400]),
    st.integers(),
)
_TEXT = st.one_of(st.text(max_size=300), st.sampled_from(["m1", "z1", ""]))
_ADDRESSES = st.one_of(
    st.builds(
        "{}:{}".format,
        st.one_of(st.ip_addresses().map(str), _TEXT),
        st.one_of(_INTEGERS, _TEXT),
    ),
    _TEXT,
)
_JSON = st.recursive(
    st.one_of(st.none(), st.booleans(), _INTEGERS, st.floats(), _TEXT),
    lambda children: st.one_of(
        st.lists(children, max_size=3),
        st.dictionaries(_TEXT, children, max_size=3),
    ),
    max_leaves=10,
)
_MODELS = st.lists(
    st.fixed_dictionaries({"name": _TEXT, "version": _INTEGERS}), max_size=3
)
_ENTRIES = st.fixed_dictionaries(
    {
        "service": st.one_of(_TEXT, _JSON),
        "address": st.one_of(_ADDRESSES, _JSON),
        "zone": st.one_of(_TEXT, _JSON),
        "state": st.one_of(st.sampled_from(["ready", "draining"]), _JSON),
    },
    optional={
        "slots": st.one_of(_INTEGERS, _JSON),
        "born": st.one_of(_INTEGERS, _JSON),
        "sequence": st.one_of(_INTEGERS, _JSON),
        "models": st.one_of(_MODELS, _JSON),
    },
)
_VALUES = st.one_of(
    st.binary(), _ENTRIES.map(lambda entry: json.dumps(entry).encode())
)
_SOUND: dict[str, Any] = {
    "service": "engines",
    "address": "10.0.0.1:80",
    "zone": "z1",
    "state": "ready",
    "slots": 8,
    "born": 1,
    "sequence": 1,
}
_CHANGED_ENTRIES = st.fixed_dictionaries(
    {},
    optional={
        "address": _ADDRESSES,
        "zone": _TEXT,
        "slots": _INTEGERS,
        "born": _INTEGERS,
        "sequence": _INTEGERS,
        "models": _MODELS,
    },
).map(lambda fields: json.dumps({**_SOUND, **fields}).encode())


@pytest.mark.fuzz
@hypothesis.settings(max_examples=300)
@hypothesis.given(
    key=st.one_of(st.just("i-1"), _TEXT),
    value=st.one_of(_VALUES, _CHANGED_ENTRIES),
)
def test_an_accepted_entry_is_usable(key: str, value: bytes) -> None:
    """Guards against values that only fail where they are used."""
    try:
        server = serverentries.decode_entry(key, value)
    except serverentries.EntryError as error:
        line = logs.format_event(
            "entry_ignored", {"server": key, "error": error}
        )
        assert line.isprintable() and len(line) < 3000
        return
    url = yarl.URL(f"http://{server.address}/v1/report", encoded=True)
    assert url.port and url.host == server.address.partition(":")[0]
    assert key.isascii() and key.isprintable() and key.strip() == key != ""
    assert float(server.slots) >= 0 and float(server.started_ms) >= 0
    assert all(0 <= each < 2**63 for each in server.weights.values())
    fields = {"server": key, "service": server.service, "zone": server.zone}
    assert logs.format_event("server_listed", fields).isprintable()


@pytest.mark.fuzz
@hypothesis.settings(max_examples=300)
@hypothesis.given(key=_TEXT, value=_VALUES)
def test_no_entry_ends_the_reading_of_the_list(key: str, value: bytes) -> None:
    """Guards against a follower that ends at one record again and again."""
    state = builders.gateway_state(clock_lib.SystemClock())
    consumer = consumers.ServerEntryConsumer(state)
    record = topics.KeyedRecord(key, value, 0)
    consumer.apply(record)
    consumer.apply_all([record])
