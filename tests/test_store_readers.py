# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Entries of an availability zone that share one reader of the store."""

import random
import typing

import anyio
import anyio.abc
import hypothesis
from hypothesis import strategies
import pytest

from crowdeck.cmd import http_server
from crowdeck import errors
from crowdeck import http
from crowdeck import instance as instances
from crowdeck.membership import peer_http
from crowdeck.membership import peer_selection
from crowdeck.membership import roster as rosters
from crowdeck.standin import store as standin_store
from crowdeck.state import mirror as mirrors
from crowdeck.state import objects as stores
from crowdeck.state import replica as replicas
from crowdeck.state import store_health
from tests import virtual
from tests import zone_system

Send = typing.Callable[[dict[str, typing.Any]], typing.Awaitable[typing.Any]]

ZONE = "plateau"
HOST = "127.0.0.1"


class TestStoreCalls:
    """The number of calls to the store."""

    def test_one_entry_calls_for_all_of_its_zone(self) -> None:
        async def work(zone: zone_system.Zone) -> None:
            calls_before = zone.calls
            await anyio.sleep(10.0)
            assert (
                zone.calls - calls_before
                <= 10.0 / zone_system.WAIT_SECONDS + 1
            )
            assert zone[0].connection.calls > 10
            assert zone[5].connection.calls <= 2

        zone_system.run_scenario(14, work)

    def test_few_calls_are_made_during_an_outage(self) -> None:
        async def work(zone: zone_system.Zone) -> None:
            zone.store.is_down = True
            await anyio.sleep(2.0)
            calls_before = zone.calls
            await anyio.sleep(3.0)
            assert (zone.calls - calls_before) / 3.0 < 14

        zone_system.run_scenario(14, work)


class TestFreshness:
    """The age of the entries' copies, with and without faults."""

    def test_changes_reach_all_entries_quickly(self) -> None:
        async def work(zone: zone_system.Zone) -> None:
            version = zone.write()
            written_at = anyio.current_time()
            await anyio.sleep(0.5)
            for entry in zone.entries.values():
                assert (
                    entry.listener.first_seen_at[version] - written_at < 0.02
                )

        zone_system.run_scenario(14, work)

    def test_large_changes_are_read_from_the_store(self) -> None:
        async def work(zone: zone_system.Zone) -> None:
            zone[0].is_too_large = True
            calls_before = zone[3].connection.calls
            version = zone.write()
            written_at = anyio.current_time()
            await anyio.sleep(0.5)
            assert zone[3].listener.first_seen_at[version] - written_at < 0.05
            assert zone[3].connection.calls == calls_before + 1

        zone_system.run_scenario(5, work)

    def test_entry_that_is_asked_reads_the_store_itself(self) -> None:
        # Otherwise two entries could wait for changes from each other.
        async def work(zone: zone_system.Zone) -> None:
            assert not zone[3].selector.reads_store
            zone[3].selector.note_peer_request()
            assert zone[3].selector.reads_store
            await anyio.sleep(peer_selection.PEER_REQUEST_TTL_SECONDS + 0.1)
            assert not zone[3].selector.reads_store

        zone_system.run_scenario(5, work)

    def test_copies_are_as_current_as_that_of_the_reader(self) -> None:
        async def work(zone: zone_system.Zone) -> None:
            assert (
                await zone_system.max_age_over(zone, 5.0)
                < zone_system.WAIT_SECONDS + 0.1
            )

        zone_system.run_scenario(14, work)

    def test_killed_reader_is_replaced_within_two_waits(self) -> None:
        async def work(zone: zone_system.Zone) -> None:
            zone[0].is_down = True
            assert (
                await zone_system.max_age_over(zone, 4.0)
                < 2 * zone_system.WAIT_SECONDS
            )
            version = zone.write()
            written_at = anyio.current_time()
            await anyio.sleep(0.2)
            for entry in list(zone.entries.values())[1:]:
                assert entry.listener.first_seen_at[version] - written_at < 0.1

        zone_system.run_scenario(14, work)

    def test_silent_reader_is_replaced_within_a_watch(self) -> None:
        async def work(zone: zone_system.Zone) -> None:
            zone[0].is_silent = True
            assert (
                await zone_system.max_age_over(zone, 8.0)
                < zone_system.WAIT_SECONDS
                + zone_system.TIMEOUT_SLACK_SECONDS
                + 0.5
            )

        zone_system.run_scenario(14, work)

    def test_reader_that_lost_the_store_is_replaced(self) -> None:
        async def work(zone: zone_system.Zone) -> None:
            zone[0].connection.is_cut = True
            assert (
                await zone_system.max_age_over(zone, 6.0)
                < 2.2 * zone_system.WAIT_SECONDS
            )
            # The reader itself learns of changes from its peers.
            assert zone[0].health.is_lost
            assert zone[0].mirror.age() < 2 * zone_system.WAIT_SECONDS
            zone[0].connection.is_cut = False
            await anyio.sleep(3.0)
            assert not zone[0].health.is_lost

        zone_system.run_scenario(5, work)

    def test_readers_that_lost_the_store_call_it_again(self) -> None:
        # Entries that ask each other and learn that the other has lost the
        # store must not delay their own calls without end.
        async def work(zone: zone_system.Zone) -> None:
            for number in range(3):
                zone[number].connection.is_cut = True
            await anyio.sleep(4.0)
            for number in range(3):
                zone[number].connection.is_cut = False
            await anyio.sleep(4.0)
            assert not any(zone[number].health.is_lost for number in range(3))
            assert zone.max_age() < zone_system.WAIT_SECONDS + 0.1

        zone_system.run_scenario(5, work)

    def test_copies_are_current_soon_after_an_outage(self) -> None:
        async def work(zone: zone_system.Zone) -> None:
            zone.store.is_down = True
            await anyio.sleep(5.0)
            zone.store.is_down = False
            await anyio.sleep(1.2)
            assert zone.max_age() < zone_system.WAIT_SECONDS + 0.1

        zone_system.run_scenario(14, work)

    def test_entry_without_peers_reads_the_store(self) -> None:
        async def work(zone: zone_system.Zone) -> None:
            for entry in list(zone.entries.values())[:-1]:
                entry.is_silent = True
            await anyio.sleep(12.0)
            assert zone[4].selector.reads_store
            assert zone[4].mirror.age() < zone_system.WAIT_SECONDS + 0.1

        zone_system.run_scenario(5, work)

    @hypothesis.given(strategies.integers(0, 2**32))
    @hypothesis.settings(max_examples=25, deadline=None, derandomize=True)
    def test_reported_age_is_never_too_low(self, seed: int) -> None:
        # Otherwise a revoked key would stay valid at an entry.
        async def work(zone: zone_system.Zone) -> None:
            rng = random.Random(seed)
            written: dict[int, float] = {}
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(_inject_faults, zone, rng)
                for _ in range(1_500):
                    if rng.random() < 0.02:
                        written[zone.write()] = anyio.current_time()
                    _check_ages(zone, written)
                    await anyio.sleep(0.01)
                tasks.cancel_scope.cancel()

        zone_system.run_scenario(4, work)


async def _inject_faults(zone: zone_system.Zone, rng: random.Random) -> None:
    while True:
        entry = rng.choice(list(zone.entries.values()))
        fault = rng.choice(("is_silent", "is_down", "cut", "store"))
        target = {"cut": entry.connection, "store": zone.store}.get(
            fault, entry
        )
        attribute = {"cut": "is_cut", "store": "is_down"}.get(fault, fault)
        setattr(target, attribute, True)
        await anyio.sleep(rng.uniform(0.1, 2.5))
        setattr(target, attribute, False)
        await anyio.sleep(rng.uniform(0.0, 1.0))


def _check_ages(zone: zone_system.Zone, written: dict[int, float]) -> None:
    now = anyio.current_time()
    newest = max(written, default=0)
    for entry in zone.entries.values():
        current_at = now - entry.mirror.age()
        if newest and written[newest] < current_at - 1e-9:
            assert entry.mirror.position.version >= newest


class TestReplica:
    """Changes that a replica returns to peers."""

    def test_returns_changes_after_a_version(self) -> None:
        replica = replicas.Replica()
        replica.reset(stores.Changes(5, (_object("a", 3), _object("b", 5))))
        replica.apply(stores.Changes(8, (_object("c", 7),), ("a",)))
        changes = replica.changes_since(stores.Position(5))
        assert changes is not None
        assert [stored.name for stored in changes.objects] == ["c"]
        assert changes.removed == ("a",)
        assert replica.changes_since(stores.Position(8)) == stores.Changes(
            8, (), ()
        )

    def test_knows_no_changes_before_its_listing(self) -> None:
        replica = replicas.Replica()
        replica.reset(stores.Changes(5, ()))
        assert replica.changes_since(stores.Position(4)) is None

    def test_objects_newer_than_their_listing_are_sent_once(self) -> None:
        # Later pages of a listing may have newer objects than the first page.
        replica = replicas.Replica()
        replica.reset(stores.Changes(5, (_object("late", 9),)))
        assert replica.changes_since(stores.Position(5)) == stores.Changes(
            5, (), ()
        )
        replica.apply(stores.Changes(9, (_object("late", 9),)))
        changes = replica.changes_since(stores.Position(5))
        assert changes is not None and changes.objects
        assert replica.changes_since(changes.position) == stores.Changes(
            9, (), ()
        )

    def test_forgets_the_oldest_removals(self) -> None:
        replica = replicas.Replica()
        replica.reset(stores.Changes(1, ()))
        for number in range(replicas.MAX_REMOVALS + 1):
            replica.apply(stores.Changes(number + 2, (), (f"gone-{number}",)))
        assert replica.changes_since(stores.Position(1)) is None
        changes = replica.changes_since(stores.Position(2))
        assert changes is not None
        assert len(changes.removed) == replicas.MAX_REMOVALS


def _object(name: str, version: int) -> stores.StoredObject:
    return stores.StoredObject(zone_system.KIND, name, version, b"{}")


class TestRanking:
    """The order of preference for reading the store for a zone."""

    def test_highest_capacity_comes_first_and_all_agree(self) -> None:
        async def body() -> None:
            store = standin_store.StandinStore()
            entry_rosters = [
                rosters.Roster(
                    store,
                    f"entry-{number}",
                    rosters.EntryRecord(
                        zone,
                        instances.Address(HOST, 7000 + number),
                        capacity,
                    ),
                )
                for number, (zone, capacity) in enumerate(
                    ((ZONE, 10), (ZONE, 100), ("other", 100), (ZONE, 10))
                )
            ]
            for roster in entry_rosters:
                await roster.register()
            listing = await store.list(rosters.KIND)
            for roster in entry_rosters:
                roster.on_listed(listing.objects)
            order = [peer.name for peer in entry_rosters[0].ranking()]
            assert order[0] == "entry-1"
            assert set(order) == {"entry-0", "entry-1", "entry-3"}
            assert entry_rosters[3].ranking() == entry_rosters[0].ranking()

        virtual.run(body)

    def test_restart_at_another_address_is_recorded(self) -> None:
        async def body() -> None:
            store = standin_store.StandinStore()
            for port in (7000, 7001):
                record = rosters.EntryRecord(
                    ZONE, instances.Address(HOST, port), 10.0
                )
                roster = rosters.Roster(store, "entry-0", record)
                await roster.register()
            other = rosters.Roster(store, "entry-1", rosters.EntryRecord(ZONE))
            other.on_listed((await store.list(rosters.KIND)).objects)
            assert other.ranking()[0].address.port == 7001

        virtual.run(body)

    def test_restart_at_the_same_address_makes_no_call(self) -> None:
        async def body() -> None:
            store = standin_store.StandinStore()
            record = rosters.EntryRecord(
                ZONE, instances.Address(HOST, 7000), 10.0
            )
            await rosters.Roster(store, "entry-0", record).register()
            again = rosters.Roster(store, "entry-0", record)
            again.on_listed((await store.list(rosters.KIND)).objects)
            before = store.calls.total()
            await again.register()
            assert store.calls.total() == before

        virtual.run(body)


class TestHttp:
    """Watches between peers, over real connections."""

    def watch(
        self,
        store: standin_store.StandinStore,
        after: int,
        wait_seconds: float,
    ) -> stores.PeerChanges:
        results: list[stores.PeerChanges | errors.CrowdeckError] = []

        async def body() -> None:
            health = store_health.StoreHealth()
            mirror = mirrors.Mirror(
                store,
                zone_system.KIND,
                zone_system.RecordingListener(),
                0.2,
                lambda: 0.0,
                health,
            )
            client = http.HttpClient("")
            peers = peer_http.HttpPeerClient(client)
            selector = peer_selection.PeerSelector(
                "a", lambda: (), peers, health
            )
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(mirror.run)
                port = await tasks.start(
                    http_server.serve_http,
                    peer_http.PeerApp({zone_system.KIND: mirror}, selector),
                    HOST,
                    0,
                )
                await anyio.sleep(0.1)
                peer = peer_selection.Peer("a", instances.Address(HOST, port))
                try:
                    results.append(
                        await peers.watch(
                            peer,
                            zone_system.KIND,
                            stores.Position(after),
                            wait_seconds,
                        )
                    )
                except errors.CrowdeckError as error:
                    results.append(error)
                await client.close()
                tasks.cancel_scope.cancel()

        anyio.run(body)
        if isinstance(results[0], errors.CrowdeckError):
            raise results[0]
        return results[0]

    def test_response_is_complete(self) -> None:
        store = standin_store.StandinStore()
        version = store.write(zone_system.KIND, "old", b'{"a":1}')
        peer_changes = self.watch(store, version, 1.0)
        assert peer_changes.changes.objects == ()
        assert peer_changes.age <= 0.0
        assert peer_changes.changes.version == version

    def test_response_without_an_epoch_is_rejected(self) -> None:
        # Entries of an earlier release know only versions.
        async def app(scope: typing.Any, receive: object, send: Send) -> None:
            body = b'{"version":9,"age":0.0,"objects":[],"removed":[]}'
            await send({"type": "http.response.start", "status": 200})
            await send({"type": "http.response.body", "body": body})

        async def body() -> None:
            client = http.HttpClient("")
            peers = peer_http.HttpPeerClient(client)
            async with anyio.create_task_group() as tasks:
                port = await tasks.start(http_server.serve_http, app, HOST, 0)
                peer = peer_selection.Peer("a", instances.Address(HOST, port))
                with pytest.raises(errors.CrowdeckError) as caught:
                    await peers.watch(
                        peer, zone_system.KIND, stores.Position(5, 1), 0.1
                    )
                assert caught.value.code is errors.Code.STORE_DOWN
                await client.close()
                tasks.cancel_scope.cancel()

        anyio.run(body)

    def test_unknown_history_is_reported(self) -> None:
        store = standin_store.StandinStore()
        store.write(zone_system.KIND, "old", b"{}")
        with pytest.raises(errors.CrowdeckError) as caught:
            self.watch(store, 0, 0.2)
        assert caught.value.code is errors.Code.STORE_HISTORY

    def test_lost_store_is_reported_at_once(self) -> None:
        store = standin_store.StandinStore()
        store.is_down = True
        with pytest.raises(errors.CrowdeckError) as caught:
            self.watch(store, 0, 5.0)
        assert caught.value.code is errors.Code.STORE_DOWN

    def test_large_changes_are_refused(self) -> None:
        peer_changes = stores.PeerChanges(
            stores.Changes(
                2,
                (
                    stores.StoredObject(
                        zone_system.KIND,
                        "main",
                        2,
                        b'"' + b"x" * peer_http.MAX_RESPONSE_BYTES + b'"',
                    ),
                ),
            ),
            0.0,
        )

        class FixedMirror:
            async def changes_since(
                self, after: stores.Position, wait_seconds: float
            ) -> stores.PeerChanges:
                return peer_changes

        async def body() -> None:
            mirror = typing.cast(mirrors.Mirror, FixedMirror())
            await peer_http.read_changes(mirror, stores.Position(1), 1.0)

        with pytest.raises(errors.CrowdeckError) as caught:
            anyio.run(body)
        assert caught.value.code is errors.Code.TOO_LARGE
