# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""A lease whose object another program overwrites repeatedly.

No overwrite may restart the wait for the lease to expire, or nobody would ever
hold it. Nor may two processes hold it at once, although the overwritten value
may have been another process's renewal.
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
from tests import foreign_texts
from tests import test_restored_lease
from tests import virtual
from tests import zone_system

CORRUPTED = (b"7", b'"mine"', b"{}", b'{"holder":"x","term":"y"}', b"[]")
# Longest time from finding the lease corrupted to holding it: the time until
# it expires, and one interval between reads.
MAX_TAKEOVER_SECONDS = leases.LEASE_SECONDS + leases.RENEW_SECONDS


class TestHolder:
    """A holder whose lease is corrupted keeps it."""

    @pytest.mark.parametrize("corrupted", CORRUPTED)
    @pytest.mark.parametrize("pause_seconds", [0.05, 0.7, 1.5, 4.4])
    def test_keeps_it_however_often_it_is_corrupted(
        self, corrupted: bytes, pause_seconds: float
    ) -> None:
        async def work(
            store: standin_store.StandinStore, candidates: list[leases.Lease]
        ) -> None:
            for _ in range(int(30.0 / pause_seconds)):
                store.write(leases.KIND, "duty", corrupted)
                await _check_holder(
                    candidates, pause_seconds, holder=candidates[0]
                )

        _run_with_candidates(work)

    def test_keeps_it_when_all_its_objects_are_corrupted(self) -> None:
        # Each round uses up one object.
        async def work(
            store: standin_store.StandinStore, candidates: list[leases.Lease]
        ) -> None:
            for _ in range(leases.LAST_OBJECT_INDEX // 2):
                for name in await _object_names(store):
                    store.write(leases.KIND, name, b"7")
                await _check_holder(candidates, 3.7, holder=candidates[0])
            assert len(await _object_names(store)) <= leases.LAST_OBJECT_INDEX

        _run_with_candidates(work)

    def test_keeps_it_when_its_object_is_removed(self) -> None:
        # No other process may take it before its holder notices.
        async def work(
            store: standin_store.StandinStore, candidates: list[leases.Lease]
        ) -> None:
            for _ in range(3):
                for name in await _object_names(store):
                    store.remove(leases.KIND, name)
                await _check_holder(candidates, 9.1, holder=candidates[0])

        _run_with_candidates(work)

    def test_keeps_it_when_no_longer_a_candidate(self) -> None:
        async def body() -> None:
            store = standin_store.StandinStore()
            is_candidate = True
            lease = leases.Lease(store, "duty", "one", lambda: is_candidate)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(lease.run)
                await anyio.sleep(1.0)
                is_candidate = False
                store.write(leases.KIND, "duty", b"7")
                await _check_holder([lease], 10.0, holder=lease)
                tasks.cancel_scope.cancel()

        virtual.run(body)

    def test_yields_to_another_readable_holder(self) -> None:
        async def work(
            store: standin_store.StandinStore, candidates: list[leases.Lease]
        ) -> None:
            value = b'{"holder":"another","term":9}'
            store.write(leases.KIND, "duty", value)
            await anyio.sleep(leases.RENEW_SECONDS + 0.1)
            assert not any(candidate.is_held for candidate in candidates)

        _run_with_candidates(work)

    def test_passes_its_memo_to_the_next_holder(self) -> None:
        async def work(
            store: standin_store.StandinStore, candidates: list[leases.Lease]
        ) -> None:
            candidates[0].set_memo(("e0@3",))
            await anyio.sleep(0.1)
            store.write(leases.KIND, "duty", b"7")
            # The others may take a released lease once they have waited.
            await _check_holder(
                candidates, MAX_TAKEOVER_SECONDS, holder=candidates[0]
            )
            await candidates[0].release()
            await anyio.sleep(leases.RENEW_SECONDS + 0.1)
            held = next(
                candidate for candidate in candidates if candidate.is_held
            )
            assert held.memo == ("e0@3",)

        _run_with_candidates(work)


class TestTakeover:
    """Another process takes a corrupted lease whose holder has died."""

    @pytest.mark.parametrize("pause_seconds", [0.05, 0.7, 1.5, 4.4])
    @pytest.mark.parametrize("corruption_delay_seconds", [0.0, 1.0, 4.0, 4.4])
    def test_takes_it_in_time(
        self, pause_seconds: float, corruption_delay_seconds: float
    ) -> None:
        async def body() -> None:
            store = standin_store.StandinStore()
            dead_holder = leases.Lease(store, "duty", "gone")
            candidates = [
                leases.Lease(store, "duty", f"run-{number}")
                for number in range(2)
            ]
            async with anyio.create_task_group() as tasks:
                with anyio.CancelScope() as holder_scope:
                    async with anyio.create_task_group() as inner:
                        inner.start_soon(dead_holder.run)
                        await anyio.sleep(0.1)
                        for candidate in candidates:
                            tasks.start_soon(candidate.run)
                        await anyio.sleep(3.0)
                        holder_scope.cancel()
                await anyio.sleep(corruption_delay_seconds)
                term = dead_holder.term
                tasks.start_soon(_corrupt, store, pause_seconds)
                with anyio.fail_after(
                    leases.RENEW_SECONDS + MAX_TAKEOVER_SECONDS
                ):
                    while not any(lease.is_held for lease in candidates):
                        await _check_holder([dead_holder, *candidates], 0.01)
                held = next(lease for lease in candidates if lease.is_held)
                assert held.term > term
                await _check_holder(
                    [dead_holder, *candidates], 20.0, holder=held
                )
                tasks.cancel_scope.cancel()

        virtual.run(body)

    def test_waits_for_the_expiry_of_an_unseen_holder(self) -> None:
        # Another held the lease between two reads that found it corrupted.
        async def body() -> None:
            store = standin_store.StandinStore()
            connection = zone_system.StoreConnection(store)
            first = leases.Lease(connection, "duty", "first")
            second = leases.Lease(store, "duty", "second")
            async with anyio.create_task_group() as tasks:
                store.write(leases.KIND, "duty", b"7")
                tasks.start_soon(second.run)
                await anyio.sleep(0.5)
                tasks.start_soon(first.run)
                while not first.is_held and not second.is_held:
                    store.write(leases.KIND, "duty", b"7")
                    await _check_holder([first, second], 0.3)
                connection.is_cut = True
                for _ in range(40):
                    for name in await _object_names(store):
                        store.write(leases.KIND, name, b"7")
                    await _check_holder([first, second], 0.3)
                assert second.is_held
                tasks.cancel_scope.cancel()

        virtual.run(body)

    def test_does_not_take_an_object_with_a_successor(self) -> None:
        # Another program writes the holder's object back as it was before
        # the corruption.
        async def work(
            store: standin_store.StandinStore, candidates: list[leases.Lease]
        ) -> None:
            old = await store.get(leases.KIND, "duty")
            assert old is not None
            store.write(leases.KIND, "duty", b"7")
            await _check_holder(candidates, 3.0, holder=candidates[0])
            store.write(leases.KIND, "duty", old.value)
            new_lease = leases.Lease(
                store, "duty", "fresh", is_new_fleet=False
            )
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(new_lease.run)
                await _check_holder(
                    [*candidates, new_lease], 20.0, holder=candidates[0]
                )
                tasks.cancel_scope.cancel()

        _run_with_candidates(work)

    def test_stale_reads_do_not_move_it_again(self) -> None:
        # Stale answers do not contain the next object for seconds. The lease
        # must not be moved once more at each read.
        async def body() -> None:
            store = standin_store.StandinStore()
            history: list[tuple[float, str, stores.StoredObject | None]] = []
            candidates = [
                leases.Lease(
                    _StaleConnection(store, history), "duty", f"run-{number}"
                )
                for number in range(3)
            ]
            async with anyio.create_task_group() as tasks:
                for candidate in candidates:
                    tasks.start_soon(candidate.run)
                    await anyio.sleep(0.5)
                await anyio.sleep(10.0)
                store.write(leases.KIND, "duty", b"7")
                await _check_holder(candidates, 20.0, holder=candidates[0])
                assert await _object_names(store) == ["duty", "duty.1"]
                tasks.cancel_scope.cancel()

        virtual.run(body)

    def test_overwritten_closed_object_has_at_most_one_holder(self) -> None:
        # Two writes race with a restore: one closes the object, the other
        # overwrites it with a free lease. A slow process has already read the
        # free lease and found no next object.
        async def work(
            store: standin_store.StandinStore,
            first: _DelayedProcess,
            slow: _DelayedProcess,
        ) -> None:
            closed = b'{"holder":"?","term":1,"successor":"duty.1"}'
            store.write(leases.KIND, "duty", closed)
            first.delay("duty.1", is_write=True)
            slow.delay("duty.1")
            first.start()
            await anyio.sleep(1.0)
            store.write(leases.KIND, "duty", b'{"holder":"","term":1}')
            slow.start()
            await anyio.sleep(1.0)
            first.resume()
            await _check_holder(first.leases_with(slow), 10.0)
            assert first.lease.is_held
            slow.resume()
            await _check_holder(first.leases_with(slow), 10.0)

        _run_with_delayed_processes(work)

    def test_slow_process_does_not_take_a_closed_object(self) -> None:
        # The slow process has read an expired lease and found no next object.
        async def work(
            store: standin_store.StandinStore,
            first: _DelayedProcess,
            slow: _DelayedProcess,
        ) -> None:
            store.write(leases.KIND, "duty", b"7")
            first.delay("duty.1", is_write=True)
            slow.delay("duty.1")
            first.start()
            await anyio.sleep(1.0)
            store.write(leases.KIND, "duty", b'{"holder":"old","term":1}')
            slow.start()
            await anyio.sleep(MAX_TAKEOVER_SECONDS)
            first.resume()
            await _check_holder(first.leases_with(slow), 10.0)
            assert first.lease.is_held
            slow.resume()
            await _check_holder(
                first.leases_with(slow), 10.0, holder=first.lease
            )

        _run_with_delayed_processes(work)

    def test_term_follows_one_that_was_overwritten_unread(self) -> None:
        async def work(
            store: standin_store.StandinStore,
            first: _DelayedProcess,
            slow: _DelayedProcess,
        ) -> None:
            store.write(leases.KIND, "duty", b"7")
            first.delay("duty", is_write=True)
            first.start()
            await anyio.sleep(1.0)
            found = await store.get(leases.KIND, "duty.1")
            assert found is not None
            for _ in range(5):
                store.write("other", "o", b"1")
            # After five other writes, the highest version that a holder's
            # write could replace, and so its term, is found.version + 5.
            unread_term = found.version + 5
            value = f'{{"holder":"unseen","term":{unread_term}}}'.encode()
            store.write(leases.KIND, "duty", value)
            store.write(leases.KIND, "duty", b"7")
            first.resume()
            await anyio.sleep(2 * MAX_TAKEOVER_SECONDS)
            assert first.lease.is_held
            assert first.lease.term > unread_term

        _run_with_delayed_processes(work)

    def test_does_not_take_a_lease_that_expired_meanwhile(self) -> None:
        async def work(
            store: standin_store.StandinStore,
            first: _DelayedProcess,
            slow: _DelayedProcess,
        ) -> None:
            first.start()
            await anyio.sleep(1.0)
            first.delay("duty.2")
            store.write(leases.KIND, "duty", b"7")
            await anyio.sleep(4.2)
            assert not first.lease.is_held
            first.resume()
            await anyio.sleep(0.3)
            assert not first.lease.is_held
            await anyio.sleep(MAX_TAKEOVER_SECONDS)
            assert first.lease.is_held

        _run_with_delayed_processes(work)

    def test_receives_the_memo_of_the_last_holder(self) -> None:
        async def work(
            store: standin_store.StandinStore,
            first: _DelayedProcess,
            slow: _DelayedProcess,
        ) -> None:
            value = b'{"holder":"gone","term":1,"memo":["e0@3"]}'
            store.write(leases.KIND, "duty", value)
            first.start()
            await anyio.sleep(1.0)
            store.write(leases.KIND, "duty", b"7")
            await anyio.sleep(2 * MAX_TAKEOVER_SECONDS)
            assert first.lease.is_held
            assert first.lease.memo == ("e0@3",)

        _run_with_delayed_processes(work)


LEASE = {
    "holder": "other",
    "term": 3,
    "memo": ["e@1"],
    "successor": "",
    "sent": 1.5,
}


class TestForeignValues:
    """Values of another program, of any depth, length or size."""

    @hypothesis.settings(
        derandomize=True, database=None, deadline=None, max_examples=60
    )
    @hypothesis.given(strategies.lists(foreign_texts.texts(LEASE), max_size=4))
    def test_is_held_again(self, texts: list[bytes]) -> None:
        # Guards against values that a holder takes over and cannot write.
        async def body() -> None:
            store = standin_store.StandinStore()
            lease = leases.Lease(store, "duty", "one")
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(lease.run)
                await anyio.sleep(0.1)
                for text in texts:
                    store.write(leases.KIND, "duty", text)
                    await anyio.sleep(2.0)
                await anyio.sleep(4 * leases.LEASE_SECONDS)
                assert lease.is_held
                assert all(isinstance(item, str) for item in lease.memo)
                tasks.cancel_scope.cancel()

        virtual.run(body)

    @pytest.mark.parametrize(
        "text",
        [
            b'{"holder":"","term":%s,"memo":[]}' % value
            for value in (*foreign_texts.LONG_NUMBERS, b'"' + b"9" * 40 + b'"')
        ],
        ids=foreign_texts.label,
    )
    def test_term_of_any_length_ends_no_holder(self, text: bytes) -> None:
        # Guards against a term that the next holder cannot write.
        async def body() -> None:
            store = standin_store.StandinStore()
            store.write(leases.KIND, "duty", text)
            lease = leases.Lease(store, "duty", "one")
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(lease.run)
                await anyio.sleep(4 * leases.LEASE_SECONDS)
                assert lease.is_held
                assert 0 < lease.term <= leases.MAX_TERM
                tasks.cancel_scope.cancel()

        virtual.run(body)


class TestLastObject:
    """A lease in the last object that it may be moved to."""

    def test_is_taken_once_it_has_expired(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(leases, "LAST_OBJECT_INDEX", 1)

        async def work(
            store: standin_store.StandinStore, candidates: list[leases.Lease]
        ) -> None:
            term = candidates[0].term
            for _ in range(3):
                for name in await _object_names(store):
                    store.write(leases.KIND, name, b"7")
                await _check_holder(
                    candidates, MAX_TAKEOVER_SECONDS + leases.RENEW_SECONDS
                )
                held = [
                    candidate for candidate in candidates if candidate.is_held
                ]
                assert held and held[0].term > term
                term = held[0].term
            assert await _object_names(store) == ["duty", "duty.1"]

        _run_with_candidates(work)

    def test_term_follows_one_that_was_overwritten_unread(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(leases, "LAST_OBJECT_INDEX", 0)

        async def work(
            store: standin_store.StandinStore, candidates: list[leases.Lease]
        ) -> None:
            unread_term = candidates[0].term + 1
            value = f'{{"holder":"unseen","term":{unread_term}}}'.encode()
            store.write(leases.KIND, "duty", value)
            store.write(leases.KIND, "duty", b"7")
            await _check_holder(candidates, 2 * MAX_TAKEOVER_SECONDS)
            held = next(
                candidate for candidate in candidates if candidate.is_held
            )
            assert held.term > unread_term

        _run_with_candidates(work)


class TestRestoredStore:
    """A store restored from a backup that is older than the lease's move."""

    @pytest.mark.parametrize(
        "age_seconds", [0.05, 0.5, 1.0, 2.0, 3.0, 5.0, 6.0]
    )
    def test_holder_keeps_it(self, age_seconds: float) -> None:
        async def work(
            store: standin_store.StandinStore, candidates: list[leases.Lease]
        ) -> None:
            backups = [store.back_up()]
            for number in range(80):
                if number == 20:
                    store.write(leases.KIND, "duty", b"7")
                await _check_holder(candidates, 0.1, holder=candidates[0])
                backups.append(store.back_up())
            store.restore(backups[-int(age_seconds * 10) - 1])
            await _check_holder(candidates, 20.0, holder=candidates[0])

        _run_with_candidates(work)

    def test_one_process_takes_it_without_its_holder(self) -> None:
        async def work(
            store: standin_store.StandinStore,
            first: _DelayedProcess,
            slow: _DelayedProcess,
        ) -> None:
            value = b'{"holder":"gone","term":1}'
            store.write(leases.KIND, "duty", value)
            backup = store.back_up()
            store.write(leases.KIND, "duty", b"7")
            slow.start()
            await anyio.sleep(1.0)
            store.restore(backup)
            first.start()
            await _check_holder(first.leases_with(slow), 20.0)
            assert first.lease.is_held or slow.lease.is_held

        _run_with_delayed_processes(work)

    def test_object_with_a_successor_is_not_written_back(self) -> None:
        async def work(
            store: standin_store.StandinStore,
            first: _DelayedProcess,
            slow: _DelayedProcess,
        ) -> None:
            first.start()
            await anyio.sleep(1.0)
            store.write(leases.KIND, "duty.1", b'{"holder":"","term":0}')
            store.restore(store.back_up())
            await _check_holder([first.lease], 3.0, holder=first.lease)
            found = await store.get(leases.KIND, "duty")
            assert found is not None
            assert orjson.loads(found.value)["successor"] == "duty.1"

        _run_with_delayed_processes(work)

    def test_terms_do_not_exceed_versions(self) -> None:
        # The term after a corrupted lease follows from the version.
        async def work(
            store: standin_store.StandinStore,
            first: _DelayedProcess,
            slow: _DelayedProcess,
        ) -> None:
            backup = store.back_up()
            for _ in range(1_000):
                store.write("other", "o", b"1")
            store.write(leases.KIND, "duty", b"7")
            first.start()
            await anyio.sleep(1.0)
            store.restore(backup)
            await anyio.sleep(2 * MAX_TAKEOVER_SECONDS)
            assert first.lease.is_held
            latest = store.write("other", "o", b"2")
            assert first.lease.term <= leases.TERMS_PER_EPOCH + latest

        _run_with_delayed_processes(work)

    def test_restore_during_a_move_leaves_one_object(self) -> None:
        async def work(
            store: standin_store.StandinStore,
            first: _DelayedProcess,
            slow: _DelayedProcess,
        ) -> None:
            first.start()
            await anyio.sleep(1.0)
            backup = store.back_up()
            first.delay("duty.1", is_write=True)
            store.write(leases.KIND, "duty", b"7")
            await anyio.sleep(1.0)
            first.after_put = lambda: store.restore(backup)
            first.resume()
            await _check_holder([first.lease], 10.0, holder=first.lease)
            assert await _object_names(store) == ["duty"]

        _run_with_delayed_processes(work)


class TestRandomFaults:
    """Random overwrites, disconnections, lost replies and restores."""

    @hypothesis.given(strategies.integers(0, 2**32))
    @hypothesis.settings(max_examples=60, deadline=None, derandomize=True)
    def test_never_has_two_holders_or_a_term_twice(self, seed: int) -> None:
        async def body() -> None:
            rng = random.Random(seed)
            store = standin_store.StandinStore()
            candidates = test_restored_lease.Candidates(store, rng)
            is_restored = rng.random() < 0.5
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(candidates.run)
                backups = [store.back_up()]
                for _ in range(3_000):
                    if rng.random() < 0.01:
                        backups.append(store.back_up())
                    if is_restored and rng.random() < 0.002:
                        store.restore(rng.choice(backups[-5:]))
                    if rng.random() < 0.02:
                        name = rng.choice(
                            await _object_names(store) or ["duty"]
                        )
                        value = rng.choice(CORRUPTED)
                        store.write(leases.KIND, name, value)
                    await anyio.sleep(0.01)
                    candidates.check_one_holder()
                tasks.cancel_scope.cancel()

        virtual.run(body)


def _run_with_candidates(
    work: typing.Callable[
        [standin_store.StandinStore, list[leases.Lease]],
        typing.Awaitable[None],
    ],
) -> None:
    """Run three processes that compete for a lease; the first holds it."""

    async def body() -> None:
        store = standin_store.StandinStore()
        candidates = [
            leases.Lease(store, "duty", f"run-{number}") for number in range(3)
        ]
        async with anyio.create_task_group() as tasks:
            for candidate in candidates:
                tasks.start_soon(candidate.run)
                await anyio.sleep(0.5)
            await work(store, candidates)
            tasks.cancel_scope.cancel()

    virtual.run(body)


async def _check_holder(
    candidates: list[leases.Lease],
    seconds: float,
    holder: leases.Lease | None = None,
) -> None:
    """Check for some seconds that at most one candidate holds the lease.

    :param holder: the only candidate that may and must hold it.
    """
    for _ in range(max(1, int(seconds * 100))):
        await anyio.sleep(0.01)
        holding = [candidate for candidate in candidates if candidate.is_held]
        assert len(holding) <= 1
        if holder is not None:
            assert holding == [holder]


async def _corrupt(
    store: standin_store.StandinStore, pause_seconds: float
) -> None:
    while True:
        store.write(leases.KIND, "duty", b"7")
        await anyio.sleep(pause_seconds)


async def _object_names(store: standin_store.StandinStore) -> list[str]:
    changes = await store.list(leases.KIND)
    return sorted(stored.name for stored in changes.objects)


class _StaleConnection(zone_system.StoreConnection):
    """A connection to the store whose stale answers are six seconds old."""

    def __init__(
        self,
        store: standin_store.StandinStore,
        history: list[tuple[float, str, stores.StoredObject | None]],
    ) -> None:
        super().__init__(store)
        self._history = history

    async def get(
        self, kind: str, name: str, *, allow_stale: bool = False
    ) -> stores.StoredObject | None:
        found = await super().get(kind, name)
        now = anyio.current_time()
        self._history.append((now, name, found))
        if not allow_stale:
            return found
        old = None
        for read_at, read_name, stored in self._history:
            if read_name == name and read_at <= now - 6.0:
                old = stored
        return old


class _DelayedProcess(zone_system.StoreConnection):
    """A process whose calls of the store can be delayed."""

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
        self._delayed = ("", False)
        self._resumed = anyio.Event()

    def start(self) -> None:
        """Start to compete for the lease."""
        self._tasks.start_soon(self.lease.run)

    def leases_with(self, other: "_DelayedProcess") -> list[leases.Lease]:
        """Return the leases of this process and another."""
        return [self.lease, other.lease]

    def delay(self, name: str, *, is_write: bool = False) -> None:
        """Delay writes of an object, or else reads that do not find it."""
        self._delayed = (name, is_write)
        self._resumed = anyio.Event()

    def resume(self) -> None:
        """Let the delayed calls pass."""
        self._delayed = ("", False)
        self._resumed.set()

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
        if (name, is_write) == self._delayed:
            await self._resumed.wait()


def _run_with_delayed_processes(
    work: typing.Callable[
        [standin_store.StandinStore, _DelayedProcess, _DelayedProcess],
        typing.Awaitable[None],
    ],
) -> None:
    """Run work with two processes that can be delayed."""

    async def body() -> None:
        store = standin_store.StandinStore()
        async with anyio.create_task_group() as tasks:
            first = _DelayedProcess(store, "one", tasks)
            slow = _DelayedProcess(store, "slow", tasks)
            await work(store, first, slow)
            tasks.cancel_scope.cancel()

    virtual.run(body)
