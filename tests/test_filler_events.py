# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Engines that send events without an id or content, without end."""

import anyio
import pytest

from crowdeck import route as routes
from crowdeck.standin import chain_fleet
from tests import fleet_system
from tests import test_silent_engines
from tests import virtual

STREAM = routes.RepeatPolicy.STREAM
STREAMS = 24
EVENTS = 60
COMMENT = b":\n\n"
WITHOUT_ID = b"data: x\n\n"


def play(filler: bytes, filled_after: float) -> list[bytes]:
    """Serve streams while a first engine hangs, and sends fillers alone.

    :returns: what callers got, without fillers; nothing for an incomplete
        answer.
    """
    bodies: list[bytes] = []

    async def ask(system: fleet_system.FleetSystem) -> None:
        request = system.request(STREAM)
        caller = await system.ask(request)
        body = caller.body.replace(filler, b"")
        expected = fleet_system.whole_answer(request.id, EVENTS)
        is_whole = caller.is_complete and body == expected
        bodies.append(body if is_whole else b"")

    async def work(system: fleet_system.FleetSystem) -> None:
        async with anyio.create_task_group() as tasks:
            for _ in range(STREAMS):
                tasks.start_soon(ask, system)
                await anyio.sleep(0.0)
            await anyio.sleep(filled_after)
            hanging: list[chain_fleet.StandinUpstream] = (
                test_silent_engines.head_in_use(system)
            )
            assert hanging
            for engine in hanging:
                engine.is_unresponsive = True
                engine.filler = filler

    async def body() -> None:
        system = fleet_system.FleetSystem()
        system.fleet.events = EVENTS
        system.install(fleet_system.make_config())
        system.add_model()
        await fleet_system.run_with(system, work)

    virtual.run(body)
    assert len(bodies) == STREAMS
    return bodies


class TestFillers:
    """A hanging engine is found although something arrives from it."""

    @pytest.mark.parametrize("filler", [COMMENT, WITHOUT_ID])
    def test_do_not_keep_an_answer_that_has_begun(self, filler: bytes) -> None:
        bodies = play(filler, test_silent_engines.UNDER_WAY_SECONDS)
        assert bodies.count(b"") == 0

    def test_do_not_keep_an_answer_that_has_not_begun(self) -> None:
        assert play(COMMENT, 0.01).count(b"") == 0
