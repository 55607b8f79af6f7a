# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""The claims ledger on a store that fails or is restored."""

import random

import anyio
import attrs
import hypothesis
from hypothesis import strategies
import pytest

from crowdeck import errors
from crowdeck.standin import store as stores
from crowdeck.state import claims
from crowdeck import timers
from crowdeck import verdict as verdicts
from tests import virtual


def make_claim(key: str, nonce: str) -> claims.Claim:
    return claims.Claim(
        key=claims.digest_key("team", "service", key),
        fingerprint="f",
        request=f"request-{nonce}",
        nonce=nonce,
        sidecars=("r0",),
        incarnations=(1,),
        expires=anyio.current_time() + 900.0,
    )


def make_ledger(store: stores.StandinStore) -> claims.ClaimsLedger:
    return claims.ClaimsLedger(store, timers.LoopClock(), anyio.current_time)


class TestLedger:
    """Who holds a key, and how many store calls it takes to decide that."""

    def test_many_claims_share_few_writes(self) -> None:
        async def body() -> None:
            store = stores.StandinStore()
            ledger = make_ledger(store)
            async with anyio.create_task_group() as tasks:
                for number in range(2000):
                    name = f"n{number}"
                    tasks.start_soon(ledger.claim, make_claim(name, name))
            assert store.calls["put"] <= claims.SHARD_COUNT

        virtual.run(body)

    def test_racing_ledgers_agree_on_one_holder(self) -> None:
        async def body() -> None:
            store = stores.StandinStore()
            ledgers = [make_ledger(store) for _ in range(5)]
            holders: list[str] = []

            async def claim(number: int) -> None:
                own_claim = make_claim("key", f"nonce-{number}")
                held = await ledgers[number].claim(own_claim)
                holders.append(held.nonce)

            async with anyio.create_task_group() as tasks:
                for number in range(5):
                    tasks.start_soon(claim, number)
            assert len(holders) == 5
            assert len(set(holders)) == 1

        virtual.run(body)

    def test_replacement_needs_the_current_nonce(self) -> None:
        async def body() -> None:
            ledger = make_ledger(stores.StandinStore())
            await ledger.claim(make_claim("key", "first"))
            third = make_claim("key", "third")
            held = await ledger.claim(third, replaces="second")
            assert held.nonce == "first"
            held = await ledger.claim(third, replaces="first")
            assert held.nonce == "third"

        virtual.run(body)

    def test_expired_claim_is_free_again(self) -> None:
        async def body() -> None:
            ledger = make_ledger(stores.StandinStore())
            old = attrs.evolve(make_claim("key", "old"), expires=0.001)
            await ledger.claim(old)
            await anyio.sleep(1.0)
            held = await ledger.claim(make_claim("key", "new"))
            assert held.nonce == "new"

        virtual.run(body)

    def test_full_shard_refuses_new_keys_as_not_run(self) -> None:
        async def body() -> None:
            store = stores.StandinStore()
            ledger = make_ledger(store)
            big = attrs.evolve(
                make_claim("key", "big"), request="x" * claims.MAX_SHARD_BYTES
            )
            with pytest.raises(errors.CrowdeckError) as caught:
                await ledger.claim(big)
            assert caught.value.code == errors.Code.OVERLOADED
            assert caught.value.verdict.is_retry_safe

        virtual.run(body)

    def test_cancelled_writer_leaves_nobody_waiting(self) -> None:
        async def body() -> None:
            store = stores.StandinStore()
            ledger = make_ledger(store)
            outcomes: list[str] = []

            async def claim(nonce: str) -> None:
                try:
                    held = await ledger.claim(make_claim("key", nonce))
                    outcomes.append(held.nonce)
                except errors.CrowdeckError as error:
                    outcomes.append(error.code)

            async with anyio.create_task_group() as tasks:
                for nonce in ("b", "c"):

                    async def later(nonce: str = nonce) -> None:
                        await anyio.sleep(0.001)
                        await claim(nonce)

                    tasks.start_soon(later)
                with anyio.move_on_after(0.011):
                    await claim("a")
            assert len(outcomes) == 2
            held = await ledger.claim(make_claim("key", "d"))
            assert held.nonce in ("a", "b", "c", "d")

        virtual.run(body)

    @hypothesis.settings(
        derandomize=True, database=None, deadline=None, max_examples=50
    )
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.floats(0.0, 0.2),
                strategies.sampled_from(["lose", "down", "up"]),
            ),
            max_size=6,
        )
    )
    def test_key_has_one_holder_despite_store_faults(
        self, faults: list[tuple[float, str]]
    ) -> None:
        async def body() -> None:
            store = stores.StandinStore()
            winners: list[str] = []

            async def claim(number: int) -> None:
                await anyio.sleep(0.01 * number)
                own_claim = make_claim("key", f"nonce-{number}")
                try:
                    held = await make_ledger(store).claim(own_claim)
                except errors.CrowdeckError as error:
                    assert error.verdict.is_retry_safe
                    return
                if held.nonce == own_claim.nonce:
                    winners.append(held.nonce)

            async def inject_fault(delay_seconds: float, fault: str) -> None:
                await anyio.sleep(delay_seconds)
                if fault == "lose":
                    store.lost_replies += 1
                else:
                    store.is_down = fault == "down"

            async with anyio.create_task_group() as tasks:
                for number in range(8):
                    tasks.start_soon(claim, number)
                for delay_seconds, fault in faults:
                    tasks.start_soon(inject_fault, delay_seconds, fault)
            assert len(winners) <= 1

        virtual.run(body)


class TestRestoredStore:
    """Claims that the store acknowledged and then lost.

    If such a key could be claimed again at another entry, a retried call
    would run twice.
    """

    def test_lost_claim_is_not_granted_to_another(self) -> None:
        async def body() -> None:
            store = stores.StandinStore()
            first, second = make_ledger(store), make_ledger(store)
            # Both have seen the epoch before the restore.
            await first.claim(make_claim("before", "a"))
            await second.claim(make_claim("other", "b"))
            backup = store.back_up()
            await first.claim(make_claim("key", "first"))
            store.restore(backup)
            again = make_claim("key", "second")
            with pytest.raises(errors.CrowdeckError) as caught:
                await second.claim(again)
            assert caught.value.code is errors.Code.STORE_DOWN
            assert caught.value.verdict is verdicts.Verdict.NOT_RUN
            assert 0 < caught.value.retry_after <= claims.RESTORE_WAIT_SECONDS
            await second.rewrite_outdated_claims()
            # Another call shows the new epoch to the first entry.
            await store.list("settings")
            await first.rewrite_outdated_claims()
            await anyio.sleep(claims.RESTORE_WAIT_SECONDS)
            held = await second.claim(again)
            assert held.nonce == "first"

        virtual.run(body)

    def test_own_claims_are_known_at_once(self) -> None:
        async def body() -> None:
            store = stores.StandinStore()
            ledger = make_ledger(store)
            backup = store.back_up()
            await ledger.claim(make_claim("key", "first"))
            store.restore(backup)
            held = await ledger.claim(make_claim("key", "second"))
            assert held.nonce == "first"

        virtual.run(body)

    def test_unclaimed_key_is_granted_after_the_wait(
        self,
    ) -> None:
        async def body() -> None:
            store = stores.StandinStore()
            ledger = make_ledger(store)
            await ledger.claim(make_claim("before", "a"))
            store.restore(store.back_up())
            with pytest.raises(errors.CrowdeckError):
                await ledger.claim(make_claim("key", "first"))
            await anyio.sleep(claims.RESTORE_WAIT_SECONDS)
            held = await ledger.claim(make_claim("key", "first"))
            assert held.nonce == "first"

        virtual.run(body)

    def test_entry_started_after_a_restore_waits_too(self) -> None:
        async def body() -> None:
            store = stores.StandinStore()
            store.restore(store.back_up())
            new_ledger = make_ledger(store)
            with pytest.raises(errors.CrowdeckError):
                await new_ledger.claim(make_claim("key", "first"))

        virtual.run(body)

    def test_unreachable_store_is_called_once_per_check(self) -> None:
        async def body() -> None:
            store = stores.StandinStore()
            ledger = make_ledger(store)
            for number in range(40):
                await ledger.claim(make_claim(f"key-{number}", f"n{number}"))
            store.restore(store.back_up())
            store.is_down = True
            before = store.calls.total()
            await ledger.rewrite_outdated_claims()
            assert store.calls.total() == before + 1

        virtual.run(body)

    def test_epoch_check_without_a_restore_makes_no_call(self) -> None:
        async def body() -> None:
            store = stores.StandinStore()
            ledger = make_ledger(store)
            await ledger.claim(make_claim("key", "first"))
            before = store.calls.total()
            for _ in range(50):
                await ledger.rewrite_outdated_claims()
            assert store.calls.total() == before

        virtual.run(body)

    @hypothesis.given(strategies.integers(0, 2**32))
    @hypothesis.settings(max_examples=40, deadline=None, derandomize=True)
    def test_each_key_has_one_holder_despite_restores(self, seed: int) -> None:
        async def body() -> None:
            rng = random.Random(seed)
            store = stores.StandinStore()
            ledgers = [make_ledger(store) for _ in range(3)]
            holders: dict[str, str] = {}
            backups = [store.back_up()]

            async def call(number: int) -> None:
                key = f"key-{rng.randrange(40)}"
                ledger = rng.choice(ledgers)
                claim = make_claim(key, f"nonce-{number}")
                try:
                    held = await ledger.claim(claim)
                except errors.CrowdeckError as error:
                    assert error.verdict is verdicts.Verdict.NOT_RUN
                    return
                assert holders.setdefault(key, held.nonce) == held.nonce

            async def rewrite_repeatedly(ledger: claims.ClaimsLedger) -> None:
                while True:
                    await anyio.sleep(claims.EPOCH_CHECK_SECONDS)
                    await ledger.rewrite_outdated_claims()

            async with anyio.create_task_group() as tasks:
                for ledger in ledgers:
                    tasks.start_soon(rewrite_repeatedly, ledger)
                for number in range(600):
                    tasks.start_soon(call, number)
                    if rng.random() < 0.03:
                        backups.append(store.back_up())
                    if rng.random() < 0.01:
                        store.restore(rng.choice(backups[-4:]))
                    await anyio.sleep(rng.uniform(0.0, 0.05))
                await anyio.sleep(3.0)
                tasks.cancel_scope.cancel()

        virtual.run(body)
