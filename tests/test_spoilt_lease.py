# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""A lease whose object another program writes over, again and again.

What was seen: another program wrote over the lease of the giver of orders
more often than every 4.5 s. Each process waited the whole length anew from
each such write, so nobody held it and no layers were ordered. To count from
the last write that could be read let two hold it: what was spoilt may have
been another's.
"""

import random
import typing

import anyio
import anyio.abc
import hypothesis
from hypothesis import strategies
import orjson
import pytest

from crowdeck.standin import store as standin_store
from crowdeck.state import leases
from crowdeck.state import objects as stores
from tests import test_restored_lease
from tests import virtual
from tests import zone_system

SPOILT = (b"7", b'"mine"', b"{}", b'{"holder":"x","term":"y"}', b"[]")
# Its whole length, and what passes until the next look. All that a process
# needs once it has found the lease spoilt.
MOST_SECONDS = leases.LEASE_SECONDS + leases.RENEW_SECONDS


class TestHolder:
    """A holder whose lease is spoilt holds it on."""

    @pytest.mark.parametrize("spoilt", SPOILT)
    @pytest.mark.parametrize("pause", [0.05, 0.7, 1.5, 4.4])
    def test_holds_it_on_however_often_it_is_spoilt(
        self, spoilt: bytes, pause: float
    ) -> None:
        async def work(
            store: standin_store.StandinStore, rivals: list[leases.Lease]
        ) -> None:
            for _ in range(int(30.0 / pause)):
                store.write(leases.KIND, "duty", spoilt)
                await _watch(rivals, pause, holder=rivals[0])

        _play(work)

    def test_holds_it_on_though_all_its_objects_are_spoilt(self) -> None:
        # Each costs one object; there are enough for two minutes.
        async def work(
            store: standin_store.StandinStore, rivals: list[leases.Lease]
        ) -> None:
            for _ in range(leases.LAST_OBJECT_INDEX // 2):
                for name in await _names(store):
                    store.write(leases.KIND, name, b"7")
                await _watch(rivals, 3.7, holder=rivals[0])
            assert len(await _names(store)) <= leases.LAST_OBJECT_INDEX

        _play(work)

    def test_holds_it_on_when_its_object_is_removed(self) -> None:
        # Another took it at once, up to 1.5 s before its holder noticed.
        async def work(
            store: standin_store.StandinStore, rivals: list[leases.Lease]
        ) -> None:
            for _ in range(3):
                for name in await _names(store):
                    store.remove(leases.KIND, name)
                await _watch(rivals, 9.1, holder=rivals[0])

        _play(work)

    def test_holds_it_on_though_it_no_longer_stands_for_it(self) -> None:
        async def body() -> None:
            store = standin_store.StandinStore()
            is_candidate = True
            lease = leases.Lease(store, "duty", "one", lambda: is_candidate)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(lease.run)
                await anyio.sleep(1.0)
                is_candidate = False
                store.write(leases.KIND, "duty", b"7")
                await _watch([lease], 10.0, holder=lease)
                tasks.cancel_scope.cancel()

        virtual.run(body)

    def test_gives_way_to_another_that_can_be_read(self) -> None:
        async def work(
            store: standin_store.StandinStore, rivals: list[leases.Lease]
        ) -> None:
            value = b'{"holder":"another","term":9}'
            store.write(leases.KIND, "duty", value)
            await anyio.sleep(leases.RENEW_SECONDS + 0.1)
            assert not any(one.is_held for one in rivals)

        _play(work)

    def test_tells_its_notes_to_the_next_one(self) -> None:
        async def work(
            store: standin_store.StandinStore, rivals: list[leases.Lease]
        ) -> None:
            rivals[0].set_memo(("e0@3",))
            await anyio.sleep(0.1)
            store.write(leases.KIND, "duty", b"7")
            # The others may take what is given up once they have waited.
            await _watch(rivals, MOST_SECONDS, holder=rivals[0])
            await rivals[0].release()
            await anyio.sleep(leases.RENEW_SECONDS + 0.1)
            held = next(one for one in rivals if one.is_held)
            assert held.memo == ("e0@3",)

        _play(work)


class TestNext:
    """Another takes a lease that is spoilt after its holder has died."""

    @pytest.mark.parametrize("pause", [0.05, 0.7, 1.5, 4.4])
    @pytest.mark.parametrize("before", [0.0, 1.0, 4.0, 4.4])
    def test_holds_it_in_the_end(self, pause: float, before: float) -> None:
        async def body() -> None:
            store = standin_store.StandinStore()
            gone = leases.Lease(store, "duty", "gone")
            rivals = [
                leases.Lease(store, "duty", f"run-{number}")
                for number in range(2)
            ]
            async with anyio.create_task_group() as tasks:
                with anyio.CancelScope() as life:
                    async with anyio.create_task_group() as inner:
                        inner.start_soon(gone.run)
                        await anyio.sleep(0.1)
                        for rival in rivals:
                            tasks.start_soon(rival.run)
                        await anyio.sleep(3.0)
                        life.cancel()
                await anyio.sleep(before)
                term = gone.term
                tasks.start_soon(_spoil, store, pause)
                with anyio.fail_after(leases.RENEW_SECONDS + MOST_SECONDS):
                    while not any(one.is_held for one in rivals):
                        await _watch([gone, *rivals], 0.01)
                held = next(one for one in rivals if one.is_held)
                assert held.term > term
                await _watch([gone, *rivals], 20.0, holder=held)
                tasks.cancel_scope.cancel()

        virtual.run(body)

    def test_waits_until_whoever_took_it_unseen_has_lapsed(self) -> None:
        # What it reads as spoilt twice was another's in between.
        async def body() -> None:
            store = standin_store.StandinStore()
            way = zone_system.StoreConnection(store)
            first = leases.Lease(way, "duty", "first")
            second = leases.Lease(store, "duty", "second")
            async with anyio.create_task_group() as tasks:
                store.write(leases.KIND, "duty", b"7")
                tasks.start_soon(second.run)
                await anyio.sleep(0.5)
                tasks.start_soon(first.run)
                while not first.is_held and not second.is_held:
                    store.write(leases.KIND, "duty", b"7")
                    await _watch([first, second], 0.3)
                way.is_cut = True
                for _ in range(40):
                    for name in await _names(store):
                        store.write(leases.KIND, name, b"7")
                    await _watch([first, second], 0.3)
                assert second.is_held
                tasks.cancel_scope.cancel()

        virtual.run(body)

    def test_takes_nothing_that_has_a_next_one(self) -> None:
        # A program that keeps copies wrote the holder's object back as it
        # was before it was spoilt.
        async def work(
            store: standin_store.StandinStore, rivals: list[leases.Lease]
        ) -> None:
            old = await store.get(leases.KIND, "duty")
            assert old is not None
            store.write(leases.KIND, "duty", b"7")
            await _watch(rivals, 3.0, holder=rivals[0])
            store.write(leases.KIND, "duty", old.value)
            fresh = leases.Lease(store, "duty", "fresh", is_new_fleet=False)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(fresh.run)
                await _watch([*rivals, fresh], 20.0, holder=rivals[0])
                tasks.cancel_scope.cancel()

        _play(work)

    def test_leaves_nothing_for_an_old_answer(self) -> None:
        # Answers that may be old told for seconds that the next object was
        # not there, and each look passed the lease on once more.
        async def body() -> None:
            store = standin_store.StandinStore()
            kept: list[tuple[float, str, stores.StoredObject | None]] = []
            rivals = [
                leases.Lease(_Late(store, kept), "duty", f"run-{number}")
                for number in range(3)
            ]
            async with anyio.create_task_group() as tasks:
                for rival in rivals:
                    tasks.start_soon(rival.run)
                    await anyio.sleep(0.5)
                await anyio.sleep(10.0)
                store.write(leases.KIND, "duty", b"7")
                await _watch(rivals, 20.0, holder=rivals[0])
                assert await _names(store) == ["duty", "duty.1"]
                tasks.cancel_scope.cancel()

        virtual.run(body)

    def test_counts_one_as_closed_only_once_the_next_is_there(self) -> None:
        # Closed by a write that crossed the store's return, it was written
        # over by another's that crossed it too. Somebody had found that free,
        # with no next one, and was slow.
        async def work(
            store: standin_store.StandinStore, one: _Gated, slow: _Gated
        ) -> None:
            closed = b'{"holder":"?","term":1,"successor":"duty.1"}'
            store.write(leases.KIND, "duty", closed)
            one.hold_back("duty.1", is_write=True)
            slow.hold_back("duty.1")
            one.start()
            await anyio.sleep(1.0)
            store.write(leases.KIND, "duty", b'{"holder":"","term":1}')
            slow.start()
            await anyio.sleep(1.0)
            one.let_go()
            await _watch(one.rivals(slow), 10.0)
            assert one.lease.is_held
            slow.let_go()
            await _watch(one.rivals(slow), 10.0)

        _play_gated(work)

    def test_whoever_was_slow_finds_it_closed(self) -> None:
        # It found an old holder's object that had not changed for long and
        # had no next one, and was slow.
        async def work(
            store: standin_store.StandinStore, one: _Gated, slow: _Gated
        ) -> None:
            store.write(leases.KIND, "duty", b"7")
            one.hold_back("duty.1", is_write=True)
            slow.hold_back("duty.1")
            one.start()
            await anyio.sleep(1.0)
            store.write(leases.KIND, "duty", b'{"holder":"old","term":1}')
            slow.start()
            await anyio.sleep(MOST_SECONDS)
            one.let_go()
            await _watch(one.rivals(slow), 10.0)
            assert one.lease.is_held
            slow.let_go()
            await _watch(one.rivals(slow), 10.0, holder=one.lease)

        _play_gated(work)

    def test_term_follows_one_that_was_spoilt_unread(self) -> None:
        async def work(
            store: standin_store.StandinStore, one: _Gated, slow: _Gated
        ) -> None:
            store.write(leases.KIND, "duty", b"7")
            one.hold_back("duty", is_write=True)
            one.start()
            await anyio.sleep(1.0)
            found = await store.get(leases.KIND, "duty.1")
            assert found is not None
            for _ in range(5):
                store.write("other", "o", b"1")
            # No term is higher than the version it was written over.
            unread = found.version + 5
            value = f'{{"holder":"unseen","term":{unread}}}'.encode()
            store.write(leases.KIND, "duty", value)
            store.write(leases.KIND, "duty", b"7")
            one.let_go()
            await anyio.sleep(2 * MOST_SECONDS)
            assert one.lease.is_held
            assert one.lease.term > unread

        _play_gated(work)

    def test_begins_nothing_that_lapsed_meanwhile(self) -> None:
        async def work(
            store: standin_store.StandinStore, one: _Gated, slow: _Gated
        ) -> None:
            one.start()
            await anyio.sleep(1.0)
            one.hold_back("duty.2")
            store.write(leases.KIND, "duty", b"7")
            await anyio.sleep(4.2)
            assert not one.lease.is_held
            one.let_go()
            await anyio.sleep(0.3)
            assert not one.lease.is_held
            await anyio.sleep(MOST_SECONDS)
            assert one.lease.is_held

        _play_gated(work)

    def test_is_told_what_the_last_one_noted(self) -> None:
        async def work(
            store: standin_store.StandinStore, one: _Gated, slow: _Gated
        ) -> None:
            value = b'{"holder":"gone","term":1,"memo":["e0@3"]}'
            store.write(leases.KIND, "duty", value)
            one.start()
            await anyio.sleep(1.0)
            store.write(leases.KIND, "duty", b"7")
            await anyio.sleep(2 * MOST_SECONDS)
            assert one.lease.is_held
            assert one.lease.memo == ("e0@3",)

        _play_gated(work)


class TestLastObject:
    """What is left when as many objects are spoilt as there may be."""

    def test_is_taken_once_it_has_not_changed_for_long(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(leases, "LAST_OBJECT_INDEX", 1)

        async def work(
            store: standin_store.StandinStore, rivals: list[leases.Lease]
        ) -> None:
            term = rivals[0].term
            for _ in range(3):
                for name in await _names(store):
                    store.write(leases.KIND, name, b"7")
                await _watch(rivals, MOST_SECONDS + leases.RENEW_SECONDS)
                held = [one for one in rivals if one.is_held]
                assert held and held[0].term > term
                term = held[0].term
            assert await _names(store) == ["duty", "duty.1"]

        _play(work)

    def test_term_follows_one_that_was_spoilt_unread(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(leases, "LAST_OBJECT_INDEX", 0)

        async def work(
            store: standin_store.StandinStore, rivals: list[leases.Lease]
        ) -> None:
            unread = rivals[0].term + 1
            value = f'{{"holder":"unseen","term":{unread}}}'.encode()
            store.write(leases.KIND, "duty", value)
            store.write(leases.KIND, "duty", b"7")
            await _watch(rivals, 2 * MOST_SECONDS)
            held = next(one for one in rivals if one.is_held)
            assert held.term > unread

        _play(work)


class TestRestoredStore:
    """A store that comes back from a copy of before the lease was moved."""

    @pytest.mark.parametrize("age", [0.05, 0.5, 1.0, 2.0, 3.0, 5.0, 6.0])
    def test_is_held_on_and_by_one(self, age: float) -> None:
        async def work(
            store: standin_store.StandinStore, rivals: list[leases.Lease]
        ) -> None:
            backups = [store.back_up()]
            for number in range(80):
                if number == 20:
                    store.write(leases.KIND, "duty", b"7")
                await _watch(rivals, 0.1, holder=rivals[0])
                backups.append(store.back_up())
            store.restore(backups[-int(age * 10) - 1])
            await _watch(rivals, 20.0, holder=rivals[0])

        _play(work)

    def test_without_its_holder_is_held_by_one(self) -> None:
        async def work(
            store: standin_store.StandinStore, one: _Gated, slow: _Gated
        ) -> None:
            value = b'{"holder":"gone","term":1}'
            store.write(leases.KIND, "duty", value)
            backup = store.back_up()
            store.write(leases.KIND, "duty", b"7")
            slow.start()
            await anyio.sleep(1.0)
            store.restore(backup)
            one.start()
            await _watch(one.rivals(slow), 20.0)
            assert one.lease.is_held or slow.lease.is_held

        _play_gated(work)

    def test_writes_nothing_back_that_has_a_next_one(self) -> None:
        async def work(
            store: standin_store.StandinStore, one: _Gated, slow: _Gated
        ) -> None:
            one.start()
            await anyio.sleep(1.0)
            store.write(leases.KIND, "duty.1", b'{"holder":"","term":0}')
            store.restore(store.back_up())
            await _watch([one.lease], 3.0, holder=one.lease)
            found = await store.get(leases.KIND, "duty")
            assert found is not None
            assert orjson.loads(found.value)["successor"] == "duty.1"

        _play_gated(work)

    def test_has_no_term_above_its_versions(self) -> None:
        # Whoever finds it spoilt counts on from the version.
        async def work(
            store: standin_store.StandinStore, one: _Gated, slow: _Gated
        ) -> None:
            backup = store.back_up()
            for _ in range(1_000):
                store.write("other", "o", b"1")
            store.write(leases.KIND, "duty", b"7")
            one.start()
            await anyio.sleep(1.0)
            store.restore(backup)
            await anyio.sleep(2 * MOST_SECONDS)
            assert one.lease.is_held
            latest = store.write("other", "o", b"2")
            assert one.lease.term <= leases.TERMS_PER_EPOCH + latest

        _play_gated(work)

    def test_that_returns_midway_leaves_no_next_one(self) -> None:
        async def work(
            store: standin_store.StandinStore, one: _Gated, slow: _Gated
        ) -> None:
            one.start()
            await anyio.sleep(1.0)
            backup = store.back_up()
            one.hold_back("duty.1", is_write=True)
            store.write(leases.KIND, "duty", b"7")
            await anyio.sleep(1.0)
            one.after_put = lambda: store.restore(backup)
            one.let_go()
            await _watch([one.lease], 10.0, holder=one.lease)
            assert await _names(store) == ["duty"]

        _play_gated(work)


class TestAnyOrder:
    """Random writers, cuts, lost replies, deaths and returns."""

    @hypothesis.given(strategies.integers(0, 2**32))
    @hypothesis.settings(max_examples=60, deadline=None, derandomize=True)
    def test_never_has_two_holders_nor_a_term_twice(self, seed: int) -> None:
        async def body() -> None:
            rng = random.Random(seed)
            store = standin_store.StandinStore()
            rivals = test_restored_lease.Rivals(store, rng)
            is_restored = rng.random() < 0.5
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(rivals.run)
                backups = [store.back_up()]
                for _ in range(3_000):
                    if rng.random() < 0.01:
                        backups.append(store.back_up())
                    if is_restored and rng.random() < 0.002:
                        store.restore(rng.choice(backups[-5:]))
                    if rng.random() < 0.02:
                        name = rng.choice(await _names(store) or ["duty"])
                        value = rng.choice(SPOILT)
                        store.write(leases.KIND, name, value)
                    await anyio.sleep(0.01)
                    rivals.require_one_holder()
                tasks.cancel_scope.cancel()

        virtual.run(body)


def _play(
    work: typing.Callable[
        [standin_store.StandinStore, list[leases.Lease]],
        typing.Awaitable[None],
    ],
) -> None:
    """Have three stand for one duty, and the first one hold it."""

    async def body() -> None:
        store = standin_store.StandinStore()
        rivals = [
            leases.Lease(store, "duty", f"run-{number}") for number in range(3)
        ]
        async with anyio.create_task_group() as tasks:
            for rival in rivals:
                tasks.start_soon(rival.run)
                await anyio.sleep(0.5)
            await work(store, rivals)
            tasks.cancel_scope.cancel()

    virtual.run(body)


async def _watch(
    rivals: list[leases.Lease],
    seconds: float,
    holder: leases.Lease | None = None,
) -> None:
    """Require one holder at most for some time, or a certain one."""
    for _ in range(max(1, int(seconds * 100))):
        await anyio.sleep(0.01)
        holding = [one for one in rivals if one.is_held]
        assert len(holding) <= 1
        if holder is not None:
            assert holding == [holder]


async def _spoil(store: standin_store.StandinStore, pause: float) -> None:
    while True:
        store.write(leases.KIND, "duty", b"7")
        await anyio.sleep(pause)


async def _names(store: standin_store.StandinStore) -> list[str]:
    changes = await store.list(leases.KIND)
    return sorted(one.name for one in changes.objects)


class _Late(zone_system.StoreConnection):
    """A way to the store whose old answers are six seconds old."""

    def __init__(
        self,
        store: standin_store.StandinStore,
        kept: list[tuple[float, str, stores.StoredObject | None]],
    ) -> None:
        super().__init__(store)
        self._kept = kept

    async def get(
        self, kind: str, name: str, *, allow_stale: bool = False
    ) -> stores.StoredObject | None:
        found = await super().get(kind, name)
        now = anyio.current_time()
        self._kept.append((now, name, found))
        if not allow_stale:
            return found
        old = None
        for at, its_name, one in self._kept:
            if its_name == name and at <= now - 6.0:
                old = one
        return old


class _Gated(zone_system.StoreConnection):
    """A process and its way to the store, on which it may be held up."""

    def __init__(
        self,
        store: standin_store.StandinStore,
        name: str,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        super().__init__(store)
        self.lease = leases.Lease(self, "duty", name)
        self.after_put: typing.Callable[[], None] | None = None
        self._tasks = tasks
        self._held_back = ("", False)
        self._go = anyio.Event()

    def start(self) -> None:
        """Have the process stand for the lease."""
        self._tasks.start_soon(self.lease.run)

    def rivals(self, other: "_Gated") -> list[leases.Lease]:
        """Return its lease and another's."""
        return [self.lease, other.lease]

    def hold_back(self, name: str, *, is_write: bool = False) -> None:
        """Hold up answers of an object that is not there yet, or writes."""
        self._held_back = (name, is_write)
        self._go = anyio.Event()

    def let_go(self) -> None:
        """Let what was held up pass."""
        self._held_back = ("", False)
        self._go.set()

    async def get(
        self, kind: str, name: str, *, allow_stale: bool = False
    ) -> stores.StoredObject | None:
        found = await super().get(kind, name)
        if found is None:
            await self._wait(name, is_write=False)
        return found

    async def put(
        self, kind: str, name: str, value: bytes, expected: int
    ) -> int:
        await self._wait(name, is_write=True)
        version = await super().put(kind, name, value, expected)
        hook, self.after_put = self.after_put, None
        if hook is not None:
            hook()
        return version

    async def _wait(self, name: str, *, is_write: bool) -> None:
        if (name, is_write) == self._held_back:
            await self._go.wait()


def _play_gated(
    work: typing.Callable[
        [standin_store.StandinStore, _Gated, _Gated], typing.Awaitable[None]
    ],
) -> None:
    """Have two that can be held up stand for one duty."""

    async def body() -> None:
        store = standin_store.StandinStore()
        async with anyio.create_task_group() as tasks:
            one = _Gated(store, "one", tasks)
            slow = _Gated(store, "slow", tasks)
            await work(store, one, slow)
            tasks.cancel_scope.cancel()

    virtual.run(body)
