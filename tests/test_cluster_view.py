# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""An entry's view of the cluster: store mirrors, upstreams and entries."""

import anyio
import attrs
import pytest

from crowdeck import errors
from crowdeck.membership import leaving_instances
from crowdeck.membership import roster as rosters
from crowdeck.membership import upstreams as registries
from crowdeck.standin import store as standin_store
from crowdeck.state import mirror as mirrors
from crowdeck.state import objects as stores
from crowdeck.state import store_health
from tests import fleet_system
from tests import virtual


class _Listener:
    """Records what a mirror reports."""

    def __init__(self) -> None:
        self.values: dict[str, bytes] = {}
        self.listings = 0

    def on_listed(self, objects: tuple[stores.StoredObject, ...]) -> None:
        self.listings += 1
        self.values = {stored.name: stored.value for stored in objects}

    def on_changed(
        self,
        objects: tuple[stores.StoredObject, ...],
        removed: tuple[str, ...],
    ) -> None:
        self.values.update((stored.name, stored.value) for stored in objects)
        for name in removed:
            self.values.pop(name, None)


class TestMirror:
    """A mirror of one kind of object, through outages of the store."""

    def run_scenario(self, work: object, linger_seconds: float = 0.0) -> None:
        async def body() -> None:
            store = standin_store.StandinStore()
            listener = _Listener()
            mirror = mirrors.Mirror(
                store, "k", listener, 1.5, lambda: linger_seconds
            )
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(mirror.run)
                await work(store, listener, mirror)  # type: ignore[operator]
                tasks.cancel_scope.cancel()

        virtual.run(body)

    def test_follows_writes_and_removals(self) -> None:
        async def work(
            store: standin_store.StandinStore,
            listener: _Listener,
            mirror: mirrors.Mirror,
        ) -> None:
            store.write("k", "a", b"1")
            await anyio.sleep(0.1)
            store.write("k", "a", b"2")
            store.write("k", "b", b"3")
            await anyio.sleep(0.1)
            assert listener.values == {"a": b"2", "b": b"3"}
            store.remove("k", "a")
            await anyio.sleep(0.1)
            assert listener.values == {"b": b"3"}
            assert listener.listings == 1

        self.run_scenario(work)

    def test_lists_again_when_the_history_is_lost(self) -> None:
        async def work(
            store: standin_store.StandinStore,
            listener: _Listener,
            mirror: mirrors.Mirror,
        ) -> None:
            store.write("k", "a", b"1")
            await anyio.sleep(0.1)
            store.is_down = True
            await anyio.sleep(1.0)
            store.write("k", "b", b"2")
            store.remove("k", "a")
            store.forget_history()
            store.is_down = False
            await anyio.sleep(2.5)
            assert listener.values == {"b": b"2"}
            assert listener.listings == 2

        self.run_scenario(work)

    def test_age_grows_only_while_the_store_is_down(self) -> None:
        async def work(
            store: standin_store.StandinStore,
            listener: _Listener,
            mirror: mirrors.Mirror,
        ) -> None:
            for _ in range(100):
                await anyio.sleep(0.1)
                assert mirror.age() < 1.6
            store.is_down = True
            await anyio.sleep(4.0)
            assert mirror.age() > 3.9
            store.is_down = False
            # The copy is current once another watch has been answered.
            await anyio.sleep(2.0)
            assert mirror.age() < 2.0

        self.run_scenario(work)

    def test_mirror_is_only_as_current_as_the_time_of_its_request(
        self,
    ) -> None:
        async def work(
            store: standin_store.StandinStore,
            listener: _Listener,
            mirror: mirrors.Mirror,
        ) -> None:
            await anyio.sleep(0.1)
            await anyio.sleep(1.0)
            store.write("k", "a", b"1")
            await anyio.sleep(0.01)
            # The watch was sent about a second ago.
            assert mirror.age() > 1.0

        self.run_scenario(work)

    def test_waits_between_watches(self) -> None:
        async def work(
            store: standin_store.StandinStore,
            listener: _Listener,
            mirror: mirrors.Mirror,
        ) -> None:
            await anyio.sleep(0.1)
            calls_before = store.calls["watch"]
            for number in range(20):
                store.write("k", f"o{number}", b"1")
                await anyio.sleep(0.02)
            await anyio.sleep(0.3)
            assert len(listener.values) == 20
            assert store.calls["watch"] - calls_before <= 5

        self.run_scenario(work, linger_seconds=0.2)


class TestStoreHealth:
    """Two mirrors of one process, while the store does not answer.

    ``work`` gets the listener of the mirror that waits long for changes.
    """

    def run_scenario(self, work: object) -> None:
        async def body() -> None:
            store = standin_store.StandinStore()
            health = store_health.StoreHealth()
            config_listener, listener = _Listener(), _Listener()
            config = mirrors.Mirror(
                store, "config", config_listener, 2.0, lambda: 0.0, health
            )
            entries = mirrors.Mirror(
                store, "entries", listener, 10.0, lambda: 0.0, health
            )
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(config.run)
                tasks.start_soon(entries.run)
                await anyio.sleep(1.0)
                await work(store, listener, config)  # type: ignore[operator]
                tasks.cancel_scope.cancel()

        virtual.run(body)

    def test_unanswered_watch_is_sent_again(self) -> None:
        # Otherwise a long watch would miss changes until its own timeout.
        async def work(
            store: standin_store.StandinStore,
            listener: _Listener,
            config: mirrors.Mirror,
        ) -> None:
            store.stop_answering()
            await anyio.sleep(2.9)
            store.resume_answering()
            store.write("entries", "leaving", b"1")
            await anyio.sleep(1.5)
            assert listener.values == {"leaving": b"1"}

        self.run_scenario(work)

    def test_short_silence_between_calls_is_noticed(self) -> None:
        async def work(
            store: standin_store.StandinStore,
            listener: _Listener,
            config: mirrors.Mirror,
        ) -> None:
            store.stop_answering()
            await anyio.sleep(0.2)
            store.resume_answering()
            store.write("entries", "leaving", b"1")
            await anyio.sleep(2.6)
            assert listener.values == {"leaving": b"1"}

        self.run_scenario(work)

    def test_copy_is_current_soon_after_the_silence(self) -> None:
        # The first watch afterwards must not wait for a change.
        async def work(
            store: standin_store.StandinStore,
            listener: _Listener,
            config: mirrors.Mirror,
        ) -> None:
            store.stop_answering()
            await anyio.sleep(5.0)
            assert config.age() > 4.9
            store.resume_answering()
            await anyio.sleep(1.0)
            assert config.age() < 0.9

        self.run_scenario(work)

    def test_mirrors_share_retries_while_the_store_is_down(self) -> None:
        async def work(
            store: standin_store.StandinStore,
            listener: _Listener,
            config: mirrors.Mirror,
        ) -> None:
            store.is_down = True
            await anyio.sleep(3.0)
            calls_before = store.calls.total()
            await anyio.sleep(3.0)
            assert 5 <= store.calls.total() - calls_before <= 10

        self.run_scenario(work)

    def test_cancelled_retry_does_not_block_the_others(self) -> None:
        # Otherwise all other calls would wait without end for the cancelled
        # one.
        async def body() -> None:
            health = store_health.StoreHealth()
            await health.record_failure("lost", was_probe=False)
            permits: list[store_health.CallPermit] = []

            async def hang(scope: anyio.CancelScope) -> None:
                with scope:
                    async with health.permit():
                        await anyio.sleep_forever()

            async def wait() -> None:
                async with health.permit() as permit:
                    permits.append(permit)
                    health.record_success()

            scope = anyio.CancelScope()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(hang, scope)
                await anyio.sleep(0.1)
                tasks.start_soon(wait)
                await anyio.sleep(0.1)
                assert permits == []
                scope.cancel()
                with anyio.fail_after(1.0):
                    while not permits:
                        await anyio.sleep(0.01)
            assert permits == [store_health.CallPermit.PROBE]
            assert not health.is_lost

        virtual.run(body)

    def test_kind_that_always_fails_does_not_block_the_others(self) -> None:
        async def work(
            store: standin_store.StandinStore,
            listener: _Listener,
            config: mirrors.Mirror,
        ) -> None:
            watch = store.watch

            async def watch_or_fail(
                kind: str, after: int, wait_seconds: float
            ) -> stores.Changes:
                if kind == "config":
                    raise errors.CrowdeckError(
                        errors.Code.STORE_DOWN, "an answer is malformed"
                    )
                return await watch(kind, after, wait_seconds)

            store.watch = watch_or_fail  # type: ignore[method-assign]
            await anyio.sleep(3.0)
            store.write("entries", "leaving", b"1")
            await anyio.sleep(1.0)
            assert listener.values == {"leaving": b"1"}

        self.run_scenario(work)


def make_registry() -> tuple[registries.UpstreamRegistry, dict[str, object]]:
    instances_by_record: dict[str, object] = {}
    registry = registries.UpstreamRegistry(
        lambda stored: instances_by_record[  # type: ignore[return-value]
            stored.name
        ]
    )
    return registry, instances_by_record


def stored_record(name: str, version: int = 1) -> stores.StoredObject:
    return stores.StoredObject("upstreams", name, version, b"{}")


def apply_record(
    registry: registries.UpstreamRegistry,
    instances_by_record: dict[str, object],
    name: str,
    version: int = 1,
) -> None:
    instances_by_record[name] = instances_by_record.get(
        name
    ) or fleet_system.upstream(name)
    registry.on_changed((stored_record(name, version),), ())


def usable_names(registry: registries.UpstreamRegistry) -> set[str]:
    return {upstream.name for upstream in registry.usable(fleet_system.MODEL)}


class TestUpstreamRegistry:
    """Upstream instances that get new work, and those that do not."""

    def test_leaving_instances_get_no_work(self) -> None:
        async def body() -> None:
            registry, instances_by_record = make_registry()
            apply_record(registry, instances_by_record, "a")
            apply_record(registry, instances_by_record, "b")
            instances_by_record["a"] = attrs.evolve(
                fleet_system.upstream("a"), is_leaving=True
            )
            apply_record(registry, instances_by_record, "a")
            assert usable_names(registry) == {"b"}

        virtual.run(body)

    def test_failed_instances_are_avoided_longer_each_time(self) -> None:
        # A plain service: those are not probed.
        async def body() -> None:
            registry, instances_by_record = make_registry()
            instances_by_record["a"] = fleet_system.upstream("a", card="")
            apply_record(registry, instances_by_record, "a")
            pause_seconds = []
            for _ in range(4):
                registry.avoid("a", "refused")
                began = anyio.current_time()
                while not usable_names(registry):
                    await anyio.sleep(0.1)
                pause_seconds.append(round(anyio.current_time() - began, 2))
            assert pause_seconds == sorted(pause_seconds)
            assert pause_seconds[-1] >= 4 * pause_seconds[0]
            registry.note_healthy("a")
            registry.avoid("a", "refused")
            await anyio.sleep(registries.AVOID_SECONDS + 0.1)
            assert usable_names(registry) == {"a"}

        virtual.run(body)

    def test_failed_engines_are_probed_later_each_time(self) -> None:
        # No stream should fail only to find out whether an engine works again.
        async def body() -> None:
            registry, instances_by_record = make_registry()
            apply_record(registry, instances_by_record, "a")
            pause_seconds = []
            for _ in range(4):
                registry.avoid("a", "refused")
                began = anyio.current_time()
                while not registry.due_for_probe():
                    assert usable_names(registry) == set()
                    await anyio.sleep(0.1)
                pause_seconds.append(round(anyio.current_time() - began, 2))
            assert pause_seconds == sorted(pause_seconds)
            assert pause_seconds[-1] >= 4 * pause_seconds[0]
            assert usable_names(registry) == set()
            registry.note_healthy("a")
            assert usable_names(registry) == {"a"}

        virtual.run(body)

    def test_probe_without_result_is_repeated_soon(self) -> None:
        # A probe has no result while this entry's own network link is full.
        async def body() -> None:
            registry, instances_by_record = make_registry()
            apply_record(registry, instances_by_record, "a")
            registry.avoid("a", "refused")
            await anyio.sleep(registries.AVOID_SECONDS + 0.1)
            assert [
                upstream.name for upstream in registry.due_for_probe()
            ] == ["a"]
            assert registry.due_for_probe() == ()
            await anyio.sleep(registries.REPROBE_SECONDS + 0.01)
            assert [
                upstream.name for upstream in registry.due_for_probe()
            ] == ["a"]

        virtual.run(body)

    def test_instances_are_paused_longer_at_each_refusal(self) -> None:
        async def body() -> None:
            registry, instances_by_record = make_registry()
            apply_record(registry, instances_by_record, "a")
            pause_seconds = []
            for _ in range(4):
                registry.pause(
                    "a", registries.REFUSAL_BACKOFF_SECONDS, "refused with 503"
                )
                began = anyio.current_time()
                while not usable_names(registry):
                    await anyio.sleep(0.05)
                pause_seconds.append(round(anyio.current_time() - began, 2))
            assert pause_seconds[-1] >= 3 * pause_seconds[0]
            await anyio.sleep(registries.REFUSAL_RESET_SECONDS + 0.1)
            registry.pause(
                "a", registries.REFUSAL_BACKOFF_SECONDS, "refused with 503"
            )
            await anyio.sleep(registries.REFUSAL_BACKOFF_SECONDS + 0.05)
            assert usable_names(registry) == {"a"}

        virtual.run(body)

    def test_loss_found_during_a_pause_outlasts_it(self) -> None:
        async def body() -> None:
            registry, instances_by_record = make_registry()
            apply_record(registry, instances_by_record, "a")
            registry.pause("a", 2.0, "refused with 503")
            registry.avoid("a", "nobody listens", is_found_lost=True)
            assert registry.found_lost() == ("a",)
            await anyio.sleep(1.9)
            assert not registry.due_for_probe()
            await anyio.sleep(0.2)
            assert not registry.is_usable("a")
            assert registry.due_for_probe()
            registry.note_healthy("a")
            assert not registry.found_lost()

        virtual.run(body)

    def test_removed_record_is_dropped_at_once_without_an_outage(self) -> None:
        async def body() -> None:
            registry, instances_by_record = make_registry()
            apply_record(registry, instances_by_record, "a")
            registry.on_changed((), ("a",))
            assert usable_names(registry) == set()

        virtual.run(body)

    def test_lapsed_engine_is_used_once_it_is_healthy(self) -> None:
        async def body() -> None:
            registry, instances_by_record = make_registry()
            registry.set_store_failure_source(anyio.current_time)
            lapsed: list[str] = []
            registry.subscribe_lapses(
                lambda upstream: lapsed.append(upstream.name)
            )
            apply_record(registry, instances_by_record, "a")
            apply_record(registry, instances_by_record, "b")
            registry.on_listed(())
            assert lapsed == ["a", "b"]
            assert usable_names(registry) == set()
            registry.note_healthy("a")
            assert usable_names(registry) == {"a"}
            # The record was not written again in time.
            await anyio.sleep(leaving_instances.LAPSE_SECONDS + 0.1)
            assert usable_names(registry) == set()

        virtual.run(body)

    @pytest.mark.parametrize("card", ["", "large"])
    def test_instance_that_left_unannounced_gets_no_work_after_two_seconds(
        self, card: str
    ) -> None:
        # Also if its record seemed to have lapsed after a failed store call.
        async def body() -> None:
            registry, instances_by_record = make_registry()
            registry.set_store_failure_source(anyio.current_time)
            instances_by_record["a"] = fleet_system.upstream("a", card=card)
            apply_record(registry, instances_by_record, "a")
            registry.on_changed((), ("a",))
            registry.note_healthy("a")
            assert usable_names(registry) == {"a"}
            await anyio.sleep(1.9)
            assert usable_names(registry) == set()

        virtual.run(body)

    def test_lapsed_record_that_comes_back_is_used_at_once(self) -> None:
        async def body() -> None:
            registry, instances_by_record = make_registry()
            registry.set_store_failure_source(anyio.current_time)
            apply_record(registry, instances_by_record, "a")
            registry.on_listed(())
            apply_record(registry, instances_by_record, "a")
            assert usable_names(registry) == {"a"}
            await anyio.sleep(leaving_instances.LAPSE_SECONDS + 0.1)
            assert usable_names(registry) == {"a"}

        virtual.run(body)

    def test_leaving_instances_may_get_work_for_a_while(self) -> None:
        async def body() -> None:
            registry, instances_by_record = make_registry()
            apply_record(registry, instances_by_record, "a")
            instances_by_record["a"] = attrs.evolve(
                fleet_system.upstream("a"), is_leaving=True
            )
            apply_record(registry, instances_by_record, "a")
            service = fleet_system.MODEL
            assert [
                upstream.name
                for upstream in registry.usable_while_leaving(service)
            ] == ["a"]
            # Well before two seconds, after which no work may reach it.
            await anyio.sleep(leaving_instances.LEAVING_GRACE_SECONDS + 0.01)
            assert registry.usable_while_leaving(service) == ()
            assert leaving_instances.LEAVING_GRACE_SECONDS <= 1.0

        virtual.run(body)

    def test_instance_at_a_reused_address_replaces_the_former(self) -> None:
        # The record of an engine that crashed while the store was down stays,
        # and the engine at the same address refuses requests for the former.
        async def body() -> None:
            registry, instances_by_record = make_registry()
            apply_record(registry, instances_by_record, "former")
            instances_by_record["after"] = attrs.evolve(
                fleet_system.upstream("former"), name="after"
            )
            apply_record(registry, instances_by_record, "after", version=2)
            assert usable_names(registry) == {"after"}
            assert registry.has_ended("former")

        virtual.run(body)

    def test_newest_at_an_address_is_kept_in_any_order(self) -> None:
        async def body() -> None:
            former = fleet_system.upstream("former")
            successor = attrs.evolve(former, name="after")
            records = (stored_record("former", 1), stored_record("after", 2))
            for order in (records, records[::-1]):
                registry, instances_by_record = make_registry()
                instances_by_record.update(former=former, after=successor)
                registry.on_listed(order)
                assert usable_names(registry) == {"after"}

        virtual.run(body)


class TestRoster:
    """The number of entries, among which limits are shared."""

    def test_counts_entries_by_zone(self) -> None:
        async def body() -> None:
            store = standin_store.StandinStore()
            entry_rosters = [
                rosters.Roster(
                    store, f"entry-{number}", rosters.EntryRecord(zone)
                )
                for number, zone in enumerate(("a", "a", "b"))
            ]
            for roster in entry_rosters:
                await roster.register()
            changes = await store.list(rosters.KIND)
            entry_rosters[0].on_listed(changes.objects)
            assert entry_rosters[0].known_entry_count == 3
            assert entry_rosters[0].zone_count == 2

        virtual.run(body)

    def test_many_entries_linger_longer_within_bounds(self) -> None:
        async def body() -> None:
            store = standin_store.StandinStore()
            roster = rosters.Roster(store, "entry-0", rosters.EntryRecord("a"))
            alone = roster.linger_seconds()
            for number in range(400):
                name = f"entry-{number}"
                await rosters.Roster(
                    store, name, rosters.EntryRecord("a")
                ).register()
            changes = await store.list(rosters.KIND)
            roster.on_listed(changes.objects)
            assert alone < roster.linger_seconds() <= 0.6

        virtual.run(body)

    def test_registers_through_an_outage_and_once_per_name(self) -> None:
        async def body() -> None:
            store = standin_store.StandinStore()
            store.is_down = True
            roster = rosters.Roster(store, "entry-0", rosters.EntryRecord("a"))
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(roster.register)
                await anyio.sleep(3.0)
                store.is_down = False
            await rosters.Roster(
                store, "entry-0", rosters.EntryRecord("a")
            ).register()
            changes = await store.list(rosters.KIND)
            assert len(changes.objects) == 1

        virtual.run(body)
