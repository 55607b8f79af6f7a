# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""A lease in a store that comes back from a copy some seconds old.

What was seen beside the missed changes that ``test_restored_store`` tells of:
the giver of orders found its lease written by "another", which was its own
older lease, gave the duty up for three seconds, and took it again with the
term that it had had before. A lease that is free in the copy, or at a version
given out again, could as well be taken beside its holder.
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
    """Who holds a duty when the store that says so came back from a copy."""

    def play(
        self,
        work: typing.Callable[
            [standin_store.StandinStore, list[leases.Lease]],
            typing.Awaitable[None],
        ],
    ) -> None:
        async def body() -> None:
            store = standin_store.StandinStore()
            rivals = [
                leases.Lease(store, "duty", f"run-{number}")
                for number in range(3)
            ]
            async with anyio.create_task_group() as tasks:
                for rival in rivals:
                    tasks.start_soon(rival.run)
                    await anyio.sleep(0.5)
                await work(store, rivals)
                tasks.cancel_scope.cancel()

        virtual.run(body)

    def test_is_held_on_through_a_short_return(self) -> None:
        # It was lost for three seconds, and taken again with the term that
        # it had before.
        async def work(
            store: standin_store.StandinStore, rivals: list[leases.Lease]
        ) -> None:
            held = rivals[0]
            term = held.term
            # At each phase of its renewals.
            for number in range(31):
                backup = store.back_up()
                await anyio.sleep(4.0 + 0.05 * number)
                store.is_down = True
                await _require_held(held, term, 1.8)
                store.restore(backup)
                store.is_down = False
                await _require_held(held, term, 6.0)

        self.play(work)

    def test_answer_of_the_epoch_before_costs_its_holder_nothing(
        self,
    ) -> None:
        # The store returns a second time while the holder is being told
        # how its first return left the lease.
        async def body() -> None:
            store = standin_store.StandinStore()
            way = Hooked(store)
            lease = leases.Lease(way, "duty", "run")
            async with anyio.create_task_group() as tasks:
                empty = store.back_up()
                tasks.start_soon(lease.run)
                await anyio.sleep(0.1)
                backup = store.back_up()
                await anyio.sleep(4.0)
                way.after_get = lambda: store.restore(empty)
                store.restore(backup)
                await _require_held(lease, lease.term, 6.0)
                assert way.after_get is None
                tasks.cancel_scope.cancel()

        virtual.run(body)

    def test_write_over_another_at_the_same_version_holds_nothing(
        self,
    ) -> None:
        # Cut off until it had lapsed, it renews at a version that is
        # another holder's by now.
        async def body() -> None:
            store = standin_store.StandinStore()
            empty = store.back_up()
            way = Hooked(store)
            lease = leases.Lease(way, "duty", "run")

            def give_version_out_again(version: int) -> None:
                store.restore(empty)
                while store.write("other", "o", b"1") < version - 1:
                    pass
                value = b'{"holder":"another","term":1}'
                assert store.write(leases.KIND, "duty", value) == version

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(lease.run)
                await anyio.sleep(4.0)
                way.is_cut = True
                await anyio.sleep(5.0)
                assert not lease.is_held
                way.before_put = give_version_out_again
                way.is_cut = False
                for _ in range(int(leases.LEASE_SECONDS * 100)):
                    await anyio.sleep(0.01)
                    assert not lease.is_held
                assert way.before_put is None
                await anyio.sleep(2 * leases.RENEW_SECONDS)
                assert lease.is_held
                tasks.cancel_scope.cancel()

        virtual.run(body)

    def test_free_in_an_old_copy_it_is_not_taken_from_its_holder(
        self,
    ) -> None:
        async def work(
            store: standin_store.StandinStore, rivals: list[leases.Lease]
        ) -> None:
            store.restore(standin_store.StandinStore().back_up())
            fresh = leases.Lease(store, "duty", "fresh", is_new_fleet=False)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(fresh.run)
                for _ in range(1_000):
                    await anyio.sleep(0.01)
                    assert rivals[0].is_held
                    assert not fresh.is_held
                tasks.cancel_scope.cancel()

        self.play(work)

    def test_one_that_starts_anew_takes_it_when_nobody_can_hold_it(
        self,
    ) -> None:
        async def body() -> None:
            store = standin_store.StandinStore()
            fresh = leases.Lease(store, "duty", "fresh", is_new_fleet=False)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(fresh.run)
                await anyio.sleep(leases.LEASE_SECONDS - 0.1)
                assert not fresh.is_held
                await anyio.sleep(leases.RENEW_SECONDS + 0.2)
                assert fresh.is_held
                tasks.cancel_scope.cancel()

        virtual.run(body)

    def test_write_over_another_hides_no_term(self) -> None:
        # Found by the model: a write that crossed the return replaced the
        # first term of the epoch by an older one, and it was given again.
        async def body() -> None:
            store = standin_store.StandinStore()
            empty = store.back_up()
            way = Hooked(store)
            lease = leases.Lease(way, "duty", "run")
            given = 0

            def pass_on(version: int) -> None:
                nonlocal given
                store.restore(empty)
                given = leases.TERMS_PER_EPOCH + 1
                value = f'{{"holder":"another","term":{given}}}'.encode()
                while store.write(leases.KIND, "duty", value) < version:
                    pass

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(lease.run)
                await anyio.sleep(4.0)
                way.is_cut = True
                await anyio.sleep(5.0)
                way.before_put = pass_on
                way.is_cut = False
                await anyio.sleep(3 * leases.LEASE_SECONDS)
                assert lease.is_held
                assert lease.term > given > 0
                tasks.cancel_scope.cancel()

        virtual.run(body)

    @hypothesis.given(strategies.integers(0, 2**32))
    @hypothesis.settings(max_examples=60, deadline=None, derandomize=True)
    def test_never_has_two_holders_nor_a_term_twice(self, seed: int) -> None:
        async def body() -> None:
            rng = random.Random(seed)
            store = standin_store.StandinStore()
            rivals = Rivals(store, rng)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(rivals.run)
                backups = [store.back_up()]
                for _ in range(3_000):
                    if rng.random() < 0.01:
                        backups.append(store.back_up())
                    if rng.random() < 0.003:
                        store.restore(rng.choice(backups[-5:]))
                    if rng.random() < 0.01:
                        # Versions are given out again to other writes.
                        store.write("other", "o", b"1")
                    await anyio.sleep(0.01)
                    rivals.require_one_holder()
                tasks.cancel_scope.cancel()

        virtual.run(body)


async def _require_held(
    lease: leases.Lease, term: int, seconds: float
) -> None:
    """Have a lease be held for some time, in one term."""
    for _ in range(int(seconds * 100)):
        await anyio.sleep(0.01)
        assert lease.is_held
        assert lease.term == term


class Hooked(zone_system.StoreConnection):
    """A way to the store on which something happens once."""

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


class Rivals:
    """Processes that stand for one duty, cut off and started anew."""

    def __init__(
        self, store: standin_store.StandinStore, rng: random.Random
    ) -> None:
        self._store = store
        self._chance = rng
        self._leases: list[leases.Lease] = []
        self._ways: list[zone_system.StoreConnection] = []
        self._holders: dict[int, leases.Lease] = {}
        self._count = 0

    async def run(self) -> None:
        async with anyio.create_task_group() as tasks:
            for _ in range(3):
                tasks.start_soon(self._live)
            while True:
                await anyio.sleep(self._chance.uniform(0.2, 4.0))
                way = self._chance.choice(self._ways)
                way.is_cut = not way.is_cut
                self._store.lost_replies = self._chance.choice((0, 0, 1, 2))

    async def _live(self) -> None:
        while True:
            self._count += 1
            way = zone_system.StoreConnection(self._store)
            lease = leases.Lease(
                way, "duty", f"run-{self._count}", is_new_fleet=False
            )
            self._ways.append(way)
            self._leases.append(lease)
            with anyio.move_on_after(self._chance.uniform(3.0, 25.0)):
                await lease.run()
            if self._chance.random() < 0.3:
                await lease.release()
            self._leases.remove(lease)
            self._ways.remove(way)

    def require_one_holder(self) -> None:
        holding = [one for one in self._leases if one.is_held]
        assert len(holding) <= 1
        for one in holding:
            assert self._holders.setdefault(one.term, one) is one
            assert one.term == max(self._holders)
