# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Turns of sessions run one at a time and in order, also across homes."""

import anyio
import pytest

from crowdeck import errors
from tests import system as systems
from tests import virtual


class _Session:
    """A caller's session that records the order of its turns."""

    def __init__(self, system: systems.System, session: str) -> None:
        self.system = system
        self.session = session
        self.order: list[str] = []
        self.running = 0

    async def run_turn(
        self,
        name: str,
        entry: int = 0,
        sequence: int = -1,
        wait_seconds: float = 30.0,
    ) -> None:
        deadline = anyio.current_time() + wait_seconds
        async with self.system.entry(entry).turns.hold(
            self.session, name, sequence, deadline
        ):
            self.running += 1
            assert self.running == 1, "two turns of a session at once"
            self.order.append(name)
            await anyio.sleep(0.3)
            self.running -= 1

    def home_name(self) -> str:
        for name in self.system.nodes:
            if not name.startswith("e"):
                turns = self.system.sidecar(name)._turns
                if self.session in turns._sessions:
                    return name
        raise AssertionError("the session has no home")


class TestOrder:
    """The order of turns without any fault."""

    def test_turns_run_one_at_a_time_in_arrival_order(self) -> None:
        async def check() -> None:
            async with systems.System() as system:
                session = _Session(system, "kiosks/desk-7")
                async with anyio.create_task_group() as tasks:
                    for number in range(6):
                        tasks.start_soon(
                            session.run_turn, str(number), number % 2
                        )
                        await anyio.sleep(0.01)
                assert session.order == [str(number) for number in range(6)]

        virtual.run(check)

    def test_numbered_turns_run_in_the_order_of_their_numbers(self) -> None:
        async def check() -> None:
            async with systems.System() as system:
                session = _Session(system, "kiosks/desk-7")
                async with anyio.create_task_group() as tasks:
                    for number in (0, 3, 1, 2):
                        tasks.start_soon(
                            session.run_turn, str(number), 0, number
                        )
                        await anyio.sleep(0.01)
                assert session.order == ["0", "1", "2", "3"]

        virtual.run(check)

    def test_used_number_is_refused_as_not_run(self) -> None:
        async def check() -> None:
            async with systems.System() as system:
                session = _Session(system, "kiosks/desk-7")
                await session.run_turn("a", 0, 4)
                with pytest.raises(errors.CrowdeckError) as caught:
                    await session.run_turn("b", 1, 4)
                assert caught.value.code == errors.Code.ORDER
                assert caught.value.verdict.is_retry_safe

        virtual.run(check)

    def test_sessions_do_not_wait_for_each_other(self) -> None:
        async def check() -> None:
            async with systems.System() as system:
                started = anyio.current_time()
                async with anyio.create_task_group() as tasks:
                    for number in range(20):
                        session = _Session(system, f"kiosks/desk-{number}")
                        tasks.start_soon(session.run_turn, "a")
                assert anyio.current_time() - started < 0.5

        virtual.run(check)

    def test_turn_not_granted_in_time_is_refused(self) -> None:
        async def check() -> None:
            async with systems.System() as system:
                session = _Session(system, "kiosks/desk-7")
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(session.run_turn, "a")
                    await anyio.sleep(0.05)
                    with pytest.raises(errors.CrowdeckError) as caught:
                        await session.run_turn("b", 1, wait_seconds=0.1)
                assert caught.value.code == errors.Code.ORDER
                assert session.order == ["a"]
                # The refused request is not granted the next turn.
                await session.run_turn("c")
                assert session.order == ["a", "c"]

        virtual.run(check)


class TestChangeOfHome:
    """The session's home leaves or dies, or an entry with a turn is lost."""

    @pytest.mark.parametrize("is_planned", [True, False])
    def test_holder_keeps_its_turn(self, is_planned: bool) -> None:
        async def check() -> None:
            async with systems.System() as system:
                session = _Session(system, "kiosks/desk-7")
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(session.run_turn, "a", 0)
                    await anyio.sleep(0.1)
                    home = session.home_name()
                    if is_planned:
                        system.sidecar(home).begin_drain(10.0)
                    else:
                        system.kill(home)
                    tasks.start_soon(session.run_turn, "b", 1)
                    await anyio.sleep(0.05)
                    tasks.start_soon(session.run_turn, "c", 0)
                assert session.order[0] == "a"
                assert sorted(session.order) == ["a", "b", "c"]

        virtual.run(check)

    def test_turn_of_a_lost_entry_is_released(self) -> None:
        async def check() -> None:
            async with systems.System() as system:
                session = _Session(system, "kiosks/desk-7")
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(session.run_turn, "a", 0)
                    await anyio.sleep(0.1)
                    system.kill("e0")
                    tasks.cancel_scope.cancel()
                session.running = 0
                await session.run_turn("b", 1)
                assert session.order == ["a", "b"]

        virtual.run(check)
