# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Calls of plain services run at most once and have correct verdicts."""

import typing

import anyio
import pytest

from crowdeck import errors
from crowdeck import verdict as verdicts
from crowdeck.wire import questions
from tests import system as systems
from tests import virtual


def lose_first(kind: type) -> typing.Any:
    """Return a fault that loses the first message of a class."""
    lost: list[object] = []

    def fault(
        source: str, target: str, message: typing.Any
    ) -> tuple[float, ...]:
        if isinstance(message, kind) and not lost:
            lost.append(message)
            return ()
        return (0.0,)

    return fault


class TestUnkeyed:
    """Calls without an idempotency key."""

    def test_call_runs_once(self) -> None:
        async def check() -> None:
            async with systems.System() as system:
                called = await system.entry().calls.call(
                    system.service_call("a")
                )
                assert called.body == b"a run 1"
                assert system.service.runs == {"a": 1}

        virtual.run(check)

    def test_call_is_retried_when_the_upstream_was_not_reached(self) -> None:
        async def check() -> None:
            async with systems.System(services=1) as system:
                broken = systems.CountingService()
                broken.failure = errors.CrowdeckError(
                    errors.Code.UPSTREAM_LOST, "refused"
                )
                await system.add_sidecar("r9", None, {"records": broken})
                await anyio.sleep(2.0)
                for number in range(8):
                    service_call = system.service_call(f"n{number}")
                    await system.entry().calls.call(service_call)
                assert set(system.service.runs.values()) == {1}
                assert not broken.runs

        virtual.run(check)

    def test_call_whose_answer_was_lost_is_not_retried(self) -> None:
        async def check() -> None:
            async with systems.System() as system:
                system.service.failure = systems.make_error(
                    errors.Code.UPSTREAM_LOST
                )
                with pytest.raises(errors.CrowdeckError) as caught:
                    await system.entry().calls.call(system.service_call("a"))
                assert caught.value.verdict is verdicts.Verdict.MAY_HAVE_RUN

        virtual.run(check)

    def test_repeatable_call_survives_the_death_of_its_sidecar(self) -> None:
        async def check() -> None:
            async with systems.System() as system:
                system.service.run_seconds = 0.5
                service_call = system.service_call("a", is_repeatable=True)
                replies: list[questions.Called] = []

                async def call() -> None:
                    replies.append(
                        await system.entry().calls.call(service_call)
                    )

                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(call)
                    await anyio.sleep(0.2)
                    system.kill(_running_sidecar(system))
                assert replies

        virtual.run(check)

    def test_call_may_have_run_when_its_sidecar_dies(self) -> None:
        async def check() -> None:
            async with systems.System() as system:
                system.service.run_seconds = 0.5
                raised: list[errors.CrowdeckError] = []

                async def call() -> None:
                    try:
                        await system.entry().calls.call(
                            system.service_call("a", seconds=3.0)
                        )
                    except errors.CrowdeckError as error:
                        raised.append(error)

                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(call)
                    await anyio.sleep(0.2)
                    system.kill(_running_sidecar(system))
                assert raised[0].verdict is verdicts.Verdict.MAY_HAVE_RUN
                assert sum(system.service.runs.values()) == 1

        virtual.run(check)


class TestFrozenSidecar:
    """A sidecar stops answering while its links stay open."""

    def test_frozen_sidecar_is_noticed_long_before_the_deadline(self) -> None:
        async def check() -> None:
            async with systems.System() as system:
                system.service.run_seconds = 0.3
                service_call = system.service_call(
                    "a", is_repeatable=True, seconds=60.0
                )
                started = anyio.current_time()

                async def freeze() -> None:
                    await anyio.sleep(0.1)
                    system.network.freeze(_running_sidecar(system))

                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(freeze)
                    await system.entry().calls.call(service_call)
                assert anyio.current_time() - started < 4.0

        virtual.run(check)


class TestLostReplies:
    """Messages of a call are lost while its sidecar lives."""

    def test_lost_call_is_not_sent_again(self) -> None:
        async def check() -> None:
            async with systems.System() as system:
                system.network.fault = lose_first(questions.Call)
                service_call = system.service_call("a", seconds=1.0)
                raised: list[errors.CrowdeckError] = []
                try:
                    await system.entry().calls.call(service_call)
                except errors.CrowdeckError as error:
                    raised.append(error)
                # The entry waits for the reply until the deadline instead of
                # sending the call again.
                assert sum(system.service.runs.values()) <= 1
                assert raised

        virtual.run(check)

    def test_lost_call_is_sealed_and_retried(self) -> None:
        async def check() -> None:
            async with systems.System(services=1) as system:
                system.network.fault = lose_first(questions.Call)
                service_call = system.service_call("a")
                replies: list[questions.Called] = []

                async def call() -> None:
                    replies.append(
                        await system.entry().calls.call(service_call)
                    )

                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(call)
                    await anyio.sleep(0.5)
                    system.network.cut("e0", "r0")
                    await anyio.sleep(0.5)
                    system.network.reconnect("e0", "r0")
                assert replies[0].body == b"a run 1"

        virtual.run(check)

    def test_lost_answer_is_collected(self) -> None:
        async def check() -> None:
            async with systems.System(services=1) as system:
                system.network.fault = lose_first(questions.Called)
                service_call = system.service_call("a")
                replies: list[questions.Called] = []

                async def call() -> None:
                    replies.append(
                        await system.entry().calls.call(service_call)
                    )

                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(call)
                    await anyio.sleep(0.5)
                    system.network.cut("e0", "r0")
                    await anyio.sleep(0.2)
                    system.network.reconnect("e0", "r0")
                assert replies[0].body == b"a run 1"
                assert system.service.runs == {"a": 1}

        virtual.run(check)

    def test_late_arrival_after_a_seal_does_not_run(self) -> None:
        async def check() -> None:
            async with systems.System(services=1) as system:
                delayed: list[object] = []

                def delay(
                    source: str, target: str, message: typing.Any
                ) -> tuple[float, ...]:
                    if isinstance(message, questions.Call) and not delayed:
                        delayed.append(message)
                        return (5.0,)
                    return (0.0,)

                system.network.fault = delay
                sidecar = system.sidecar("r0")
                listed = system.store.listed("r0")
                assert listed is not None
                peer = await system.network.nodes[0].dial(listed.address)
                call = questions.Call(
                    request="x",
                    epoch=0,
                    incarnation=sidecar.incarnation,
                    team="kiosks",
                    service="records",
                    method="POST",
                    path="/",
                    headers=(),
                    body=b"late",
                    seconds_left=60.0,
                    traceparent="",
                )
                seal = questions.Seal("x", 0, sidecar.incarnation)
                replies: list[questions.Reply] = []

                async def ask() -> None:
                    replies.append(await peer.ask(call, 30.0))

                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(ask)
                    await anyio.sleep(1.0)
                    sealed = await peer.ask(seal, 1.0)
                assert sealed == questions.Sealed(verdicts.Verdict.NOT_RUN)
                assert isinstance(replies[0], questions.Refused)
                assert replies[0].code == errors.Code.SEALED
                assert not system.service.runs

        virtual.run(check)


class TestKeyed:
    """Calls with an idempotency key, across entries."""

    def test_second_call_gets_the_first_answer(self) -> None:
        async def check() -> None:
            async with systems.System() as system:
                first = await system.entry(0).calls.call(
                    system.service_call("a", key="k")
                )
                second = await system.entry(1).calls.call(
                    system.service_call("a", key="k")
                )
                assert first == second
                assert system.service.runs == {"a": 1}

        virtual.run(check)

    def test_two_entries_at_once_run_one_call(self) -> None:
        async def check() -> None:
            async with systems.System() as system:
                replies: list[bytes] = []

                async def call(entry: int) -> None:
                    called = await system.entry(entry).calls.call(
                        system.service_call("a", key="k")
                    )
                    replies.append(called.body)

                async with anyio.create_task_group() as tasks:
                    for number in range(6):
                        tasks.start_soon(call, number % 2)
                assert replies == [b"a run 1"] * 6

        virtual.run(check)

    def test_key_of_another_request_is_refused(self) -> None:
        async def check() -> None:
            async with systems.System() as system:
                await system.entry().calls.call(
                    system.service_call("a", key="k")
                )
                with pytest.raises(errors.CrowdeckError) as caught:
                    await system.entry().calls.call(
                        system.service_call("b", key="k")
                    )
                assert caught.value.code == errors.Code.KEY_IN_USE

        virtual.run(check)

    @pytest.mark.parametrize("step", range(14))
    def test_retry_at_each_point_of_the_first_run(self, step: int) -> None:
        """The first entry dies at some point, and its caller retries."""

        async def check() -> None:
            async with systems.System() as system:
                system.service.run_seconds = 0.02

                async def first() -> None:
                    await system.entry(0).calls.call(
                        system.service_call("a", key="k")
                    )

                with anyio.move_on_after(0.004 * step):
                    await first()
                system.kill("e0")
                called = await system.entry(1).calls.call(
                    system.service_call("a", key="k")
                )
                assert called.body == b"a run 1"
                await anyio.sleep(5.0)
                assert system.service.runs == {"a": 1}

        virtual.run(check)

    def test_lost_sidecar_means_the_key_is_spent(self) -> None:
        async def check() -> None:
            async with systems.System() as system:
                await system.entry().calls.call(
                    system.service_call("a", key="k")
                )
                for name in ("r0", "r1"):
                    system.kill(name)
                    await system.add_sidecar(
                        name, None, {"records": system.service}
                    )
                await anyio.sleep(4.0)
                with pytest.raises(errors.CrowdeckError) as caught:
                    await system.entry().calls.call(
                        system.service_call("a", key="k")
                    )
                assert caught.value.code == errors.Code.KEY_SPENT
                assert caught.value.verdict is verdicts.Verdict.MAY_HAVE_RUN
                assert system.service.runs == {"a": 1}

        virtual.run(check)

    def test_key_may_be_used_again_when_nothing_ran(self) -> None:
        async def check() -> None:
            async with systems.System() as system:
                system.service.failure = errors.CrowdeckError(
                    errors.Code.UPSTREAM_LOST, "refused"
                )
                with pytest.raises(errors.CrowdeckError) as caught:
                    await system.entry().calls.call(
                        system.service_call("a", key="k")
                    )
                assert caught.value.verdict is verdicts.Verdict.NOT_RUN
                system.service.failure = None
                called = await system.entry(1).calls.call(
                    system.service_call("a", key="k")
                )
                assert called.body == b"a run 1"

        virtual.run(check)

    def test_store_down_is_not_run_with_a_retry_time(self) -> None:
        async def check() -> None:
            async with systems.System() as system:
                system.store.is_down = True
                with pytest.raises(errors.CrowdeckError) as caught:
                    await system.entry().calls.call(
                        system.service_call("a", key="k")
                    )
                assert caught.value.code == errors.Code.STORE_DOWN
                assert caught.value.verdict is verdicts.Verdict.NOT_RUN
                assert caught.value.retry_after is not None
                assert not system.service.runs
                # Calls without a key need no store.
                await system.entry().calls.call(system.service_call("b"))
                assert system.service.runs == {"b": 1}

        virtual.run(check)

    def test_lost_store_replies_do_not_repeat_a_call(self) -> None:
        async def check() -> None:
            async with systems.System() as system:
                system.store.lost_replies = 1
                called = await system.entry().calls.call(
                    system.service_call("a", key="k")
                )
                assert called.body == b"a run 1"
                assert system.service.runs == {"a": 1}

        virtual.run(check)


def _running_sidecar(system: systems.System) -> str:
    for name in ("r0", "r1"):
        if system.sidecar(name).running:
            return name
    raise AssertionError("no sidecar runs a call")
