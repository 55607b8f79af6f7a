# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Malformed data in the store, from other writers or damage.

A malformed record describes no engine. The other records stay in use, and no
task that reads them fails.
"""

import typing

import anyio
import httpcore
import hypothesis
from hypothesis import strategies
import orjson
import pytest

from crowdeck import chain
from crowdeck import errors
from crowdeck import http
from crowdeck import instance as instances
from crowdeck.membership import peer_http
from crowdeck.membership import roster as rosters
from crowdeck.membership import upstreams as registries
from crowdeck.placement import plan
from crowdeck.platform import config
from crowdeck.platform import names
from crowdeck.platform import store as platform_store
from crowdeck.platform import upstreams
from crowdeck.routing import hops
from crowdeck.routing import usage as usages
from crowdeck.standin import store as standin_store
from crowdeck.state import leases
from crowdeck.state import mirror as mirrors
from crowdeck.state import objects as stores
from crowdeck import upstream as services
from tests import fleet_system
from tests import foreign_texts
from tests import test_platform_formats
from tests import test_restarted_instances
from tests import virtual

SETTINGS = hypothesis.settings(
    derandomize=True, database=None, deadline=None, max_examples=300
)
SCALARS = (
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(10**40), 10**40)
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.text(max_size=5)
    | strategies.sampled_from(["", "10.0.0.1:99999", "host:1", "1e400", "-1"])
    | strategies.sampled_from(["::1:80", "[::1]:80", "::80", "[::1%a]:80"])
)
JSON_VALUES = strategies.recursive(
    SCALARS,
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(max_size=5), inner)
    ),
    max_leaves=6,
)

UPSTREAM_RECORD = orjson.loads(
    test_restarted_instances.stored_record(1, born=5).value
)
REPORT = {
    names.ORDERS_TAKEN: 3,
    names.BUSY: False,
    names.LAYERS: {names.FIRST_LAYER: 0, names.END_LAYER: 8},
    names.RUNNING: 1,
    names.CACHE_USED: 10,
    names.STALLED: [{names.ID: "r", names.ADDRESS: "10.0.0.1:1"}],
    names.STARTED_MS: 5,
}


@strategies.composite
def mutated(draw: strategies.DrawFn, whole: typing.Any) -> typing.Any:
    """Return a JSON value with some of its parts replaced or missing."""
    if isinstance(whole, dict):
        body = {}
        for name, value in whole.items():
            choice = draw(strategies.integers(0, 9))
            if choice == 0:
                continue
            if choice == 1:
                body[name] = draw(JSON_VALUES)
            else:
                body[name] = draw(mutated(value))
        return body
    if isinstance(whole, list):
        return [draw(mutated(element)) for element in whole]
    return whole


def to_bytes(body: typing.Any) -> bytes:
    try:
        return orjson.dumps(body)
    except TypeError:
        return b"\xff" + repr(body).encode("utf-8", "replace")


def stored_object(
    value: bytes, name: str = "e", version: int = 1
) -> typing.Any:
    return stores.StoredObject("servers", name, version, value)


class TestAddresses:
    """Addresses in records and settings."""

    @pytest.mark.parametrize(
        "text",
        [
            "::1:8080",
            "::1",
            "[::1]",
            "[::1:8080",
            "[10.0.0.1]:80",
            "[::1%eth0]:80",
            "[::1%\r\nx]:80",
            "[]:80",
        ],
    )
    def test_address_that_cannot_be_dialled_is_refused(
        self, text: str
    ) -> None:
        # Guards against an object of another writer that ends the process:
        # the error of a call to such an address is not that of a lost engine.
        with pytest.raises(ValueError):
            instances.Address.parse(text)
        record = test_restarted_instances.stored_record(
            1, **{names.ADDRESS: text}
        )
        with pytest.raises(errors.CrowdeckError) as raised:
            upstreams.decode(record)
        assert raised.value.code is errors.Code.MALFORMED

    def test_ipv6_address_has_brackets(self) -> None:
        address = instances.Address.parse("[::1]:8080")
        assert address == instances.Address("::1", 8080)
        assert str(address) == "[::1]:8080"


TEXT_FIELDS = (
    names.SERVICE,
    names.ADDRESS,
    names.ZONE,
    names.VERSION,
    names.STATE,
)
NUMBER_FIELDS = (names.SLOTS, names.COLD_MS, names.ORDERS_TAKEN)


class TestFieldsOfRecords:
    """Fields that each instance writes."""

    @pytest.mark.parametrize("field", [*TEXT_FIELDS, *NUMBER_FIELDS])
    def test_record_without_one_names_no_instance(self, field: str) -> None:
        # Guards against requests and orders to what another program wrote
        # into the list of instances.
        body = dict(UPSTREAM_RECORD)
        del body[field]
        self.check_refused(body)

    @pytest.mark.parametrize(
        ("field", "value"),
        [
            *((field, 5) for field in TEXT_FIELDS),
            *((field, "6") for field in NUMBER_FIELDS),
            *((field, -1) for field in NUMBER_FIELDS),
            *(
                (field, value)
                for field in (*TEXT_FIELDS, *NUMBER_FIELDS)
                for value in (None, True, [], {})
            ),
        ],
    )
    def test_record_with_a_malformed_one_names_no_instance(
        self, field: str, value: object
    ) -> None:
        # Guards against the same.
        self.check_refused({**UPSTREAM_RECORD, field: value})

    def check_refused(self, body: typing.Any) -> None:
        with pytest.raises(errors.CrowdeckError) as raised:
            upstreams.decode(stored_object(to_bytes(body)))
        assert raised.value.code is errors.Code.MALFORMED

    @pytest.mark.parametrize("field", [names.ACCELERATOR_TYPE, names.LAYERS])
    def test_record_of_a_plain_service_has_no_fields_of_engines(
        self, field: str
    ) -> None:
        body = dict(UPSTREAM_RECORD)
        del body[field]
        found = upstreams.decode(stored_object(to_bytes(body)))
        assert found.service == UPSTREAM_RECORD[names.SERVICE]


class TestDecoders:
    """Decoders raise only errors that their callers handle."""

    @SETTINGS
    @hypothesis.given(
        JSON_VALUES | mutated(UPSTREAM_RECORD), strategies.text(max_size=9)
    )
    def test_upstream_records(self, body: typing.Any, name: str) -> None:
        try:
            upstream = upstreams.decode(stored_object(to_bytes(body), name))
        except errors.CrowdeckError as error:
            assert error.code is errors.Code.MALFORMED
            return
        # The address can be dialled, and the id can be sent in a header.
        assert (
            instances.Address.parse(str(upstream.address)) == upstream.address
        )
        url = httpcore.URL(f"http://{upstream.address}/x")
        assert (url.host.decode(), url.port) == (
            upstream.address.host,
            upstream.address.port,
        )
        assert (
            upstream.incarnation.id.isascii()
            and upstream.incarnation.id.isprintable()
        )
        assert upstream.service == body[names.SERVICE]

    @SETTINGS
    @hypothesis.given(JSON_VALUES | mutated(REPORT))
    def test_reports(self, body: typing.Any) -> None:
        try:
            report = upstreams.decode_report(to_bytes(body))
        except errors.CrowdeckError as error:
            assert error.code is errors.Code.MALFORMED
            return
        assert report.running >= 0 and report.slowdown > 0

    @SETTINGS
    @hypothesis.given(JSON_VALUES | mutated(test_platform_formats.CONFIG))
    def test_configs(self, body: typing.Any) -> None:
        try:
            config.decode(to_bytes(body))
        except errors.CrowdeckError:
            return

    @SETTINGS
    @hypothesis.given(
        JSON_VALUES
        | mutated(
            {
                "version": 3,
                "age": 0.5,
                "objects": [["e", 1, {"a": 1}]],
                "removed": ["f"],
            }
        )
    )
    def test_responses_of_peers(self, body: typing.Any) -> None:
        try:
            peer_http._decode("servers", to_bytes(body))
        except errors.CrowdeckError:
            return

    @SETTINGS
    @hypothesis.given(
        JSON_VALUES
        | mutated(
            {
                "availability_zone": "a",
                "address": "10.0.0.1:1",
                "capacity": 1.0,
                "evidence": {"ends": [], "served": [["f", 1.0]]},
            }
        )
    )
    def test_entry_records(self, body: typing.Any) -> None:
        roster = rosters.Roster(
            standin_store.StandinStore(), "entry-0", rosters.EntryRecord("a")
        )
        roster.on_changed((stored_object(to_bytes(body), "other"),), ())
        assert roster.known_entry_count == 2

    @pytest.mark.parametrize(
        "state", ["loading", "", 7, None, ["ready"], {"state": "ready"}]
    )
    def test_unknown_states_are_rejected(self, state: object) -> None:
        with pytest.raises(errors.CrowdeckError):
            upstreams.decode(
                test_restarted_instances.stored_record(1, state=state)
            )

    def test_record_without_a_state_is_rejected(self) -> None:
        # It must not count as ready.
        body = orjson.loads(test_restarted_instances.stored_record(1).value)
        del body[names.STATE]
        with pytest.raises(errors.CrowdeckError):
            upstreams.decode(stored_object(to_bytes(body)))

    @pytest.mark.parametrize(
        "address", ["example.org:80", "10.0.0.1:0", "10.0.0.1:65536", "1:2:3"]
    )
    def test_addresses_that_cannot_be_dialled_are_rejected(
        self, address: str
    ) -> None:
        with pytest.raises(errors.CrowdeckError):
            upstreams.decode(
                test_restarted_instances.stored_record(1, address=address)
            )


class FixedClient:
    """Responds to every request with the same bytes."""

    def __init__(self, content: bytes) -> None:
        self._content = content

    async def send(self, *arguments: typing.Any) -> services.ServiceResponse:
        return services.ServiceResponse(200, (), self._content)


class ScriptedClient:
    """Gives each response of a script once, then no changes."""

    def __init__(self, contents: tuple[bytes, ...]) -> None:
        self._contents = list(contents)

    async def send(self, *arguments: typing.Any) -> services.ServiceResponse:
        if self._contents:
            return services.ServiceResponse(200, (), self._contents.pop(0))
        await anyio.sleep(1.0)
        content = b'{"events":[],"timestamp":10}'
        return services.ServiceResponse(200, (), content)

    async def close_idle(self) -> None:
        return


class ScriptedStore(platform_store.HttpStore):
    """A store whose responses are given."""

    def __init__(self, *contents: bytes) -> None:
        client = ScriptedClient(contents)
        super().__init__(typing.cast(http.HttpClient, client))


def store_with(content: bytes) -> platform_store.HttpStore:
    client = typing.cast(http.HttpClient, FixedClient(content))
    return platform_store.HttpStore(client)


def listing(*items: bytes) -> bytes:
    return (
        b'{"items":[' + b",".join(items) + b'],"has_more":false,"timestamp":9}'
    )


def item(name: str, specification: bytes) -> bytes:
    return b'{"metadata":{"name":"%s","revision":3},"specification":%s}' % (
        name.encode(),
        specification,
    )


class TestLists:
    """A listing in which one object is malformed."""

    @pytest.mark.parametrize(
        "malformed",
        [
            item("bad", b'"\\ud800"'),
            item("bad", b'"\xff\xfe"'),
            item("bad", b"1" * 400),
            item("bad", b"[" * 900 + b"]" * 900),
            b'{"metadata":{"name":"bad"}}',
            b'{"metadata":7}',
            b"7",
            b"null",
            *(item("bad", value) for value in foreign_texts.VALUES),
            *(
                b'{"metadata":%s,"specification":{}}' % value
                for value in foreign_texts.VALUES
            ),
            *(
                b'{"metadata":{"name":%s,"revision":%s},"specification":{}}'
                % (value, value)
                for value in foreign_texts.VALUES
            ),
        ],
        ids=foreign_texts.label,
    )
    def test_the_other_objects_are_read(self, malformed: bytes) -> None:
        async def body() -> None:
            good = orjson.dumps(UPSTREAM_RECORD)
            content = listing(item("a", good), malformed, item("z", good))
            changes = await store_with(content).list("servers")
            registry = registries.UpstreamRegistry(upstreams.decode)
            registry.on_listed(changes.objects)
            usable = registry.usable(fleet_system.MODEL)
            # Both have the same address; the last listed instance is kept.
            assert [listed.incarnation.id for listed in usable] == ["z"]
            assert "a" in {listed.name for listed in changes.objects}

        virtual.run(body)

    @pytest.mark.parametrize(
        "malformed",
        [
            b'"\\ud800"',
            b'"\xff"',
            b"1" * 400,
            *foreign_texts.DEEP,
            *foreign_texts.LONG_NUMBERS,
            *foreign_texts.LARGE,
            b'{"a":"\\ud800"}',
            b'{"a":"\xff"}',
            b'{"a":nul}',
        ],
        ids=foreign_texts.label,
    )
    def test_the_other_objects_are_sent_to_peers(
        self, malformed: bytes
    ) -> None:
        async def body() -> None:
            good = orjson.dumps(UPSTREAM_RECORD)
            content = listing(item("a", good), item("bad", malformed))
            changes = await store_with(content).list("servers")
            encoded = peer_http._encode(stores.PeerChanges(changes, 0.0))
            received = peer_http._decode("servers", encoded).changes.objects
            assert {stored.name for stored in received} == {"a", "bad"}
            upstream = upstreams.decode(received[0])
            assert upstream.service == UPSTREAM_RECORD[names.SERVICE]

        virtual.run(body)

    @pytest.mark.parametrize(
        "malformed",
        [*foreign_texts.VALUES, b"7", b"null"],
        ids=foreign_texts.label,
    )
    def test_the_other_changes_are_followed(self, malformed: bytes) -> None:
        # Guards against an object of another writer that ends the task that
        # follows its kind, and with it the process.
        async def body() -> None:
            good = orjson.dumps(UPSTREAM_RECORD)
            events = b",".join(
                b'{"object":%s,"tombstone":false}' % stored
                for stored in (
                    item("a", good),
                    item("bad", malformed),
                    item("z", good),
                )
            )
            registry = registries.UpstreamRegistry(upstreams.decode)
            mirror = mirrors.Mirror(
                ScriptedStore(
                    listing(item("bad", malformed)),
                    b'{"events":[%s],"timestamp":10}' % events,
                ),
                "servers",
                registry,
                1.0,
            )
            with anyio.move_on_after(1.5):
                await mirror.run()
            assert mirror.position.version == 10
            usable = registry.usable(fleet_system.MODEL)
            assert [listed.incarnation.id for listed in usable] == ["z"]

        virtual.run(body)

    @pytest.mark.parametrize(
        "malformed",
        [*foreign_texts.VALUES, b"{}", b'{"role":"entry","address":{}}'],
        ids=foreign_texts.label,
    )
    def test_the_other_instances_are_listed(self, malformed: bytes) -> None:
        # Guards against one entry that empties the list of instances.
        async def body() -> None:
            sound = orjson.dumps(
                {
                    "role": "sidecar",
                    "availability_zone": "a",
                    "address": {"host": "10.0.0.1", "port": 1},
                    "is_leaving": False,
                }
            )
            content = listing(
                item("a", sound), item("bad", malformed), item("z", sound)
            )
            found = await store_with(content).list_instances()
            assert found is not None
            names_found = [instance.name for instance in found.instances]
            assert names_found == ["a", "z"]

        virtual.run(body)

    def test_pages_after_unreadable_names_are_read(self) -> None:
        # Guards against a listing that ends at a page whose last name cannot
        # be read, so that all later objects count as removed.
        async def body() -> None:
            store = ScriptedStore(
                b'{"items":[%s,%s],"has_more":true,"timestamp":9}'
                % (item("a", b"{}"), b'{"metadata":{"name":"\\ud800"}}'),
                listing(item("z", b"{}")),
            )
            changes = await store.list("servers")
            assert [stored.name for stored in changes.objects] == ["a", "z"]

        virtual.run(body)

    def test_page_of_unreadable_names_is_no_whole_listing(self) -> None:
        async def body() -> None:
            store = ScriptedStore(
                b'{"items":[7],"has_more":true,"timestamp":9}',
                listing(item("z", b"{}")),
            )
            with pytest.raises(errors.CrowdeckError) as raised:
                await store.list("servers")
            assert raised.value.code is errors.Code.STORE_DOWN

        virtual.run(body)

    @SETTINGS
    @hypothesis.given(
        mutated(
            {
                "events": [
                    {
                        "object": {
                            "metadata": {"name": "e", "revision": 4},
                            "specification": {},
                        },
                        "tombstone": False,
                    }
                ],
                "timestamp": 5,
            }
        )
    )
    def test_watches_raise_only_store_down(self, response: typing.Any) -> None:
        async def body() -> None:
            try:
                await store_with(to_bytes(response)).watch(
                    "servers", stores.Position(1), 0.1
                )
            except errors.CrowdeckError as error:
                assert error.code is errors.Code.STORE_DOWN

        virtual.run(body)


class TestOverwrittenLease:
    """A lease in the store that another writer has overwritten."""

    @pytest.mark.parametrize(
        "malformed", [b"7", b'"mine"', b"{}", b'{"holder":"x","term":"y"}']
    )
    def test_is_taken_once_it_has_expired(self, malformed: bytes) -> None:
        async def body() -> None:
            store = standin_store.StandinStore()
            lease = leases.Lease(store, "placement", "one/1")
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(lease.run)
                await anyio.sleep(1.0)
                assert lease.is_held
                store.write(leases.KIND, "placement", malformed)
                await anyio.sleep(2.0)
                await anyio.sleep(3 * leases.LEASE_SECONDS)
                assert lease.is_held
                assert lease.term > 1
                tasks.cancel_scope.cancel()

        virtual.run(body)

    def test_is_taken_while_it_is_overwritten_repeatedly(self) -> None:
        # Overwriting it must not restart the wait for its expiry.
        async def body() -> None:
            store = standin_store.StandinStore()
            first = leases.Lease(store, "placement", "gone")
            second = leases.Lease(store, "placement", "one")
            async with anyio.create_task_group() as tasks:
                with anyio.move_on_after(3.0):
                    async with anyio.create_task_group() as inner:
                        inner.start_soon(first.run)
                        await anyio.sleep(0.1)
                        inner.start_soon(second.run)
                assert not second.is_held
                tasks.start_soon(second.run)
                max_wait_seconds = (
                    leases.LEASE_SECONDS + 2 * leases.RENEW_SECONDS
                )
                with anyio.fail_after(max_wait_seconds):
                    while not second.is_held:
                        store.write(leases.KIND, "placement", b"7")
                        await anyio.sleep(0.7)
                assert second.term > 1
                tasks.cancel_scope.cancel()

        virtual.run(body)


class TestLayersBeyondTheModel:
    """An engine whose record names layers that the model does not have."""

    def test_do_not_break_paths_or_plans(self) -> None:
        async def body() -> None:
            profile = fleet_system.PROFILE
            engines = [
                fleet_system.upstream("good", layers=(0, 80), card="large"),
                fleet_system.upstream("odd", layers=(70, 9_000)),
                fleet_system.upstream("far", layers=(60_000, 65_536)),
            ]
            assert len(chain.coverage(engines, 80)) == 80
            planner = hops.HopPlanner(usages.InFlight())
            wanted = hops.PathRequest(profile, 700.0, "plateau", 0.5)
            planner.plan(tuple(engines), wanted)
            engines_within = chain.engines_within(engines, profile.layer_count)
            assert [engine.name for engine in engines_within] == ["good"]
            list(
                plan.iter_moves(
                    engines_within, profile, lambda _: True, engines_within
                )
            )

        virtual.run(body)
