# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""A store that is restored from a backup some seconds old.

It assigns the versions of its lost writes again. An entry that asks a peer for
the changes since such a version must notice the new epoch, or it misses all
changes until the store has passed that version again.
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
from crowdeck.membership import leaving_instances
from crowdeck.membership import roster as rosters
from crowdeck.membership import upstreams as registries
from crowdeck.quarantine import fingerprint
from crowdeck.quarantine import tracker as trackers
from crowdeck.standin import store as standin_store
from crowdeck.state import mirror as mirrors
from crowdeck.state import objects as stores
from crowdeck.state import store_health
from tests import fleet_system
from tests import virtual
from tests import zone_system

# Every entry has to know a change this long after the store acknowledged it.
IN_FORCE_SECONDS = 2.0
# Length of the store's outage, and age of the backup.
OUTAGE_SECONDS = 2.5
BACKUP_AGE_SECONDS = 4.0


async def restore_from_backup(
    store: standin_store.StandinStore,
    lost_writes: int = 8,
    outage_seconds: float = OUTAGE_SECONDS,
) -> None:
    """Restore the store after an outage, without its last writes."""
    backup = store.back_up()
    for number in range(lost_writes):
        await anyio.sleep(BACKUP_AGE_SECONDS / lost_writes)
        store.write(zone_system.KIND, "main", f"{number}".encode())
    store.is_down = True
    await anyio.sleep(outage_seconds)
    store.restore(backup)
    store.is_down = False


async def write_and_check_known(zone: zone_system.Zone, value: bytes) -> None:
    """Write a value, and check that every entry knows it in time."""
    zone.store.write(zone_system.KIND, "main", value)
    await anyio.sleep(IN_FORCE_SECONDS)
    known_values = [
        entry.listener.values.get("main") for entry in zone.entries.values()
    ]
    assert known_values == [value] * len(known_values)


class TestZone:
    """Entries that read the store through one of them."""

    def test_all_entries_see_changes_after_a_restore(self) -> None:
        async def work(zone: zone_system.Zone) -> None:
            for number in range(3):
                await restore_from_backup(zone.store)
                await anyio.sleep(2.0)
                await write_and_check_known(zone, f"new-{number}".encode())

        for count in (1, 2, 5, 14):
            zone_system.run_scenario(count, work)

    def test_restore_costs_two_listings_per_entry_at_most(self) -> None:
        async def work(zone: zone_system.Zone) -> None:
            await restore_from_backup(zone.store)
            await anyio.sleep(5.0)
            assert zone.store.calls["list"] <= 2 * len(zone.entries)
            before = zone.calls
            await anyio.sleep(10.0)
            # One entry watches the store for all of them again.
            assert zone.calls - before <= 10.0 / zone_system.WAIT_SECONDS + 1

        zone_system.run_scenario(14, work)

    def test_peer_that_missed_the_restore_is_not_trusted(self) -> None:
        # The peer that all entries ask is cut off without noticing it, and
        # answers from its copy until its own watch fails.
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
            await write_and_check_known(zone, b"new")

        zone_system.run_scenario(5, work)

    def test_long_watches_do_not_delay_changes(self) -> None:
        # A watch lasts ten seconds. The first entry learns of the new epoch
        # from a peer's question, and must not answer it before it knows that
        # epoch.
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
            await write_and_check_known(zone, b"new")

        zone_system.run_scenario(5, work, 10.0)

    @hypothesis.given(strategies.integers(0, 2**32))
    @hypothesis.settings(max_examples=25, deadline=None, derandomize=True)
    def test_all_entries_recover_from_random_faults(self, seed: int) -> None:
        async def work(zone: zone_system.Zone) -> None:
            rng = random.Random(seed)
            for _ in range(4):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(_inject_faults, zone, rng)
                    await _write_and_restore(zone, rng)
                    tasks.cancel_scope.cancel()
                zone.end_faults()
                # A peer that did not answer is not asked for some seconds.
                await anyio.sleep(3.0)
                await write_and_check_known(zone, f"new-{seed}".encode())

        zone_system.run_scenario(4, work)


async def _write_and_restore(
    zone: zone_system.Zone, rng: random.Random
) -> None:
    """Write at random, and restore the store from earlier backups."""
    backups = [zone.store.back_up()]
    written_at: dict[int, float] = {}
    for _ in range(600):
        if rng.random() < 0.03:
            written_at[zone.write()] = anyio.current_time()
        if rng.random() < 0.01:
            backups.append(zone.store.back_up())
        if rng.random() < 0.004:
            zone.store.restore(rng.choice(backups))
            # The restore may have lost the earlier writes.
            written_at.clear()
        _check_ages(zone, written_at)
        await anyio.sleep(0.01)


def _check_ages(zone: zone_system.Zone, written_at: dict[int, float]) -> None:
    """Check that no copy lacks a write from before its confirmation."""
    if not written_at:
        return
    newest = max(written_at)
    for entry in zone.entries.values():
        current_at = anyio.current_time() - entry.mirror.age()
        if written_at[newest] < current_at - 1e-9:
            assert entry.mirror.position.epoch == zone.store.epoch
            assert entry.mirror.position.version >= newest


async def _inject_faults(zone: zone_system.Zone, rng: random.Random) -> None:
    """Cut entries off, make them or the store silent, and restart them."""
    while True:
        number = rng.randrange(len(zone.entries))
        fault = rng.choice(("is_silent", "is_down", "cut", "store", "restart"))
        if fault == "restart":
            zone.restart(number)
        else:
            entry = zone[number]
            target = {"cut": entry.connection, "store": zone.store}.get(
                fault, entry
            )
            name = {"cut": "is_cut", "store": "is_down"}.get(fault, fault)
            setattr(target, name, True)
            await anyio.sleep(rng.uniform(0.1, 2.5))
            setattr(target, name, False)
        await anyio.sleep(rng.uniform(0.0, 1.0))


class TestMirror:
    """A mirror that watches the store itself."""

    def test_reassigned_versions_hide_no_changes(self) -> None:
        # The entry is cut off during the restore, and reconnects when its
        # version has been assigned to another write.
        async def body() -> None:
            store = standin_store.StandinStore()
            listener = zone_system.RecordingListener()
            connection = zone_system.StoreConnection(store)
            mirror = mirrors.Mirror(
                connection, zone_system.KIND, listener, 0.8
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
                assert listener.values == {"first": b"1", "second": b"2"}
                tasks.cancel_scope.cancel()

        virtual.run(body)

    def test_long_watch_is_sent_again_in_a_new_epoch(
        self,
    ) -> None:
        # The store may keep the long watch waiting for a version that it
        # assigns again.
        async def body() -> None:
            store = standin_store.StandinStore()
            health = store_health.StoreHealth()
            listener = zone_system.RecordingListener()
            long = mirrors.Mirror(store, "long", listener, 10.0, health=health)
            short = mirrors.Mirror(
                store,
                "short",
                zone_system.RecordingListener(),
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
                assert listener.values == {"main": b"new"}
                tasks.cancel_scope.cancel()

        virtual.run(body)


CAUSE = fingerprint.parse_content("cause")


class _Fleet:
    """Entries that store records of themselves and of failed engines."""

    def __init__(self, tasks: anyio.abc.TaskGroup) -> None:
        self.store = standin_store.StandinStore()
        self.empty_backup = self.store.back_up()
        self.rosters: dict[str, rosters.Roster] = {}
        self.trackers: dict[str, trackers.QuarantineTracker] = {}
        self.scopes: dict[str, anyio.CancelScope] = {}
        self._tasks = tasks

    def start(self, name: str, capacity: float) -> None:
        """Start an entry, replacing any other of its name."""
        self.stop(name)
        address = instances.Address("10.0.0.1", 7340)
        record = rosters.EntryRecord("plateau", address, capacity)
        quarantine = self.trackers[name] = trackers.QuarantineTracker(
            anyio.current_time
        )
        roster = rosters.Roster(self.store, name, record, quarantine)
        self.rosters[name] = roster
        self._tasks.start_soon(self._run_entry, name, roster)

    async def _run_entry(self, name: str, roster: rosters.Roster) -> None:
        mirror = mirrors.Mirror(self.store, rosters.KIND, roster, 0.8)
        with anyio.CancelScope() as self.scopes[name]:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(mirror.run)
                tasks.start_soon(roster.run)

    def stop(self, name: str) -> None:
        """Stop the entry of a name, if there is one."""
        if name in self.scopes:
            self.scopes.pop(name).cancel()
            del self.rosters[name], self.trackers[name]

    async def settle(self) -> None:
        """Wait until every entry knows all records."""
        await anyio.sleep(IN_FORCE_SECONDS)

    def report_crashes(self, name: str) -> None:
        """Report three crashes during the same request to one entry."""
        quarantine = self.trackers[name]
        for number in range(3):
            quarantine.note_connection_lost(
                f"e{number}", trackers.AttemptRecord(CAUSE, None)
            )
            quarantine.note_end(f"e{number}")


def run_with_fleet(
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
    """Records of entries that the store has lost."""

    def test_lost_record_is_written_again(self) -> None:
        async def work(fleet: _Fleet) -> None:
            fleet.store.restore(fleet.empty_backup)
            await fleet.settle()
            listing = await fleet.store.list(rosters.KIND)
            names = sorted(stored.name for stored in listing.objects)
            assert names == ["entry-0", "entry-1", "entry-2"]

        run_with_fleet(work)

    def test_evidence_since_the_backup_is_written_again(self) -> None:
        async def work(fleet: _Fleet) -> None:
            backup = fleet.store.back_up()
            fleet.report_crashes("entry-0")
            await fleet.settle()
            fleet.store.restore(backup)
            await fleet.settle()
            fleet.start("late", 1.0)
            await fleet.settle()
            assert all(
                tracker.is_quarantined(CAUSE)
                for tracker in fleet.trackers.values()
            )

        run_with_fleet(work)

    def test_older_record_does_not_end_a_quarantine(self) -> None:
        # The entry that found the cause has stopped, so it cannot write its
        # evidence again.
        async def work(fleet: _Fleet) -> None:
            backup = fleet.store.back_up()
            fleet.report_crashes("entry-0")
            await fleet.settle()
            fleet.stop("entry-0")
            fleet.store.restore(backup)
            await fleet.settle()
            assert all(
                tracker.is_quarantined(CAUSE)
                for tracker in fleet.trackers.values()
            )

        run_with_fleet(work)

    def test_new_records_with_lower_versions_are_applied(self) -> None:
        async def work(fleet: _Fleet) -> None:
            for number in range(50):
                fleet.store.write("other", f"o{number}", b"1")
            fleet.start("late", 1.0)
            await fleet.settle()
            fleet.store.restore(fleet.empty_backup)
            await fleet.settle()
            fleet.start("late", 7.0)
            await fleet.settle()
            first = [
                roster.ranking()[0].name for roster in fleet.rosters.values()
            ]
            assert set(first) == {"late"}

        run_with_fleet(work)

    def test_unchanged_records_cost_no_write(self) -> None:
        async def work(fleet: _Fleet) -> None:
            puts = fleet.store.calls["put"]
            await fleet.settle()
            assert fleet.store.calls["put"] == puts == 3

        run_with_fleet(work)


class TestUpstreamRegistry:
    """Instances whose records in the store are older than what is known."""

    def test_old_record_does_not_revive_a_leaving_instance(self) -> None:
        async def body() -> None:
            system = fleet_system.FleetSystem()
            instance = fleet_system.upstream("a")
            system.add(instance)
            system.list_instance(attrs.evolve(instance, is_leaving=True))
            system.listed["a"] = instance
            old = stores.StoredObject("upstreams", "a", 1, b"{}")
            system.registry.on_listed((old,))
            assert system.registry.usable(instance.service) == ()
            await anyio.sleep(leaving_instances.LEAVING_GRACE_SECONDS)
            assert system.registry.usable_while_leaving(instance.service) == ()
            # A record that it writes later is trusted.
            system.list_instance(instance)
            assert system.registry.usable(instance.service) == (instance,)

        virtual.run(body)

    def test_new_run_of_the_same_name_is_used(self) -> None:
        async def body() -> None:
            system = fleet_system.FleetSystem()
            instance = attrs.evolve(
                fleet_system.upstream("a"), is_leaving=True
            )
            system.add(instance)
            new_run = attrs.evolve(
                instance, name="a#7", started_ms=7, is_leaving=False
            )
            new_run = attrs.evolve(new_run, instance_id="a")
            system.listed["a"] = new_run
            record = stores.StoredObject("upstreams", "a", 2, b"{}")
            system.registry.on_listed((record,))
            assert system.registry.usable(instance.service) == (new_run,)

        virtual.run(body)

    def test_instance_whose_record_was_lost_is_kept(self) -> None:
        # An instance that started after the backup has to write its record
        # again, although no call of this process failed.
        async def body() -> None:
            store = standin_store.StandinStore()
            health = store_health.StoreHealth()
            listed = {"a": fleet_system.upstream("a")}
            registry = registries.UpstreamRegistry(
                lambda stored: listed[stored.name]
            )
            registry.set_store_failure_source(lambda: health.disrupted_at)
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
                assert [
                    instance.name for instance in registry.listed("assistant")
                ] == ["a"]
                tasks.cancel_scope.cancel()

        virtual.run(body)
