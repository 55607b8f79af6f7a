# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Texts of other programs at each decoder.

A text costs at most the object, message or field in which it stands. Decoders
raise only errors that their callers handle, and what they return can be
written and logged again.
"""

import re

import anyio
import hypothesis
from hypothesis import strategies
import orjson
import pytest

from crowdeck.entry import openai
from crowdeck import errors
from crowdeck.membership import load_messages
from crowdeck.membership import peer_http
from crowdeck.membership import roster as rosters
from crowdeck.membership import upstreams as registries
from crowdeck.observe import logs
from crowdeck.platform import callers
from crowdeck.platform import config
from crowdeck.platform import engines
from crowdeck.platform import names
from crowdeck.platform import upstreams
from crowdeck.relay import relay as relays
from crowdeck.settings import holder as settings_holder
from crowdeck.standin import store as standin_store
from crowdeck.state import mirror as mirrors
from crowdeck.state import objects as stores
from tests import fleet_system
from tests import foreign_texts
from tests import test_malformed_objects
from tests import test_platform_formats
from tests import virtual

SETTINGS = hypothesis.settings(
    derandomize=True, database=None, deadline=None, max_examples=200
)
LOAD = {
    "entries": 1,
    "engines": {"e": [1, 2.0, 1, 0.5, 1.0]},
    "waiting": [["s", 0, 1]],
    "zone_link_tokens": [["a", "b", 1.0]],
    "lost_engines": {"e": 1},
}
LOAD_REPORT = {
    "sender": "a",
    "zone": "z",
    "run": "r",
    "number": 1,
    "is_zone_sum": False,
    "load": LOAD,
}
ENTRY_RECORD = {
    "availability_zone": "a",
    "address": "10.0.0.1:1",
    "capacity": 1.0,
    "evidence": {
        "ends": [
            {"instance": "e", "at": 1.0, "unbegun": ["f g"], "begun": ["h"]}
        ],
        "served": [["f", 1.0]],
    },
}
STORED_SETTINGS = {"generation": 2, "change": "c", "text": ""}
COMPLETION = {
    "model": "m",
    "stream": True,
    "max_tokens": 5,
    "messages": [
        {"role": "user", "content": [{"type": "text", "text": "hello"}]}
    ],
}
HEADER_VALUES = strategies.binary(max_size=40) | strategies.sampled_from(
    [
        *foreign_texts.LONG_NUMBERS,
        b"nan",
        b"inf",
        b"-inf",
        b"1_0",
        "\u0663".encode(),
        b"," * 5_000,
        b"9" * 5_000 + b",1,1",
        b"\xff" * 5_000,
    ]
)


def check_can_be_logged(value: object) -> None:
    logs.BoundedWriter(lambda line: len(line))({"value": value})


class TestStoredObjects:
    """Objects in the lists of an entry."""

    @SETTINGS
    @hypothesis.given(
        foreign_texts.texts(test_malformed_objects.UPSTREAM_RECORD)
    )
    def test_one_affects_no_other(self, text: bytes) -> None:
        async def body() -> None:
            sound = orjson.dumps(test_malformed_objects.UPSTREAM_RECORD)
            content = test_malformed_objects.listing(
                test_malformed_objects.item("a", sound),
                test_malformed_objects.item("bad", text),
                test_malformed_objects.item("z", sound),
            )
            store = test_malformed_objects.store_with(content)
            changes = await store.list("servers")
            copied = peer_http._decode(
                "servers",
                peer_http._encode(stores.PeerChanges(changes, 0.0)),
            ).changes
            registry = registries.UpstreamRegistry(upstreams.decode)
            registry.on_listed(copied.objects)
            found = {stored.name for stored in copied.objects}
            assert {"a", "z"} <= found <= {"a", "bad", "z"}
            usable = registry.usable(fleet_system.MODEL)
            assert "z" in {listed.incarnation.id for listed in usable}
            for listed in usable:
                check_can_be_logged(str(listed))

        virtual.run(body)

    @SETTINGS
    @hypothesis.given(
        foreign_texts.texts(
            {
                "items": [{"metadata": {"name": "e", "revision": 4}}],
                "events": [
                    {"object": {"metadata": {"name": "e", "revision": 4}}}
                ],
                "has_more": False,
                "timestamp": 5,
                "metadata": {"name": "e", "revision": 4},
                "specification": {},
            }
        )
    )
    def test_answers_of_the_store(self, text: bytes) -> None:
        async def body() -> None:
            store = test_malformed_objects.store_with(text)
            for call in (
                lambda: store.list("servers"),
                lambda: store.get("servers", "e"),
                lambda: store.watch("servers", stores.Position(1), 0.1),
            ):
                try:
                    await call()
                except errors.CrowdeckError as error:
                    assert error.code is errors.Code.STORE_DOWN

        virtual.run(body)

    @SETTINGS
    @hypothesis.given(foreign_texts.texts(test_platform_formats.CONFIG))
    def test_configs(self, text: bytes) -> None:
        # Guards against a config that is in force and fails each request.
        async def body() -> None:
            holder = relays.ConfigHolder(config.decode, "main")
            stored = stores.StoredObject("config", "main", 1, text)
            holder.on_changed((stored,), ())
            table = holder.table
            if table is None:
                return
            check_can_be_logged(table.version)
            for route in table.config.routes:
                for seconds in (
                    route.timeout_seconds,
                    route.objective_seconds,
                    route.max_pause_seconds,
                ):
                    assert abs(seconds) < 1e13
                try:
                    admitted = table.admit(route.host, route.prefix, "k1")
                except errors.CrowdeckError:
                    continue
                check_can_be_logged(admitted.priority)
                for service in table.config.services:
                    table.urgency(admitted, service.name)

        virtual.run(body)

    @pytest.mark.parametrize(
        "value", [b'"nan"', b'"inf"', b"1e300", b'"9"', b"9" * 20]
    )
    @pytest.mark.parametrize(
        "field",
        [
            names.VERSION,
            names.MAX_ATTEMPTS,
            names.TIMEOUT_MS,
            names.WEIGHT,
            names.LAYERS,
            names.SLOTS,
            names.BODY_BYTES,
        ],
    )
    def test_numbers_of_configs_are_bounded(
        self, field: str, value: bytes
    ) -> None:
        # Guards against a version after which none is newer, and against
        # times and counts with which each request fails.
        text = orjson.dumps(test_platform_formats.CONFIG)
        pattern = b'"%s":' % field.encode() + rb"[0-9.]+"
        changed = re.sub(pattern, b'"%s":%s' % (field.encode(), value), text)
        if field.encode() not in text:
            return
        assert changed != text
        if value == b'"9"':
            config.decode(changed)
            return
        with pytest.raises(errors.CrowdeckError):
            config.decode(changed)

    @pytest.mark.parametrize(
        "value", [b'"nan"', b'"inf"', b"1e300", b"-1", b'"1"']
    )
    def test_capacity_without_bounds_describes_no_entry(
        self, value: bytes
    ) -> None:
        # Guards against a ranking that differs from entry to entry.
        text = orjson.dumps(ENTRY_RECORD).replace(b"1.0,", value + b",", 1)
        stored = stores.StoredObject("entries", "other", 1, text)
        assert rosters.decode_record(stored) == rosters.EntryRecord("")

    @SETTINGS
    @hypothesis.given(foreign_texts.texts(ENTRY_RECORD))
    def test_records_of_entries(self, text: bytes) -> None:
        async def body() -> None:
            store = standin_store.StandinStore()
            roster = rosters.Roster(store, "one", rosters.EntryRecord("a"))
            stored = stores.StoredObject("entries", "other", 1, text)
            roster.on_changed((stored,), ())
            record = rosters.decode_record(stored)
            assert 0.0 <= record.capacity < 1e16
            again = rosters.encode(record)
            assert rosters.decode_record(
                stores.StoredObject("entries", "other", 1, again)
            ) == (record)

        virtual.run(body)

    @SETTINGS
    @hypothesis.given(foreign_texts.texts(STORED_SETTINGS))
    def test_settings(self, text: bytes) -> None:
        async def body() -> None:
            store = standin_store.StandinStore()
            holder = settings_holder.SettingsHolder(store)
            stored = stores.StoredObject(
                settings_holder.KIND, settings_holder.NAME, 1, text
            )
            holder.on_changed((stored,), ())
            check_can_be_logged(holder.generation)

        virtual.run(body)


class TestMessages:
    """Messages of peers, engines and callers."""

    @SETTINGS
    @hypothesis.given(
        foreign_texts.texts(
            {
                "version": 3,
                "epoch": 0,
                "age": 0.5,
                "objects": [["e", 1, {"a": 1}]],
                "removed": ["f"],
            }
        )
    )
    def test_changes_of_peers(self, text: bytes) -> None:
        try:
            found = peer_http._decode("servers", text)
        except errors.CrowdeckError as error:
            assert error.code is errors.Code.MALFORMED
            return
        again = peer_http._decode("servers", peer_http._encode(found))
        assert again == found

    @pytest.mark.parametrize("age", [-1e9, -1e300])
    def test_copy_of_a_peer_is_not_current_in_the_future(
        self, age: float
    ) -> None:
        # Guards against keys that are trusted for good because of one answer.
        class FuturePeer:
            async def watch(
                self, kind: str, after: stores.Position, wait: float
            ) -> stores.PeerChanges:
                await anyio.sleep(0.1)
                return stores.PeerChanges(stores.Changes(9, ()), age)

        class OnePeer:
            def choose(self) -> mirrors.PeerReplica:
                return FuturePeer()

            def seconds_until_retry(self) -> float:
                return float("inf")

        async def body() -> None:
            store = test_malformed_objects.store_with(
                test_malformed_objects.listing()
            )
            holder = relays.ConfigHolder(config.decode, "main")
            mirror = mirrors.Mirror(
                store, "config", holder, 0.8, peers=OnePeer()
            )
            with anyio.move_on_after(1.0):
                await mirror.run()
            await anyio.sleep(10.0)
            assert mirror.age() >= 10.0

        virtual.run(body)

    @SETTINGS
    @hypothesis.given(HEADER_VALUES, HEADER_VALUES, HEADER_VALUES)
    def test_questions_of_peers(
        self, after: bytes, epoch: bytes, seconds: bytes
    ) -> None:
        query = b"after=%s&epoch=%s&seconds=%s" % (after, epoch, seconds)
        try:
            found = peer_http._parse_query(query)
        except errors.CrowdeckError as error:
            assert error.code is errors.Code.BAD_REQUEST
            return
        assert 0.0 <= found.wait_seconds < 1e6
        check_can_be_logged(found.after.version)
        check_can_be_logged(found.after.epoch)

    @SETTINGS
    @hypothesis.given(foreign_texts.texts(LOAD_REPORT))
    def test_reports_of_load(self, text: bytes) -> None:
        try:
            report = load_messages.decode_report(text)
        except errors.CrowdeckError as error:
            assert error.code is errors.Code.MALFORMED
            return
        load_messages.decode_report(load_messages.encode_report(report))

    @SETTINGS
    @hypothesis.given(foreign_texts.texts({"load": LOAD, "collector": "a"}))
    def test_answers_with_loads(self, text: bytes) -> None:
        try:
            answer = load_messages.decode_answer(text)
        except errors.CrowdeckError as error:
            assert error.code is errors.Code.MALFORMED
            return
        load_messages.decode_answer(load_messages.encode_answer(answer))

    @SETTINGS
    @hypothesis.given(foreign_texts.texts(test_malformed_objects.REPORT))
    def test_reports_of_engines(self, text: bytes) -> None:
        try:
            report = upstreams.decode_report(text)
        except errors.CrowdeckError as error:
            assert error.code is errors.Code.MALFORMED
            return
        check_can_be_logged(report.running)

    @SETTINGS
    @hypothesis.given(foreign_texts.texts({names.ADDRESS: "10.0.0.1:1"}))
    def test_refusals_of_engines(self, text: bytes) -> None:
        assert isinstance(engines._refused_address(text), str)

    @SETTINGS
    @hypothesis.given(foreign_texts.texts(COMPLETION), strategies.booleans())
    def test_completions(self, text: bytes, is_chat: bool) -> None:
        try:
            found = openai.parse_body(text, is_chat)
        except errors.CrowdeckError as error:
            assert error.code is errors.Code.BAD_REQUEST
            return
        assert isinstance(found.prompt, str)

    @pytest.mark.parametrize("position", ["9" * 5_000, "9" * 30, "\u0663"])
    def test_event_ids_of_completions(self, position: str) -> None:
        # Guards against an error without a code at a number of many digits.
        parts = ("r", "h", "t", position)
        with pytest.raises(errors.CrowdeckError) as raised:
            openai.EventId.parse(openai.EVENT_ID_SEPARATOR.join(parts))
        assert raised.value.code is errors.Code.BAD_REQUEST

    @SETTINGS
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(
                    [
                        names.REQUEST_ID,
                        names.DEADLINE,
                        names.TOKEN_COUNTS,
                        names.LENGTH_HINT,
                        names.LAST_EVENT_ID,
                        names.PROMPT_PARTS,
                        names.AUTHORIZATION,
                        b"host",
                        b"connection",
                    ]
                ),
                HEADER_VALUES,
            ),
            max_size=8,
        )
    )
    def test_headers_of_callers(
        self, headers: list[tuple[bytes, bytes]]
    ) -> None:
        request = callers.decode("POST", b"/x", b"", headers, b"", 0.0)
        if request is not None:
            assert request.last_event_id >= -1
            check_can_be_logged(request.id)
