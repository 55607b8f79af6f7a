# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Connections to the store and to peers that fall silent for good."""

import typing

import anyio
import anyio.abc
import pytest

from crowdeck.platform import names
from tests import silent_system
from tests import virtual

# No call may reach an instance two seconds after the store took the write
# that it leaves. A tenth of a second is left for calls on their way.
LAST_USE_SECONDS = 1.9
SETTLE_SECONDS = 12.0

Work = typing.Callable[[silent_system.SilentSystem], typing.Awaitable[None]]


def run_scenario(
    entry_count: int, work: Work, card: str = "", delay: float = 0.004
) -> None:
    async def body() -> None:
        system = silent_system.SilentSystem(entry_count, card, delay)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(system.run)
            await anyio.sleep(SETTLE_SECONDS)
            assert system.users() == list(range(entry_count))
            await work(system)
            tasks.cancel_scope.cancel()

    virtual.run(body)


class TestLostReader:
    """The entry that reads the store for others is cut from it."""

    @pytest.mark.parametrize("card", ["", "t4"])
    @pytest.mark.parametrize("delay", [0.02, 0.1, 0.8, 1.2])
    def test_removed_instance_gets_no_work_from_the_others(
        self, delay: float, card: str
    ) -> None:
        # Guards against a removal that counts as a lapse around an outage of
        # the store, because a peer has lost the store.
        async def work(system: silent_system.SilentSystem) -> None:
            system.stores[0].is_cut = True
            system.stores[0].connections.silence()
            await anyio.sleep(delay)
            system.remove_instance("only")
            for view in system.views:
                view.registry.subscribe_lapses(
                    lambda upstream, view=view: view.registry.note_healthy(
                        upstream.name
                    )
                )
            assert await system.last_use_seconds() < LAST_USE_SECONDS

        run_scenario(2, work, card)

    def test_records_that_lapse_in_an_outage_are_kept_for_a_while(
        self,
    ) -> None:
        # Guards against dropping all instances when the store returns without
        # their records, which they write again within two seconds.
        async def work(system: silent_system.SilentSystem) -> None:
            system.store.is_down = True
            await anyio.sleep(4.0)
            system.remove_instance("only")
            system.store.is_down = False
            await anyio.sleep(1.7)
            assert system.users() == [0, 1]
            system.write_instance("only", names.STATE_READY)
            await anyio.sleep(1.0)
            assert system.users() == [0, 1]

        run_scenario(2, work)
