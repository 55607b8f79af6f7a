# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""A store that comes back from a copy some seconds old.

What users saw: an entry called an instance more than two seconds after it
had said that it leaves; two entries served by a config that had been
replaced more than three seconds before. Nothing was wrong at that moment.

The order of events: entries knew the store up to version 178. It was away for
2.5 s and came back from a copy of version 170. Some entries asked it what
happened after 178, were told that it does not know, and listed all anew.
The others asked those, as entries of a zone do, what happened after 178.
The next config was written at version 172, and they were told: nothing.

The cause: a version was taken for a moment in the one history of a store.
It is one of a life of the store only, and each return begins another.

The evidence: of 29 entries 16 listed the config anew, and all of these had the
next one within 25 ms. All 13 others had none before one was written at
version 183, 8.2 s later.
"""

import random
import typing

import anyio
import anyio.abc
import attrs
import hypothesis
from hypothesis import strategies
import pytest

from crowdeck import errors
from crowdeck import instance as instances
from crowdeck.membership import roster as rosters
from crowdeck.membership import upstreams as registries
from crowdeck.quarantine import fingerprint as fingerprints
from crowdeck.quarantine import tracker as trackers
from crowdeck.standin import store as standin_store
from crowdeck.state import mirror as mirrors
from crowdeck.state import objects as stores
from crowdeck.state import store_health
from tests import fleet_system
from tests import virtual
from tests import zone_system

# A change of the config has to be in force this many seconds after it was
# acknowledged, and a request may be sent just then.
IN_FORCE_SECONDS = 2.0
# For so long the store was away, and so old was its copy.
AWAY_SECONDS = 2.5
COPY_AGE_SECONDS = 4.0


async def come_back_from_copy(
    store: standin_store.StandinStore,
    lost_writes: int = 8,
    away: float = AWAY_SECONDS,
) -> None:
    """Have the store lose its last writes in an outage."""
    backup = store.back_up()
    for number in range(lost_writes):
        await anyio.sleep(COPY_AGE_SECONDS / lost_writes)
        store.write(zone_system.KIND, "main", f"{number}".encode())
    store.is_down = True
    await anyio.sleep(away)
    store.restore(backup)
    store.is_down = False


async def require_known(zone: zone_system.Zone, value: bytes) -> None:
    """Write a value, and have every entry know it in time."""
    zone.store.write(zone_system.KIND, "main", value)
    await anyio.sleep(IN_FORCE_SECONDS)
    known = [one.follower.values.get("main") for one in zone.entries.values()]
    assert known == [value] * len(known)


class TestZone:
    """Entries that read the store through one of them."""

    def test_all_learn_of_changes_after_its_return(self) -> None:
        async def work(zone: zone_system.Zone) -> None:
            for number in range(3):
                await come_back_from_copy(zone.store)
                await anyio.sleep(2.0)
                await require_known(zone, f"new-{number}".encode())

        for count in (1, 2, 5, 14):
            zone_system.play(count, work)

    def test_costs_two_listings_an_entry_at_most(self) -> None:
        async def work(zone: zone_system.Zone) -> None:
            await come_back_from_copy(zone.store)
            await anyio.sleep(5.0)
            assert zone.store.calls["list"] <= 2 * len(zone.entries)
            before = zone.calls
            await anyio.sleep(10.0)
            # Again one entry asks for all.
            assert zone.calls - before <= 10.0 / zone_system.WAIT_SECONDS + 1

        zone_system.play(14, work)

    def test_peer_that_has_missed_it_is_not_believed(self) -> None:
        # The one that all ask is cut off without a word: it goes on to
        # answer from its copy until its own watch fails.
        async def work(zone: zone_system.Zone) -> None:
            backup = zone.store.back_up()
            zone.write()
            await anyio.sleep(0.1)
            zone[0].connection.is_cut = True
            zone.store.restore(backup)
            with pytest.raises(errors.CrowdeckError) as caught:
                await zone[0].mirror.changes_since(stores.Position(1, 1), 0.1)
            assert caught.value.code is errors.Code.STORE_DOWN
            zone[0].connection.is_cut = False
            await anyio.sleep(IN_FORCE_SECONDS)
            await require_known(zone, b"new")

        zone_system.play(5, work)

    def test_long_watches_do_not_hold_it_up(self) -> None:
        # Instances are watched for ten seconds. The first of the zone is
        # asked by one that knows of the return, and the others are told by
        # it that it knows nothing of the epoch before.
        async def work(zone: zone_system.Zone) -> None:
            await anyio.sleep(10.0)
            for _ in range(5):
                zone.write()
            await anyio.sleep(1.0)
            zone.store.restore(standin_store.StandinStore().back_up())
            position = stores.Position(1, zone.store.epoch)
            with pytest.raises(errors.CrowdeckError):
                await zone[0].mirror.changes_since(position, 0.1)
            await anyio.sleep(0.1)
            assert zone[0].mirror.position.epoch == zone.store.epoch
            await require_known(zone, b"new")

        zone_system.play(5, work, 10.0)

    @hypothesis.given(strategies.integers(0, 2**32))
    @hypothesis.settings(max_examples=25, deadline=None, derandomize=True)
    def test_whatever_else_happens_all_know_all_soon_after(
        self, seed: int
    ) -> None:
        async def work(zone: zone_system.Zone) -> None:
            rng = random.Random(seed)
            for _ in range(4):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(_disturb, zone, rng)
                    await _play_restores(zone, rng)
                    tasks.cancel_scope.cancel()
                zone.reconnect()
                # A peer that was silent is left alone for some seconds.
                await anyio.sleep(3.0)
                await require_known(zone, f"new-{seed}".encode())

        zone_system.play(4, work)


async def _play_restores(zone: zone_system.Zone, rng: random.Random) -> None:
    """Write now and then, and go back to a copy of some moment before."""
    backups = [zone.store.back_up()]
    truth: dict[int, float] = {}
    for _ in range(600):
        if rng.random() < 0.03:
            truth[zone.write()] = anyio.current_time()
        if rng.random() < 0.01:
            backups.append(zone.store.back_up())
        if rng.random() < 0.004:
            zone.store.restore(rng.choice(backups))
            # Only what is written from now on may be asked for.
            truth.clear()
        _require_truth(zone, truth)
        await anyio.sleep(0.01)


def _require_truth(zone: zone_system.Zone, truth: dict[int, float]) -> None:
    """Have no copy be older than the moment it was proved for."""
    if not truth:
        return
    newest = max(truth)
    for entry in zone.entries.values():
        current_at = anyio.current_time() - entry.mirror.age()
        if truth[newest] < current_at - 1e-9:
            assert entry.mirror.position.epoch == zone.store.epoch
            assert entry.mirror.position.version >= newest


async def _disturb(zone: zone_system.Zone, rng: random.Random) -> None:
    """Cut entries off, silence, stop and start them anew."""
    while True:
        number = rng.randrange(len(zone.entries))
        what = rng.choice(("is_silent", "is_down", "cut", "store", "anew"))
        if what == "anew":
            zone.restart(number)
        else:
            entry = zone[number]
            target = {"cut": entry.connection, "store": zone.store}.get(
                what, entry
            )
            name = {"cut": "is_cut", "store": "is_down"}.get(what, what)
            setattr(target, name, True)
            await anyio.sleep(rng.uniform(0.1, 2.5))
            setattr(target, name, False)
        await anyio.sleep(rng.uniform(0.0, 1.0))


class TestMirror:
    """One copy of a kind, kept up by its own watch."""

    def test_versions_that_are_given_out_again_hide_nothing(self) -> None:
        # The entry is cut off from the store meanwhile, and comes back when
        # its version has long been another write's.
        async def body() -> None:
            store = standin_store.StandinStore()
            follower = zone_system.RecordingFollower()
            connection = zone_system.StoreConnection(store)
            mirror = mirrors.Mirror(
                connection, zone_system.KIND, follower, 0.8
            )
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(mirror.run)
                backup = store.back_up()
                store.write(zone_system.KIND, "main", b"lost")
                await anyio.sleep(1.0)
                connection.is_cut = True
                await anyio.sleep(1.0)
                store.restore(backup)
                store.write(zone_system.KIND, "first", b"1")
                store.write(zone_system.KIND, "second", b"2")
                connection.is_cut = False
                await anyio.sleep(IN_FORCE_SECONDS)
                assert follower.values == {"first": b"1", "second": b"2"}
                tasks.cancel_scope.cancel()

        virtual.run(body)

    def test_long_watch_is_sent_anew_when_another_meets_the_epoch(
        self,
    ) -> None:
        # A watch for instances waits ten seconds, and the store may go on
        # waiting with it for a version that it gives out again.
        async def body() -> None:
            store = standin_store.StandinStore()
            health = store_health.StoreHealth()
            follower = zone_system.RecordingFollower()
            long = mirrors.Mirror(store, "long", follower, 10.0, health=health)
            short = mirrors.Mirror(
                store,
                "short",
                zone_system.RecordingFollower(),
                0.8,
                health=health,
            )
            async with anyio.create_task_group() as tasks:
                for _ in range(5):
                    store.write("long", "main", b"old")
                tasks.start_soon(long.run)
                tasks.start_soon(short.run)
                await anyio.sleep(1.0)
                store.restore(standin_store.StandinStore().back_up())
                store.write("long", "main", b"new")
                await anyio.sleep(IN_FORCE_SECONDS)
                assert follower.values == {"main": b"new"}
                tasks.cancel_scope.cancel()

        virtual.run(body)


CAUSE = fingerprints.Fingerprint("cause")


class _Fleet:
    """Entries that note themselves and what they know of engines' ends."""

    def __init__(self, tasks: anyio.abc.TaskGroup) -> None:
        self.store = standin_store.StandinStore()
        self.empty = self.store.back_up()
        self.rosters: dict[str, rosters.Roster] = {}
        self.trackers: dict[str, trackers.QuarantineTracker] = {}
        self.lives: dict[str, anyio.CancelScope] = {}
        self._tasks = tasks

    def start(self, name: str, capacity: float) -> None:
        """Start an entry, in place of one of its name."""
        self.stop(name)
        address = instances.Address("10.0.0.1", 7340)
        note = rosters.EntryRecord("plateau", address, capacity)
        quarantine = self.trackers[name] = trackers.QuarantineTracker(
            anyio.current_time
        )
        roster = rosters.Roster(self.store, name, note, quarantine)
        self.rosters[name] = roster
        self._tasks.start_soon(self._live, name, roster)

    async def _live(self, name: str, roster: rosters.Roster) -> None:
        mirror = mirrors.Mirror(self.store, rosters.KIND, roster, 0.8)
        with anyio.CancelScope() as self.lives[name]:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(mirror.run)
                tasks.start_soon(roster.run)

    def stop(self, name: str) -> None:
        """End an entry, if there is one of that name."""
        if name in self.lives:
            self.lives.pop(name).cancel()
            del self.rosters[name], self.trackers[name]

    async def settle(self) -> None:
        """Let all be told to all."""
        await anyio.sleep(IN_FORCE_SECONDS)

    def find_cause(self, name: str) -> None:
        """Have an entry see three engines end under one request."""
        quarantine = self.trackers[name]
        for number in range(3):
            quarantine.note_connection_lost(
                f"e{number}", trackers.AttemptRecord(CAUSE, None)
            )
            quarantine.note_end(f"e{number}")


def play_fleet(
    work: typing.Callable[[_Fleet], typing.Awaitable[None]],
) -> None:
    """Run a test's work with three entries that know one another."""

    async def body() -> None:
        async with anyio.create_task_group() as tasks:
            fleet = _Fleet(tasks)
            for number in range(3):
                fleet.start(f"entry-{number}", 1.0)
            await fleet.settle()
            await work(fleet)
            tasks.cancel_scope.cancel()

    virtual.run(body)


class TestRoster:
    """What entries noted in a store that lost it."""

    def test_lost_note_is_written_again(self) -> None:
        async def work(fleet: _Fleet) -> None:
            fleet.store.restore(fleet.empty)
            await fleet.settle()
            listing = await fleet.store.list(rosters.KIND)
            names = sorted(one.name for one in listing.objects)
            assert names == ["entry-0", "entry-1", "entry-2"]

        play_fleet(work)

    def test_what_was_told_since_the_copy_is_told_again(self) -> None:
        async def work(fleet: _Fleet) -> None:
            backup = fleet.store.back_up()
            fleet.find_cause("entry-0")
            await fleet.settle()
            fleet.store.restore(backup)
            await fleet.settle()
            fleet.start("late", 1.0)
            await fleet.settle()
            assert all(
                one.is_quarantined(CAUSE) for one in fleet.trackers.values()
            )

        play_fleet(work)

    def test_an_older_note_takes_nothing_back(self) -> None:
        # Whoever told it has ended since, and tells it to nobody again.
        async def work(fleet: _Fleet) -> None:
            backup = fleet.store.back_up()
            fleet.find_cause("entry-0")
            await fleet.settle()
            fleet.stop("entry-0")
            fleet.store.restore(backup)
            await fleet.settle()
            assert all(
                one.is_quarantined(CAUSE) for one in fleet.trackers.values()
            )

        play_fleet(work)

    def test_new_notes_of_lower_versions_are_taken(self) -> None:
        async def work(fleet: _Fleet) -> None:
            for number in range(50):
                fleet.store.write("other", f"o{number}", b"1")
            fleet.start("late", 1.0)
            await fleet.settle()
            fleet.store.restore(fleet.empty)
            await fleet.settle()
            fleet.start("late", 7.0)
            await fleet.settle()
            first = [one.ranking()[0].name for one in fleet.rosters.values()]
            assert set(first) == {"late"}

        play_fleet(work)

    def test_calm_notes_cost_no_call(self) -> None:
        async def work(fleet: _Fleet) -> None:
            puts = fleet.store.calls["put"]
            await fleet.settle()
            assert fleet.store.calls["put"] == puts == 3

        play_fleet(work)


class TestBook:
    """Instances whose entries are older than what is known of them."""

    def test_instance_that_leaves_is_not_used_for_an_old_entry(self) -> None:
        async def body() -> None:
            system = fleet_system.FleetSystem()
            one = fleet_system.upstream("a")
            system.add(one)
            system.list_instance(attrs.evolve(one, is_leaving=True))
            system.listed["a"] = one
            old = stores.StoredObject("upstreams", "a", 1, b"{}")
            system.registry.on_listed((old,))
            assert system.registry.usable(one.service) == ()
            await anyio.sleep(registries.LAST_WORK_SECONDS)
            assert system.registry.usable_while_leaving(one.service) == ()
            # What it writes itself from then on is believed.
            system.list_instance(one)
            assert system.registry.usable(one.service) == (one,)

        virtual.run(body)

    def test_another_run_of_its_name_is_used(self) -> None:
        async def body() -> None:
            system = fleet_system.FleetSystem()
            one = attrs.evolve(fleet_system.upstream("a"), is_leaving=True)
            system.add(one)
            again = attrs.evolve(
                one, name="a#7", started_ms=7, is_leaving=False
            )
            again = attrs.evolve(again, instance_id="a")
            system.listed["a"] = again
            entry = stores.StoredObject("upstreams", "a", 2, b"{}")
            system.registry.on_listed((entry,))
            assert system.registry.usable(one.service) == (again,)

        virtual.run(body)

    def test_missing_entry_may_only_have_been_lost(self) -> None:
        # An instance that began after the copy was made writes its entry
        # again, though no call of this process failed.
        async def body() -> None:
            store = standin_store.StandinStore()
            health = store_health.StoreHealth()
            listed = {"a": fleet_system.upstream("a")}
            registry = registries.UpstreamRegistry(
                lambda one: listed[one.name]
            )
            registry.set_store_failure_source(lambda: health.failed_at)
            mirror = mirrors.Mirror(
                store, "upstreams", registry, 0.8, health=health
            )
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(mirror.run)
                await anyio.sleep(0.1)
                backup = store.back_up()
                store.write("upstreams", "a", b"{}")
                await anyio.sleep(1.0)
                store.restore(backup)
                await anyio.sleep(1.0)
                assert [one.name for one in registry.listed("assistant")] == [
                    "a"
                ]
                tasks.cancel_scope.cancel()

        virtual.run(body)
