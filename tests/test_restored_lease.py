# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""A lease in a store that is restored from a backup.

The backup may hold an older lease of the same holder, or a free one, and the
store assigns versions again. The holder must keep the lease, no other may take
it meanwhile, and no term may be used twice.
"""

import random
import typing

import anyio
import hypothesis
from hypothesis import strategies

from crowdeck.standin import store as standin_store
from crowdeck.state import leases
from crowdeck.state import objects as stores
from tests import virtual
from tests import zone_system


class TestLease:
    """The holder of a lease after a restore of the store."""

    def run_with_candidates(
        self,
        work: typing.Callable[
            [standin_store.StandinStore, list[leases.Lease]],
            typing.Awaitable[None],
        ],
    ) -> None:
        async def body() -> None:
            store = standin_store.StandinStore()
            candidates = [
                leases.Lease(store, "duty", f"run-{number}")
                for number in range(3)
            ]
            async with anyio.create_task_group() as tasks:
                for candidate in candidates:
                    tasks.start_soon(candidate.run)
                    await anyio.sleep(0.5)
                await work(store, candidates)
                tasks.cancel_scope.cancel()

        virtual.run(body)

    def test_holder_keeps_it_through_a_short_outage(self) -> None:
        async def work(
            store: standin_store.StandinStore, candidates: list[leases.Lease]
        ) -> None:
            held = candidates[0]
            term = held.term
            # Start the outage at each phase of the renewal interval.
            for number in range(31):
                backup = store.back_up()
                await anyio.sleep(4.0 + 0.05 * number)
                store.is_down = True
                await _check_held(held, term, 1.8)
                store.restore(backup)
                store.is_down = False
                await _check_held(held, term, 6.0)

        self.run_with_candidates(work)

    def test_holder_keeps_it_when_restored_during_a_read(
        self,
    ) -> None:
        # The store is restored a second time while the holder reads the
        # lease after the first restore.
        async def body() -> None:
            store = standin_store.StandinStore()
            connection = HookedConnection(store)
            lease = leases.Lease(connection, "duty", "run")
            async with anyio.create_task_group() as tasks:
                empty = store.back_up()
                tasks.start_soon(lease.run)
                await anyio.sleep(0.1)
                backup = store.back_up()
                await anyio.sleep(4.0)
                connection.after_get = lambda: store.restore(empty)
                store.restore(backup)
                await _check_held(lease, lease.term, 6.0)
                assert connection.after_get is None
                tasks.cancel_scope.cancel()

        virtual.run(body)

    def test_renewal_at_a_reassigned_version_does_not_hold_it(
        self,
    ) -> None:
        # The holder is cut off until its lease expires, then renews it at a
        # version that belongs to another holder's write by now.
        async def body() -> None:
            store = standin_store.StandinStore()
            empty = store.back_up()
            connection = HookedConnection(store)
            lease = leases.Lease(connection, "duty", "run")

            def reassign_version(version: int) -> None:
                store.restore(empty)
                while store.write("other", "o", b"1") < version - 1:
                    pass
                value = b'{"holder":"another","term":1}'
                assert store.write(leases.KIND, "duty", value) == version

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(lease.run)
                await anyio.sleep(4.0)
                connection.is_cut = True
                await anyio.sleep(5.0)
                assert not lease.is_held
                connection.before_put = reassign_version
                connection.is_cut = False
                for _ in range(int(leases.LEASE_SECONDS * 100)):
                    await anyio.sleep(0.01)
                    assert not lease.is_held
                assert connection.before_put is None
                await anyio.sleep(2 * leases.RENEW_SECONDS)
                assert lease.is_held
                tasks.cancel_scope.cancel()

        virtual.run(body)

    def test_lease_free_in_the_backup_is_not_taken(
        self,
    ) -> None:
        async def work(
            store: standin_store.StandinStore, candidates: list[leases.Lease]
        ) -> None:
            store.restore(standin_store.StandinStore().back_up())
            new_lease = leases.Lease(
                store, "duty", "fresh", is_new_fleet=False
            )
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(new_lease.run)
                for _ in range(1_000):
                    await anyio.sleep(0.01)
                    assert candidates[0].is_held
                    assert not new_lease.is_held
                tasks.cancel_scope.cancel()

        self.run_with_candidates(work)

    def test_new_process_waits_until_nobody_can_hold_it(
        self,
    ) -> None:
        async def body() -> None:
            store = standin_store.StandinStore()
            new_lease = leases.Lease(
                store, "duty", "fresh", is_new_fleet=False
            )
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(new_lease.run)
                await anyio.sleep(leases.LEASE_SECONDS - 0.1)
                assert not new_lease.is_held
                await anyio.sleep(leases.RENEW_SECONDS + 0.2)
                assert new_lease.is_held
                tasks.cancel_scope.cancel()

        virtual.run(body)

    def test_overwritten_term_is_not_used_again(self) -> None:
        # A write that races with the restore replaces the first term of the
        # epoch by an older one. The first term must not be used again.
        async def body() -> None:
            store = standin_store.StandinStore()
            empty = store.back_up()
            connection = HookedConnection(store)
            lease = leases.Lease(connection, "duty", "run")
            first_term = 0

            def replace_holder(version: int) -> None:
                nonlocal first_term
                store.restore(empty)
                first_term = leases.TERMS_PER_EPOCH + 1
                value = f'{{"holder":"another","term":{first_term}}}'.encode()
                while store.write(leases.KIND, "duty", value) < version:
                    pass

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(lease.run)
                await anyio.sleep(4.0)
                connection.is_cut = True
                await anyio.sleep(5.0)
                connection.before_put = replace_holder
                connection.is_cut = False
                await anyio.sleep(3 * leases.LEASE_SECONDS)
                assert lease.is_held
                assert lease.term > first_term > 0
                tasks.cancel_scope.cancel()

        virtual.run(body)

    @hypothesis.given(strategies.integers(0, 2**32))
    @hypothesis.settings(max_examples=60, deadline=None, derandomize=True)
    def test_never_has_two_holders_or_a_term_twice(self, seed: int) -> None:
        async def body() -> None:
            rng = random.Random(seed)
            store = standin_store.StandinStore()
            candidates = Candidates(store, rng)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(candidates.run)
                backups = [store.back_up()]
                for _ in range(3_000):
                    if rng.random() < 0.01:
                        backups.append(store.back_up())
                    if rng.random() < 0.003:
                        store.restore(rng.choice(backups[-5:]))
                    if rng.random() < 0.01:
                        # Assigns a version that was lost in a restore.
                        store.write("other", "o", b"1")
                    await anyio.sleep(0.01)
                    candidates.check_one_holder()
                tasks.cancel_scope.cancel()

        virtual.run(body)


async def _check_held(lease: leases.Lease, term: int, seconds: float) -> None:
    """Check for some seconds that a lease is held in one term."""
    for _ in range(int(seconds * 100)):
        await anyio.sleep(0.01)
        assert lease.is_held
        assert lease.term == term


class HookedConnection(zone_system.StoreConnection):
    """A connection to the store that calls each of its hooks once."""

    def __init__(self, store: standin_store.StandinStore) -> None:
        super().__init__(store)
        self.after_get: typing.Callable[[], None] | None = None
        self.before_put: typing.Callable[[int], None] | None = None

    async def get(
        self, kind: str, name: str, *, allow_stale: bool = False
    ) -> stores.StoredObject | None:
        found = await super().get(kind, name, allow_stale=allow_stale)
        hook, self.after_get = self.after_get, None
        if hook is not None:
            hook()
        return found

    async def put(
        self, kind: str, name: str, value: bytes, expected: int
    ) -> int:
        self._count_call()
        hook, self.before_put = self.before_put, None
        if hook is not None:
            hook(expected)
        return await super().put(kind, name, value, expected)


class Candidates:
    """Processes that compete for one lease, are cut off and restarted."""

    def __init__(
        self, store: standin_store.StandinStore, rng: random.Random
    ) -> None:
        self._store = store
        self._rng = rng
        self._leases: list[leases.Lease] = []
        self._connections: list[zone_system.StoreConnection] = []
        self._holders: dict[int, leases.Lease] = {}
        self._count = 0

    async def run(self) -> None:
        async with anyio.create_task_group() as tasks:
            for _ in range(3):
                tasks.start_soon(self._run_candidates)
            while True:
                await anyio.sleep(self._rng.uniform(0.2, 4.0))
                connection = self._rng.choice(self._connections)
                connection.is_cut = not connection.is_cut
                self._store.lost_replies = self._rng.choice((0, 0, 1, 2))

    async def _run_candidates(self) -> None:
        while True:
            self._count += 1
            connection = zone_system.StoreConnection(self._store)
            lease = leases.Lease(
                connection, "duty", f"run-{self._count}", is_new_fleet=False
            )
            self._connections.append(connection)
            self._leases.append(lease)
            with anyio.move_on_after(self._rng.uniform(3.0, 25.0)):
                await lease.run()
            if self._rng.random() < 0.3:
                await lease.release()
            self._leases.remove(lease)
            self._connections.remove(connection)

    def check_one_holder(self) -> None:
        holding = [
            candidate for candidate in self._leases if candidate.is_held
        ]
        assert len(holding) <= 1
        for holder in holding:
            assert self._holders.setdefault(holder.term, holder) is holder
            assert holder.term == max(self._holders)
