# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Entries of a zone that read the store through one of them."""

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


class TestCalls:
    """What the store is asked."""

    def test_one_entry_of_a_zone_asks_for_all(self) -> None:
        # Fourteen entries that each watched made 17.5 calls a second.
        async def work(zone: zone_system.Zone) -> None:
            before = zone.calls
            await anyio.sleep(10.0)
            assert zone.calls - before <= 10.0 / zone_system.WAIT + 1
            assert zone[0].way.calls > 10
            assert zone[5].way.calls <= 2

        zone_system.play(14, work)

    def test_an_outage_is_met_by_few_tries(self) -> None:
        # Each entry tried every 0.3 s: 46 calls a second.
        async def work(zone: zone_system.Zone) -> None:
            zone.store.is_down = True
            await anyio.sleep(2.0)
            before = zone.calls
            await anyio.sleep(3.0)
            assert (zone.calls - before) / 3.0 < 14

        zone_system.play(14, work)


class TestFreshness:
    """How current the copies are, whatever fails."""

    def test_changes_reach_all_at_once(self) -> None:
        async def work(zone: zone_system.Zone) -> None:
            version = zone.write()
            now = anyio.current_time()
            await anyio.sleep(0.5)
            for entry in zone.entries.values():
                assert entry.sight.seen[version] - now < 0.02

        zone_system.play(14, work)

    def test_what_is_too_large_for_a_peer_is_read_from_the_store(self) -> None:
        async def work(zone: zone_system.Zone) -> None:
            zone[0].is_too_large = True
            before = zone[3].way.calls
            version = zone.write()
            now = anyio.current_time()
            await anyio.sleep(0.5)
            assert zone[3].sight.seen[version] - now < 0.05
            assert zone[3].way.calls == before + 1

        zone_system.play(5, work)

    def test_one_that_is_asked_reads_the_store_itself(self) -> None:
        # Else two that each found the first one silent for a moment would
        # wait for each other's proof.
        async def work(zone: zone_system.Zone) -> None:
            assert not zone[3].selector.reads_store
            zone[3].selector.note_peer_request()
            assert zone[3].selector.reads_store
            await anyio.sleep(peer_selection.ASKED_SECONDS + 0.1)
            assert not zone[3].selector.reads_store

        zone_system.play(5, work)

    def test_copies_are_proved_as_often_as_the_readers(self) -> None:
        async def work(zone: zone_system.Zone) -> None:
            assert (
                await zone_system.oldest_over(zone, 5.0)
                < zone_system.WAIT + 0.1
            )

        zone_system.play(14, work)

    def test_a_killed_reader_is_stood_in_for_at_once(self) -> None:
        async def work(zone: zone_system.Zone) -> None:
            zone[0].is_down = True
            assert (
                await zone_system.oldest_over(zone, 4.0) < 2 * zone_system.WAIT
            )
            version = zone.write()
            now = anyio.current_time()
            await anyio.sleep(0.2)
            for entry in list(zone.entries.values())[1:]:
                assert entry.sight.seen[version] - now < 0.1

        zone_system.play(14, work)

    def test_a_silent_reader_is_stood_in_for_within_a_watch(self) -> None:
        async def work(zone: zone_system.Zone) -> None:
            zone[0].is_silent = True
            assert (
                await zone_system.oldest_over(zone, 8.0)
                < zone_system.WAIT + zone_system.PATIENCE + 0.5
            )

        zone_system.play(14, work)

    def test_a_reader_without_the_store_sends_the_others_elsewhere(
        self,
    ) -> None:
        async def work(zone: zone_system.Zone) -> None:
            zone[0].way.is_cut = True
            assert (
                await zone_system.oldest_over(zone, 6.0)
                < 2.2 * zone_system.WAIT
            )
            # The one that lost its way knows by its peers.
            assert zone[0].health.is_lost
            assert zone[0].mirror.age() < 2 * zone_system.WAIT
            zone[0].way.is_cut = False
            await anyio.sleep(3.0)
            assert not zone[0].health.is_lost

        zone_system.play(5, work)

    def test_readers_that_hear_of_each_others_loss_try_again(self) -> None:
        # On a played day the first two of a zone were turned away for some
        # seconds. Each asked the other, heard of its loss, and put off its
        # own try again: twelve seconds later both were still without.
        async def work(zone: zone_system.Zone) -> None:
            for number in range(3):
                zone[number].way.is_cut = True
            await anyio.sleep(4.0)
            for number in range(3):
                zone[number].way.is_cut = False
            await anyio.sleep(4.0)
            assert not any(zone[number].health.is_lost for number in range(3))
            assert zone.oldest() < zone_system.WAIT + 0.1

        zone_system.play(5, work)

    def test_all_know_soon_after_an_outage(self) -> None:
        async def work(zone: zone_system.Zone) -> None:
            zone.store.is_down = True
            await anyio.sleep(5.0)
            zone.store.is_down = False
            await anyio.sleep(1.2)
            assert zone.oldest() < zone_system.WAIT + 0.1

        zone_system.play(14, work)

    def test_an_entry_alone_reads_for_itself(self) -> None:
        async def work(zone: zone_system.Zone) -> None:
            for entry in list(zone.entries.values())[:-1]:
                entry.is_silent = True
            await anyio.sleep(12.0)
            assert zone[4].selector.reads_store
            assert zone[4].mirror.age() < zone_system.WAIT + 0.1

        zone_system.play(5, work)

    @hypothesis.given(strategies.integers(0, 2**32))
    @hypothesis.settings(max_examples=25, deadline=None, derandomize=True)
    def test_no_copy_is_newer_than_it_claims(self, seed: int) -> None:
        # A key that was taken away works on at an entry whose copy claims
        # to be current and is not.
        async def work(zone: zone_system.Zone) -> None:
            rng = random.Random(seed)
            written: dict[int, float] = {}
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(_disturb, zone, rng)
                for _ in range(1_500):
                    if rng.random() < 0.02:
                        written[zone.write()] = anyio.current_time()
                    _require_truth(zone, written)
                    await anyio.sleep(0.01)
                tasks.cancel_scope.cancel()

        zone_system.play(4, work)


async def _disturb(zone: zone_system.Zone, rng: random.Random) -> None:
    while True:
        entry = rng.choice(list(zone.entries.values()))
        what = rng.choice(("is_silent", "is_down", "cut", "store"))
        target = {"cut": entry.way, "store": zone.store}.get(what, entry)
        name = {"cut": "is_cut", "store": "is_down"}.get(what, what)
        setattr(target, name, True)
        await anyio.sleep(rng.uniform(0.1, 2.5))
        setattr(target, name, False)
        await anyio.sleep(rng.uniform(0.0, 1.0))


def _require_truth(zone: zone_system.Zone, written: dict[int, float]) -> None:
    now = anyio.current_time()
    newest = max(written, default=0)
    for entry in zone.entries.values():
        current_at = now - entry.mirror.age()
        if newest and written[newest] < current_at - 1e-9:
            assert entry.mirror.position.version >= newest


class TestReplica:
    """What a copy can tell others."""

    def test_tells_what_came_after_a_version(self) -> None:
        replica = replicas.Replica()
        replica.reset(stores.Changes(5, (_object("a", 3), _object("b", 5))))
        replica.apply(stores.Changes(8, (_object("c", 7),), ("a",)))
        told = replica.changes_since(stores.Position(5))
        assert told is not None
        assert [one.name for one in told.objects] == ["c"]
        assert told.removed == ("a",)
        assert replica.changes_since(stores.Position(8)) == stores.Changes(
            8, (), ()
        )

    def test_does_not_know_what_was_before_its_listing(self) -> None:
        replica = replicas.Replica()
        replica.reset(stores.Changes(5, ()))
        assert replica.changes_since(stores.Position(4)) is None

    def test_objects_newer_than_their_listing_are_told_once(self) -> None:
        # The second page of a listing is read later than the first. With
        # the object's own version as the mark it was told for ever.
        replica = replicas.Replica()
        replica.reset(stores.Changes(5, (_object("late", 9),)))
        assert replica.changes_since(stores.Position(5)) == stores.Changes(
            5, (), ()
        )
        replica.apply(stores.Changes(9, (_object("late", 9),)))
        told = replica.changes_since(stores.Position(5))
        assert told is not None and told.objects
        assert replica.changes_since(told.position) == stores.Changes(
            9, (), ()
        )

    def test_forgets_the_oldest_removals(self) -> None:
        replica = replicas.Replica()
        replica.reset(stores.Changes(1, ()))
        for number in range(replicas.MAX_REMOVALS + 1):
            replica.apply(stores.Changes(number + 2, (), (f"gone-{number}",)))
        assert replica.changes_since(stores.Position(1)) is None
        told = replica.changes_since(stores.Position(2))
        assert told is not None
        assert len(told.removed) == replicas.MAX_REMOVALS


def _object(name: str, version: int) -> stores.StoredObject:
    return stores.StoredObject(zone_system.KIND, name, version, b"{}")


class TestRanking:
    """Which entries read for their zone."""

    def test_the_widest_comes_first_and_all_agree(self) -> None:
        async def body() -> None:
            store = standin_store.StandinStore()
            made = [
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
            for one in made:
                await one.register()
            listing = await store.list(rosters.KIND)
            for one in made:
                one.on_listed(listing.objects)
            order = [one.name for one in made[0].ranking()]
            assert order[0] == "entry-1"
            assert set(order) == {"entry-0", "entry-1", "entry-3"}
            assert made[3].ranking() == made[0].ranking()

        virtual.run(body)

    def test_a_restart_at_another_address_is_noted(self) -> None:
        async def body() -> None:
            store = standin_store.StandinStore()
            for port in (7000, 7001):
                note = rosters.EntryRecord(
                    ZONE, instances.Address(HOST, port), 10.0
                )
                one = rosters.Roster(store, "entry-0", note)
                await one.register()
            other = rosters.Roster(store, "entry-1", rosters.EntryRecord(ZONE))
            other.on_listed((await store.list(rosters.KIND)).objects)
            assert other.ranking()[0].address.port == 7001

        virtual.run(body)

    def test_a_restart_costs_no_call_of_its_own(self) -> None:
        async def body() -> None:
            store = standin_store.StandinStore()
            note = rosters.EntryRecord(
                ZONE, instances.Address(HOST, 7000), 10.0
            )
            await rosters.Roster(store, "entry-0", note).register()
            again = rosters.Roster(store, "entry-0", note)
            again.on_listed((await store.list(rosters.KIND)).objects)
            before = store.calls.total()
            await again.register()
            assert store.calls.total() == before

        virtual.run(body)


class TestHttp:
    """The question and its answer, over real connections."""

    def ask(
        self, store: standin_store.StandinStore, after: int, wait: float
    ) -> stores.PeerChanges:
        told: list[stores.PeerChanges | errors.CrowdeckError] = []

        async def body() -> None:
            health = store_health.StoreHealth()
            mirror = mirrors.Mirror(
                store,
                zone_system.KIND,
                zone_system.Sight(),
                0.2,
                lambda: 0.0,
                health,
            )
            client = http.HttpClient("")
            peers = peer_http.HttpPeers(client)
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
                    told.append(
                        await peers.watch(
                            peer,
                            zone_system.KIND,
                            stores.Position(after),
                            wait,
                        )
                    )
                except errors.CrowdeckError as error:
                    told.append(error)
                await client.close()
                tasks.cancel_scope.cancel()

        anyio.run(body)
        if isinstance(told[0], errors.CrowdeckError):
            raise told[0]
        return told[0]

    def test_changes_come_whole(self) -> None:
        store = standin_store.StandinStore()
        before = store.write(zone_system.KIND, "old", b'{"a":1}')
        sighting = self.ask(store, before, 1.0)
        assert sighting.changes.objects == ()
        assert sighting.age <= 0.0
        assert sighting.changes.version == before

    def test_answer_that_names_no_epoch_is_not_taken(self) -> None:
        # An entry of an earlier release knows of versions alone.
        async def app(scope: typing.Any, receive: object, send: Send) -> None:
            body = b'{"version":9,"age":0.0,"objects":[],"removed":[]}'
            await send({"type": "http.response.start", "status": 200})
            await send({"type": "http.response.body", "body": body})

        async def body() -> None:
            client = http.HttpClient("")
            peers = peer_http.HttpPeers(client)
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

    def test_what_is_not_known_is_said(self) -> None:
        store = standin_store.StandinStore()
        store.write(zone_system.KIND, "old", b"{}")
        with pytest.raises(errors.CrowdeckError) as caught:
            self.ask(store, 0, 0.2)
        assert caught.value.code is errors.Code.STORE_HISTORY

    def test_a_lost_store_is_said_at_once(self) -> None:
        store = standin_store.StandinStore()
        store.is_down = True
        with pytest.raises(errors.CrowdeckError) as caught:
            self.ask(store, 0, 5.0)
        assert caught.value.code is errors.Code.STORE_DOWN

    def test_large_changes_are_left_to_the_store(self) -> None:
        sighting = stores.PeerChanges(
            stores.Changes(
                2,
                (
                    stores.StoredObject(
                        zone_system.KIND,
                        "main",
                        2,
                        b'"' + b"x" * peer_http.ANSWER_BYTES_MOST + b'"',
                    ),
                ),
            ),
            0.0,
        )

        class Copy:
            async def changes_since(
                self, after: stores.Position, wait: float
            ) -> stores.PeerChanges:
                return sighting

        async def body() -> None:
            copy = typing.cast(mirrors.Mirror, Copy())
            await peer_http.ask(copy, stores.Position(1), 1.0)

        with pytest.raises(errors.CrowdeckError) as caught:
            anyio.run(body)
        assert caught.value.code is errors.Code.TOO_LARGE
