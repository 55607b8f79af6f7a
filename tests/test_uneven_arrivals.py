# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Most new requests arrive at one of the entries for some seconds.

Guards against an entry that serves fewer of the requests that it reads because
it takes the others for as busy as itself. The fleet bears twice as many.
"""

import random

import anyio
import attrs
import pytest

from tests import entries_system

# Requests arrive at all entries alike, and then most of them at one.
EVEN_SECONDS = 8.0
UNEVEN_SECONDS = 9.0
# The entry may take this long before it serves as many as before.
CONTACT_SECONDS = 3.0
# Share of requests that arrive at the one entry.
UNEVEN_SHARE = 0.95
# A share of those served before that is served meanwhile.
MIN_RELATIVE_SHARE = 0.75
LOSS_SECONDS = 0.8


@attrs.define
class Arrivals:
    """Requests of callers for streams.

    :ivar pause_seconds: mean time between two requests.
    """

    entries: entries_system.Entries
    pause_seconds: float
    rng: random.Random = attrs.field(factory=lambda: random.Random(1))
    count: int = 0

    async def send(self, seconds: float, one_entry_share: float) -> None:
        """Send requests, some share of them to the first entry."""
        until = anyio.current_time() + seconds
        while anyio.current_time() < until:
            number = self.rng.randrange(60)
            if self.rng.random() < one_entry_share:
                number = 0
            body = b"beside-%d" % self.count
            self.count += 1
            self.entries.start_request(number, entries_system.STREAM, body)
            await anyio.sleep(self.rng.uniform(0.0, 2 * self.pause_seconds))

    def served_share(self, since: float, until: float) -> float:
        """Return the share that was served of requests sent in a time."""
        outcomes = [
            outcome
            for outcome in self.entries.outcomes_of_others(since)
            if outcome.sent_at < until
        ]
        assert len(outcomes) >= 20
        return sum(outcome.was_served for outcome in outcomes) / len(outcomes)


async def lose_engines(entries: entries_system.Entries) -> None:
    """Crash the busiest engine again and again."""
    while True:
        await anyio.sleep(LOSS_SECONDS)
        entries.crash_busiest(1)


class TestMostArrivalsAtOneEntry:
    """Requests that the entry has read."""

    @pytest.mark.parametrize("pause_seconds", [0.1, 0.02])
    @pytest.mark.parametrize("has_losses", [False, True])
    @pytest.mark.parametrize("reports_load", [False, True])
    @pytest.mark.parametrize("count", [3, 12])
    def test_are_served_as_often_as_before(
        self,
        count: int,
        reports_load: bool,
        has_losses: bool,
        pause_seconds: float,
    ) -> None:
        async def work(entries: entries_system.Entries) -> None:
            for upstream in entries.fleet.upstreams:
                upstream.reports_load = reports_load
            arrivals = Arrivals(entries, pause_seconds)
            async with anyio.create_task_group() as tasks:
                if has_losses:
                    tasks.start_soon(lose_engines, entries)
                await arrivals.send(EVEN_SECONDS, 0.0)
                changed_at = anyio.current_time()
                await arrivals.send(UNEVEN_SECONDS, UNEVEN_SHARE)
                ended_at = anyio.current_time()
                await anyio.sleep(3.0)
                tasks.cancel_scope.cancel()
            before = arrivals.served_share(1.0, changed_at)
            since = changed_at + CONTACT_SECONDS
            meanwhile = arrivals.served_share(since, ended_at)
            assert meanwhile >= MIN_RELATIVE_SHARE * before

        entries_system.run_scenario(work, count=count)
