# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""A store that comes back from a copy some seconds old.

What users saw: an entry called an instance more than two seconds after it
had said that it leaves; two entries served by a config that had been
replaced more than three seconds before. Nothing was wrong at that moment.

The order of events: entries knew the store up to version 178. It was away for
2.5 s and came back from a copy of version 170. Some entries asked it what
happened after 178, were told that it does not know, and listed all anew.
The others asked those, as entries of a zone do, what happened after 178.
The next config was written at version 172, and they were told: nothing.

The cause: a version was taken for a moment in the one history of a store.
It is one of a life of the store only, and each return begins another.

The evidence: of 29 entries 16 listed the config anew, and all of these had the
next one within 25 ms. All 13 others had none before one was written at
version 183, 8.2 s later.
"""

import anyio

from crowdeck.standin import store as standin_store
from crowdeck.state import mirror as mirrors
from tests import virtual
from tests import zone_system

# A change of the config has to be in force this many seconds after it was
# acknowledged, and a request may be sent just then.
IN_FORCE_SECONDS = 2.0
# For so long the store was away, and so old was its copy.
AWAY_SECONDS = 2.5
COPY_AGE_SECONDS = 4.0


async def come_back_from_copy(
    store: standin_store.StandinStore,
    lost_writes: int = 8,
    away: float = AWAY_SECONDS,
) -> None:
    """Have the store lose its last writes in an outage."""
    backup = store.back_up()
    for number in range(lost_writes):
        await anyio.sleep(COPY_AGE_SECONDS / lost_writes)
        store.write(zone_system.KIND, "main", f"{number}".encode())
    store.is_down = True
    await anyio.sleep(away)
    store.restore(backup)
    store.is_down = False


async def require_known(zone: zone_system.Zone, value: bytes) -> None:
    """Write a value, and have every entry know it in time."""
    zone.store.write(zone_system.KIND, "main", value)
    await anyio.sleep(IN_FORCE_SECONDS)
    known = [one.sight.values.get("main") for one in zone.entries.values()]
    assert known == [value] * len(known)


class TestZone:
    """Entries that read the store through one of them."""

    def test_all_learn_of_changes_after_its_return(self) -> None:
        async def work(zone: zone_system.Zone) -> None:
            for number in range(3):
                await come_back_from_copy(zone.store)
                await anyio.sleep(2.0)
                await require_known(zone, f"new-{number}".encode())

        for count in (1, 2, 5, 14):
            zone_system.play(count, work)


class TestMirror:
    """One copy of a kind, kept up by its own watch."""

    def test_versions_that_are_given_out_again_hide_nothing(self) -> None:
        # The entry is cut off from the store meanwhile, and comes back when
        # its version has long been another write's.
        async def body() -> None:
            store = standin_store.StandinStore()
            sight = zone_system.Sight()
            way = zone_system.Way(store)
            mirror = mirrors.Mirror(way, zone_system.KIND, sight, 0.8)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(mirror.run)
                backup = store.back_up()
                store.write(zone_system.KIND, "main", b"lost")
                await anyio.sleep(1.0)
                way.is_cut = True
                await anyio.sleep(1.0)
                store.restore(backup)
                store.write(zone_system.KIND, "first", b"1")
                store.write(zone_system.KIND, "second", b"2")
                way.is_cut = False
                await anyio.sleep(IN_FORCE_SECONDS)
                assert sight.values == {"first": b"1", "second": b"2"}
                tasks.cancel_scope.cancel()

        virtual.run(body)
