# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Tests of processes whose machine is suspended.

The clock of ``timers.BootTimeEventLoop`` includes the time of a suspension;
most tests simulate this with ``virtual.VirtualLoop.pass_time``.
"""

import asyncio
import time
import typing

import anyio
import pytest

from crowdeck import errors
from crowdeck.placement import controller as controllers
from crowdeck.placement import plan
from crowdeck.relay import relay as relays
from crowdeck import route as routes
from crowdeck.standin import store as standin_store
from crowdeck.state import leases
from crowdeck.state import mirror as mirrors
from crowdeck.state import objects as stores
from crowdeck import timers
from tests import fleet_system
from tests import virtual

SUSPENSIONS_SECONDS = (0.5, 2.0, 6.0, 60.0)


def suspend(seconds: float) -> None:
    """Suspend the machine for some seconds."""
    loop = asyncio.get_running_loop()
    assert isinstance(loop, virtual.VirtualLoop)
    loop.pass_time(seconds)


class TestBootTimeEventLoop:
    """The clocks of a daemon's event loop."""

    def test_counts_the_time_of_a_suspension(
        self, monkeypatch: typing.Any
    ) -> None:
        suspended = 0.0
        real = time.clock_gettime

        def boot_time(clock: int) -> float:
            assert clock == timers._BOOT_CLOCK_ID
            return real(clock) + suspended

        async def body() -> None:
            nonlocal suspended
            began = anyio.current_time()
            fired: list[float] = []
            loop = asyncio.get_running_loop()
            loop.call_later(30.0, lambda: fired.append(loop.time()))
            suspended = 60.0
            await anyio.sleep(0.0)
            await anyio.sleep(0.01)
            assert anyio.current_time() - began >= 60.0
            assert fired

        monkeypatch.setattr(timers.time, "clock_gettime", boot_time)
        anyio.run(
            body, backend_options={"loop_factory": timers.BootTimeEventLoop}
        )

    def test_timer_service_offers_both_clocks(self) -> None:
        class Fixed:
            def __init__(self, at: float) -> None:
                self._at = at

            def now(self) -> float:
                return self._at

        service = timers.TimerService(Fixed(9.0), Fixed(4.0))
        assert (service.now(), service.monotonic_now()) == (9.0, 4.0)
        assert timers.BootClock().now() >= timers.MonotonicClock().now() - 1.0


class TestLease:
    """A lease whose holder is suspended."""

    @pytest.mark.parametrize("seconds", SUSPENSIONS_SECONDS)
    def test_expires_during_a_long_suspension(self, seconds: float) -> None:
        async def body() -> None:
            store = standin_store.StandinStore()
            lease = leases.Lease(store, "duty", "one")
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(lease.run)
                await anyio.sleep(0.1)
                assert lease.is_held
                suspend(seconds)
                # Checked before any other task runs.
                held_seconds = (
                    leases.LEASE_SECONDS - leases.SAFETY_MARGIN_SECONDS
                )
                assert lease.is_held is (seconds + 0.1 < held_seconds)
                tasks.cancel_scope.cancel()

        virtual.run(body)

    @pytest.mark.parametrize("after_report", [True, False])
    def test_expired_holder_sends_no_order(self, after_report: bool) -> None:
        # The machine is suspended just before an engine reports its layers, or
        # after that and before the controller receives the report.
        async def body() -> None:
            system = fleet_system.FleetSystem()
            system.install(system.config)
            for number in range(4):
                system.add(fleet_system.upstream(f"e{number}", card="large"))
            store = standin_store.StandinStore()
            lease = leases.Lease(store, "placement", "one")
            orders = SuspendingOrders(system.fleet, after_report)
            placement = controllers.PlacementController(
                lease, system.registry, orders, lambda: system.holder.services
            )
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(lease.run)
                tasks.start_soon(placement.run)
                with anyio.move_on_after(20.0):
                    await orders.suspended.wait()
                store.is_down = True
                await anyio.sleep(3.0)
                assert orders.orders_after_suspension == 0
                tasks.cancel_scope.cancel()

        virtual.run(body)


class SuspendingOrders:
    """Sends orders; suspends the machine for a minute at the first report."""

    def __init__(self, fleet: typing.Any, after_report: bool) -> None:
        self._fleet = fleet
        self._after_report = after_report
        self.suspended = anyio.Event()
        self.orders_after_suspension = 0

    async def report(self, upstream: typing.Any) -> typing.Any:
        if not self._after_report:
            self._suspend_once()
        report = await self._fleet.report(upstream)
        if self._after_report:
            self._suspend_once()
        return report

    async def place(self, move: plan.Move, *arguments: int) -> bool:
        self.orders_after_suspension += self.suspended.is_set()
        return bool(await self._fleet.place(move, *arguments))

    def _suspend_once(self) -> None:
        if not self.suspended.is_set():
            suspend(60.0)
            self.suspended.set()


class NullListener:
    """Ignores what a mirror reports."""

    def on_listed(self, objects: typing.Any) -> None:
        pass

    def on_changed(self, objects: typing.Any, removed: typing.Any) -> None:
        pass


class TestMirror:
    """The mirrored config, and the API keys that it makes valid."""

    @pytest.mark.parametrize("seconds", SUSPENSIONS_SECONDS)
    def test_age_includes_the_suspension(self, seconds: float) -> None:
        async def body() -> None:
            store = standin_store.StandinStore()
            mirror = mirrors.Mirror(store, "config", NullListener(), 0.8)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(mirror.run)
                await anyio.sleep(2.0)
                before = mirror.age()
                suspend(seconds)
                assert mirror.age() >= before + seconds
                tasks.cancel_scope.cancel()

        virtual.run(body)

    def test_earlier_answer_does_not_confirm_the_copy_as_current(self) -> None:
        # The watch was answered before the suspension, and the answer is
        # read after it.
        async def body() -> None:
            store = standin_store.StandinStore()
            mirror = mirrors.Mirror(store, "config", NullListener(), 0.8)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(mirror.run)
                await anyio.sleep(1.0)
                suspend(30.0)
                for _ in range(3):
                    await anyio.sleep(0.0)
                assert mirror.age() > 28.0
                await anyio.sleep(0.1)
                assert mirror.age() < 2.0
                tasks.cancel_scope.cancel()

        virtual.run(body)

    @pytest.mark.parametrize("seconds", [2.0, 60.0])
    def test_outdated_keys_are_refused_after_the_suspension(
        self, seconds: float
    ) -> None:
        async def body() -> None:
            system = fleet_system.FleetSystem()
            system.install(system.config)
            system.add_model()
            confirmed_at = anyio.current_time()
            relay = relays.Relay(
                system.context,
                system.holder,
                system.monitor,
                lambda: anyio.current_time() - confirmed_at,
                3.5,
            )
            suspend(seconds)
            caller = fleet_system.Caller()
            request = system.request(routes.RepeatPolicy.ONCE)
            if seconds < 3.5:
                return
            with pytest.raises(errors.CrowdeckError) as caught:
                await relay.serve(request, caller)
            assert caught.value.code is errors.Code.STORE_DOWN
            assert system.fleet.runs == []
            assert not relay.is_ready

        virtual.run(body)


class TestRequests:
    """Requests in progress during a suspension."""

    def test_request_past_its_deadline_is_not_sent(self) -> None:
        async def body() -> None:
            system = fleet_system.FleetSystem()
            system.install(system.config)
            system.add_model()
            request = system.request(routes.RepeatPolicy.STREAM)
            suspend(request.timeout_seconds or 0.0)
            caller = await system.ask(request)
            assert caller.error is not None
            assert system.fleet.runs == []

        virtual.run(body)

    @pytest.mark.parametrize("seconds", SUSPENSIONS_SECONDS)
    def test_stream_goes_on_or_is_cut(self, seconds: float) -> None:
        async def body() -> None:
            system = fleet_system.FleetSystem()
            system.install(system.config)
            system.add_model()

            async def work(tested_system: fleet_system.FleetSystem) -> None:
                request = tested_system.request(routes.RepeatPolicy.STREAM)
                done: list[fleet_system.Caller] = []

                async def ask() -> None:
                    done.append(await tested_system.ask(request))

                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(ask)
                    await anyio.sleep(0.2)
                    suspend(seconds)
                whole = fleet_system.whole_answer(
                    request.id, tested_system.fleet.events
                )
                caller = done[0]
                assert whole.startswith(caller.body)
                assert caller.is_complete is (caller.body == whole)
                # No upstream is avoided because of the suspension.
                assert tested_system.registry.failed() == ()

            await fleet_system.run_with(system, work)

        virtual.run(body)

    @pytest.mark.parametrize("seconds", SUSPENSIONS_SECONDS)
    def test_engine_that_left_meanwhile_is_not_used(
        self, seconds: float
    ) -> None:
        async def body() -> None:
            system = fleet_system.FleetSystem()
            system.install(system.config)
            engine = fleet_system.upstream("e", layers=(0, 80), card="large")
            system.add(engine)
            leaving = fleet_system.attrs.evolve(engine, is_leaving=True)
            system.list_instance(leaving)
            assert system.registry.usable_while_leaving(fleet_system.MODEL)
            suspend(seconds)
            left = system.registry.usable_while_leaving(fleet_system.MODEL)
            assert bool(left) is (seconds < 1.0)

        virtual.run(body)


class TestPeer:
    """A peer's answer that arrives during a suspension."""

    def test_peer_answer_confirms_only_up_to_the_question(self) -> None:
        class PeerReplica:
            async def watch(
                self, kind: str, after: stores.Position, wait: float
            ) -> stores.PeerChanges:
                await anyio.sleep(0.01)
                suspend(40.0)
                # The peer's copy was current when the question arrived.
                return stores.PeerChanges(
                    stores.Changes(after.version, ()), 0.0
                )

        class PeerSelector:
            def choose(self) -> PeerReplica:
                return PeerReplica()

            def seconds_until_retry(self) -> float:
                return float("inf")

        async def body() -> None:
            store = standin_store.StandinStore()
            mirror = mirrors.Mirror(
                store,
                "config",
                NullListener(),
                0.8,
                peers=typing.cast(mirrors.PeerSelector, PeerSelector()),
            )
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(mirror.run)
                await anyio.sleep(0.0)
                while mirror.age() < 1.0 or mirror.age() == float("inf"):
                    await anyio.sleep(0.001)
                assert mirror.age() >= 40.0
                tasks.cancel_scope.cancel()

        virtual.run(body)
