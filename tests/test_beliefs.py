# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""What an entry believes: mirrors of the store, upstreams, the roster."""

import anyio
import attrs
import pytest

from crowdeck import errors
from crowdeck.membership import roster as rosters
from crowdeck.membership import upstreams as registries
from crowdeck.standin import store as standin_store
from crowdeck.state import mirror as mirrors
from crowdeck.state import objects as stores
from crowdeck.state import store_health
from tests import fleet_system
from tests import virtual


class _Follower:
    """Keeps what it is told."""

    def __init__(self) -> None:
        self.values: dict[str, bytes] = {}
        self.listings = 0

    def on_listed(self, objects: tuple[stores.StoredObject, ...]) -> None:
        self.listings += 1
        self.values = {one.name: one.value for one in objects}

    def on_changed(
        self,
        objects: tuple[stores.StoredObject, ...],
        removed: tuple[str, ...],
    ) -> None:
        self.values.update((one.name, one.value) for one in objects)
        for name in removed:
            self.values.pop(name, None)


class TestMirror:
    """A copy of a kind, through outages."""

    def play(self, work: object, linger: float = 0.0) -> None:
        async def body() -> None:
            store = standin_store.StandinStore()
            follower = _Follower()
            mirror = mirrors.Mirror(store, "k", follower, 1.5, lambda: linger)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(mirror.run)
                await work(store, follower, mirror)  # type: ignore[operator]
                tasks.cancel_scope.cancel()

        virtual.run(body)

    def test_follows_writes_and_removals(self) -> None:
        async def work(
            store: standin_store.StandinStore,
            follower: _Follower,
            mirror: mirrors.Mirror,
        ) -> None:
            store.write("k", "a", b"1")
            await anyio.sleep(0.1)
            store.write("k", "a", b"2")
            store.write("k", "b", b"3")
            await anyio.sleep(0.1)
            assert follower.values == {"a": b"2", "b": b"3"}
            store.remove("k", "a")
            await anyio.sleep(0.1)
            assert follower.values == {"b": b"3"}
            assert follower.listings == 1

        self.play(work)

    def test_lists_anew_when_the_history_is_lost(self) -> None:
        async def work(
            store: standin_store.StandinStore,
            follower: _Follower,
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
            assert follower.values == {"b": b"2"}
            assert follower.listings == 2

        self.play(work)

    def test_age_grows_while_the_store_is_away_and_only_then(self) -> None:
        async def work(
            store: standin_store.StandinStore,
            follower: _Follower,
            mirror: mirrors.Mirror,
        ) -> None:
            for _ in range(100):
                await anyio.sleep(0.1)
                assert mirror.age() < 1.6
            store.is_down = True
            await anyio.sleep(4.0)
            assert mirror.age() > 3.9
            store.is_down = False
            # One more watch has to be answered to prove anything.
            await anyio.sleep(2.0)
            assert mirror.age() < 2.0

        self.play(work)

    def test_an_answer_with_changes_proves_only_its_question(self) -> None:
        async def work(
            store: standin_store.StandinStore,
            follower: _Follower,
            mirror: mirrors.Mirror,
        ) -> None:
            await anyio.sleep(0.1)
            await anyio.sleep(1.0)
            store.write("k", "a", b"1")
            await anyio.sleep(0.01)
            # Asked about a second ago, and nothing newer is proved.
            assert mirror.age() > 1.0

        self.play(work)

    def test_lingers_between_watches(self) -> None:
        async def work(
            store: standin_store.StandinStore,
            follower: _Follower,
            mirror: mirrors.Mirror,
        ) -> None:
            await anyio.sleep(0.1)
            before = store.calls["watch"]
            for number in range(20):
                store.write("k", f"o{number}", b"1")
                await anyio.sleep(0.02)
            await anyio.sleep(0.3)
            assert len(follower.values) == 20
            assert store.calls["watch"] - before <= 5

        self.play(work, linger=0.2)


class TestContact:
    """Several mirrors of one process, while the store says nothing."""

    def play(self, work: object) -> None:
        async def body() -> None:
            store = standin_store.StandinStore()
            health = store_health.StoreHealth()
            quick, slow = _Follower(), _Follower()
            config = mirrors.Mirror(
                store, "q", quick, 2.0, lambda: 0.0, health
            )
            entries = mirrors.Mirror(
                store, "s", slow, 10.0, lambda: 0.0, health
            )
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(config.run)
                tasks.start_soon(entries.run)
                await anyio.sleep(1.0)
                await work(store, slow, config)  # type: ignore[operator]
                tasks.cancel_scope.cancel()

        virtual.run(body)

    def test_a_watch_sent_into_silence_is_sent_anew(self) -> None:
        # The long watch went unanswered until its own end, nine seconds
        # after the store's return; what began to leave was not seen.
        async def work(
            store: standin_store.StandinStore,
            slow: _Follower,
            config: mirrors.Mirror,
        ) -> None:
            store.stop_answering()
            await anyio.sleep(2.9)
            store.resume_answering()
            store.write("s", "leaving", b"1")
            await anyio.sleep(1.5)
            assert slow.values == {"leaving": b"1"}

        self.play(work)

    def test_a_short_silence_that_nobody_asked_into_is_noticed(self) -> None:
        async def work(
            store: standin_store.StandinStore,
            slow: _Follower,
            config: mirrors.Mirror,
        ) -> None:
            store.stop_answering()
            await anyio.sleep(0.2)
            store.resume_answering()
            store.write("s", "leaving", b"1")
            await anyio.sleep(2.6)
            assert slow.values == {"leaving": b"1"}

        self.play(work)

    def test_the_copy_is_proved_soon_after_the_silence(self) -> None:
        # The first call after it used to wait for a change, as any other.
        async def work(
            store: standin_store.StandinStore,
            slow: _Follower,
            config: mirrors.Mirror,
        ) -> None:
            store.stop_answering()
            await anyio.sleep(5.0)
            assert config.age() > 4.9
            store.resume_answering()
            await anyio.sleep(1.0)
            assert config.age() < 0.9

        self.play(work)

    def test_one_tries_for_all_while_the_store_is_away(self) -> None:
        async def work(
            store: standin_store.StandinStore,
            slow: _Follower,
            config: mirrors.Mirror,
        ) -> None:
            store.is_down = True
            await anyio.sleep(3.0)
            before = store.calls.total()
            await anyio.sleep(3.0)
            assert 5 <= store.calls.total() - before <= 10

        self.play(work)

    def test_a_try_that_is_cancelled_leaves_the_others_their_turn(
        self,
    ) -> None:
        # An entry never called the store again after an outage: whoever
        # had the one try was gone, and all others waited for it.
        async def body() -> None:
            health = store_health.StoreHealth()
            await health.record_failure("lost", was_probe=False)
            had_turn: list[store_health.CallPermit] = []

            async def hang(scope: anyio.CancelScope) -> None:
                with scope:
                    async with health.permit():
                        await anyio.sleep_forever()

            async def wait() -> None:
                async with health.permit() as permit:
                    had_turn.append(permit)
                    health.record_success()

            scope = anyio.CancelScope()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(hang, scope)
                await anyio.sleep(0.1)
                tasks.start_soon(wait)
                await anyio.sleep(0.1)
                assert had_turn == []
                scope.cancel()
                with anyio.fail_after(1.0):
                    while not had_turn:
                        await anyio.sleep(0.01)
            assert had_turn == [store_health.CallPermit.PROBE]
            assert not health.is_lost

        virtual.run(body)

    def test_a_kind_that_always_fails_leaves_the_others_their_turn(
        self,
    ) -> None:
        async def work(
            store: standin_store.StandinStore,
            slow: _Follower,
            config: mirrors.Mirror,
        ) -> None:
            watch = store.watch

            async def watch_or_fail(
                kind: str, after: int, wait: float
            ) -> stores.Changes:
                if kind == "q":
                    raise errors.CrowdeckError(
                        errors.Code.STORE_DOWN, "an answer is malformed"
                    )
                return await watch(kind, after, wait)

            store.watch = watch_or_fail  # type: ignore[method-assign]
            await anyio.sleep(3.0)
            store.write("s", "leaving", b"1")
            await anyio.sleep(1.0)
            assert slow.values == {"leaving": b"1"}

        self.play(work)


def a_book() -> tuple[registries.UpstreamRegistry, dict[str, object]]:
    listed: dict[str, object] = {}
    registry = registries.UpstreamRegistry(
        lambda stored: listed[stored.name]  # type: ignore[return-value]
    )
    return registry, listed


def entry(name: str, version: int = 1) -> stores.StoredObject:
    return stores.StoredObject("upstreams", name, version, b"{}")


def tell(
    registry: registries.UpstreamRegistry,
    listed: dict[str, object],
    name: str,
    version: int = 1,
) -> None:
    listed[name] = listed.get(name) or fleet_system.upstream(name)
    registry.on_changed((entry(name, version),), ())


def names_of(registry: registries.UpstreamRegistry) -> set[str]:
    return {one.name for one in registry.usable(fleet_system.MODEL)}


class TestBook:
    """Which upstream instances get new work."""

    def test_leaving_ones_get_none(self) -> None:
        async def body() -> None:
            registry, listed = a_book()
            tell(registry, listed, "a")
            tell(registry, listed, "b")
            listed["a"] = attrs.evolve(
                fleet_system.upstream("a"), is_leaving=True
            )
            tell(registry, listed, "a")
            assert names_of(registry) == {"b"}

        virtual.run(body)

    def test_failed_ones_are_left_alone_longer_each_time(self) -> None:
        # Plain services are not asked: a call finds out by itself.
        async def body() -> None:
            registry, listed = a_book()
            listed["a"] = fleet_system.upstream("a", card="")
            tell(registry, listed, "a")
            pauses = []
            for _ in range(4):
                registry.avoid("a", "refused")
                began = anyio.current_time()
                while not names_of(registry):
                    await anyio.sleep(0.1)
                pauses.append(round(anyio.current_time() - began, 2))
            assert pauses == sorted(pauses)
            assert pauses[-1] >= 4 * pauses[0]
            registry.note_healthy("a")
            registry.avoid("a", "refused")
            await anyio.sleep(registries.AVOID_SECONDS + 0.1)
            assert names_of(registry) == {"a"}

        virtual.run(body)

    def test_failed_engines_are_asked_later_each_time(self) -> None:
        # Streams used to be sent to find out, by each entry again and
        # again, and each was refused and repeated at a dead engine's cost.
        async def body() -> None:
            registry, listed = a_book()
            tell(registry, listed, "a")
            pauses = []
            for _ in range(4):
                registry.avoid("a", "refused")
                began = anyio.current_time()
                while not registry.due_for_probe():
                    assert names_of(registry) == set()
                    await anyio.sleep(0.1)
                pauses.append(round(anyio.current_time() - began, 2))
            assert pauses == sorted(pauses)
            assert pauses[-1] >= 4 * pauses[0]
            assert names_of(registry) == set()
            registry.note_healthy("a")
            assert names_of(registry) == {"a"}

        virtual.run(body)

    def test_an_engine_asked_in_vain_is_asked_again_soon(self) -> None:
        # The question says nothing while our own link is full.
        async def body() -> None:
            registry, listed = a_book()
            tell(registry, listed, "a")
            registry.avoid("a", "refused")
            await anyio.sleep(registries.AVOID_SECONDS + 0.1)
            assert [one.name for one in registry.due_for_probe()] == ["a"]
            assert registry.due_for_probe() == ()
            await anyio.sleep(registries.UNSURE_SECONDS + 0.01)
            assert [one.name for one in registry.due_for_probe()] == ["a"]

        virtual.run(body)

    def test_full_ones_are_left_alone_longer_while_they_refuse(self) -> None:
        async def body() -> None:
            registry, listed = a_book()
            tell(registry, listed, "a")
            pauses = []
            for _ in range(4):
                registry.pause(
                    "a", registries.FULL_SECONDS, "refused with 503"
                )
                began = anyio.current_time()
                while not names_of(registry):
                    await anyio.sleep(0.05)
                pauses.append(round(anyio.current_time() - began, 2))
            assert pauses[-1] >= 3 * pauses[0]
            await anyio.sleep(registries.APART_SECONDS + 0.1)
            registry.pause("a", registries.FULL_SECONDS, "refused with 503")
            await anyio.sleep(registries.FULL_SECONDS + 0.05)
            assert names_of(registry) == {"a"}

        virtual.run(body)

    def test_gone_is_gone_at_once_while_the_store_is_well(self) -> None:
        async def body() -> None:
            registry, listed = a_book()
            tell(registry, listed, "a")
            registry.on_changed((), ("a",))
            assert names_of(registry) == set()

        virtual.run(body)

    def test_lapsed_with_the_store_serves_once_it_has_answered(self) -> None:
        async def body() -> None:
            registry, listed = a_book()
            registry.set_store_failure_source(anyio.current_time)
            asked: list[str] = []
            registry.subscribe_lapses(lambda one: asked.append(one.name))
            tell(registry, listed, "a")
            tell(registry, listed, "b")
            registry.on_listed(())
            assert asked == ["a", "b"]
            assert names_of(registry) == set()
            registry.note_healthy("a")
            assert names_of(registry) == {"a"}
            # An entry that is missing after all is taken as gone.
            await anyio.sleep(registries.LAPSE_SECONDS + 0.1)
            assert names_of(registry) == set()

        virtual.run(body)

    @pytest.mark.parametrize("card", ["", "large"])
    def test_what_left_without_a_word_gets_none_in_time(
        self, card: str
    ) -> None:
        # The store had lost an answer a second before, so that the missing
        # entry was taken for lapsed. Its instance had left, and a call came
        # to it 2.18 s later; two seconds are allowed.
        async def body() -> None:
            registry, listed = a_book()
            registry.set_store_failure_source(anyio.current_time)
            listed["a"] = fleet_system.upstream("a", card=card)
            tell(registry, listed, "a")
            registry.on_changed((), ("a",))
            registry.note_healthy("a")
            assert names_of(registry) == {"a"}
            await anyio.sleep(1.9)
            assert names_of(registry) == set()

        virtual.run(body)

    def test_lapsed_entry_that_comes_back_serves_at_once(self) -> None:
        async def body() -> None:
            registry, listed = a_book()
            registry.set_store_failure_source(anyio.current_time)
            tell(registry, listed, "a")
            registry.on_listed(())
            tell(registry, listed, "a")
            assert names_of(registry) == {"a"}
            await anyio.sleep(registries.LAPSE_SECONDS + 0.1)
            assert names_of(registry) == {"a"}

        virtual.run(body)

    def test_leaving_ones_are_a_last_resort_for_a_while(self) -> None:
        async def body() -> None:
            registry, listed = a_book()
            tell(registry, listed, "a")
            listed["a"] = attrs.evolve(
                fleet_system.upstream("a"), is_leaving=True
            )
            tell(registry, listed, "a")
            service = fleet_system.MODEL
            assert [
                one.name for one in registry.usable_while_leaving(service)
            ] == ["a"]
            # Well before the two seconds after which none may reach it.
            await anyio.sleep(registries.LAST_WORK_SECONDS + 0.01)
            assert registry.usable_while_leaving(service) == ()
            assert registries.LAST_WORK_SECONDS <= 1.0

        virtual.run(body)

    def test_one_that_took_an_address_over_replaces_the_former(self) -> None:
        # An engine crashed while the store was away and was started again:
        # its former entry stayed, and every path through it was refused.
        async def body() -> None:
            registry, listed = a_book()
            tell(registry, listed, "former")
            listed["after"] = attrs.evolve(
                fleet_system.upstream("former"), name="after"
            )
            tell(registry, listed, "after", version=2)
            assert names_of(registry) == {"after"}
            assert registry.has_ended("former")

        virtual.run(body)

    def test_the_newest_at_an_address_stays_in_any_order(self) -> None:
        async def body() -> None:
            former = fleet_system.upstream("former")
            after = attrs.evolve(former, name="after")
            entries = (entry("former", 1), entry("after", 2))
            for order in (entries, entries[::-1]):
                registry, listed = a_book()
                listed.update(former=former, after=after)
                registry.on_listed(order)
                assert names_of(registry) == {"after"}

        virtual.run(body)


class TestRoster:
    """How many entries share limits."""

    def test_counts_entries_by_zone(self) -> None:
        async def body() -> None:
            store = standin_store.StandinStore()
            rosters_made = [
                rosters.Roster(
                    store, f"entry-{number}", rosters.EntryRecord(zone)
                )
                for number, zone in enumerate(("a", "a", "b"))
            ]
            for one in rosters_made:
                await one.register()
            changes = await store.list(rosters.KIND)
            rosters_made[0].on_listed(changes.objects)
            assert rosters_made[0].count == 3
            assert rosters_made[0].zone_count == 2

        virtual.run(body)

    def test_many_entries_watch_less_often_within_bounds(self) -> None:
        async def body() -> None:
            store = standin_store.StandinStore()
            one = rosters.Roster(store, "entry-0", rosters.EntryRecord("a"))
            alone = one.linger()
            for number in range(400):
                name = f"entry-{number}"
                await rosters.Roster(
                    store, name, rosters.EntryRecord("a")
                ).register()
            changes = await store.list(rosters.KIND)
            one.on_listed(changes.objects)
            assert alone < one.linger() <= 0.6

        virtual.run(body)

    def test_enrols_through_an_outage_and_once_per_name(self) -> None:
        async def body() -> None:
            store = standin_store.StandinStore()
            store.is_down = True
            one = rosters.Roster(store, "entry-0", rosters.EntryRecord("a"))
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(one.register)
                await anyio.sleep(3.0)
                store.is_down = False
            await rosters.Roster(
                store, "entry-0", rosters.EntryRecord("a")
            ).register()
            changes = await store.list(rosters.KIND)
            assert len(changes.objects) == 1

        virtual.run(body)
