# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Callers whose requests fail, and the repeats that their service gets."""

import typing

import anyio

from crowdeck import route as routes
from crowdeck.standin import chain_fleet
from crowdeck.standin import repeats
from tests import entries_system
from tests import fleet_system

ALLOWANCE = repeats.Allowance(ratio=0.2, slack=100.0, window=10.0)
CALM_SECONDS = 24.0
FAILURES = 10**6
# Longer than any attempt of what is asked here.
LAST_SECONDS = 3.0
# A stream that breaks does so after its first event.
STREAM_EVENTS = 3
SERVICES = {
    routes.RepeatPolicy.IDEMPOTENT: fleet_system.PLAIN,
    routes.RepeatPolicy.STREAM: fleet_system.MODEL,
}


class Demand:
    """Requests at an even pace, to one entry after another.

    :param kind: what is asked for: calls that may be repeated, or streams.
    """

    def __init__(
        self,
        entries: entries_system.Entries,
        kind: routes.RepeatPolicy = routes.RepeatPolicy.IDEMPOTENT,
    ) -> None:
        self.entries = entries
        self._kind = kind
        self._number = 0

    @property
    def service(self) -> str:
        """The service that is asked."""
        return SERVICES[self._kind]

    @property
    def peak(self) -> repeats.Peak:
        """The window in which the service got too many repeats, or most."""
        return self.account.peak(ALLOWANCE)

    @property
    def account(self) -> repeats.RepeatAccount:
        """What the service got."""
        return self.entries.fleet.accounts[self.service]

    async def ask(
        self,
        seconds: float,
        per_second: float = 60.0,
        *,
        fails: bool = True,
        among: typing.Sequence[int] = (),
    ) -> None:
        """Send requests for some time.

        :param fails: whether every instance fails what it is sent.
        :param among: numbers of the entries that are asked; none for all.
        """
        until = anyio.current_time() + seconds
        while anyio.current_time() < until:
            self._fail(fails)
            entry = self._number
            if among:
                entry = among[self._number % len(among)]
            self._number += 1
            self.account.note_request(anyio.current_time())
            self.entries.start_request(entry, self._kind, b"x")
            await anyio.sleep(1.0 / per_second)

    def freeze(self) -> None:
        """Have no instance of the service read anything."""
        for one in self._instances():
            one.is_suspended = True

    def thaw(self) -> None:
        """Have them read what came, and go on."""
        for one in self._instances():
            self.entries.fleet.thaw(one)

    async def end(self) -> None:
        """Wait for the last attempts."""
        await anyio.sleep(LAST_SECONDS)

    def _instances(self) -> list[chain_fleet.StandinUpstream]:
        return [
            one
            for one in self.entries.fleet.upstreams
            if one.listed.service == self.service
        ]

    def _fail(self, fails: bool) -> None:
        for one in self.entries.fleet.upstreams:
            one.failed_calls = FAILURES if fails else 0
            one.break_stream_after = 1 if fails else -1


Scenario = typing.Callable[[Demand], typing.Awaitable[None]]


def play(
    scenario: Scenario,
    count: int,
    kind: routes.RepeatPolicy = routes.RepeatPolicy.IDEMPOTENT,
    *,
    are_registered: bool = True,
) -> Demand:
    """Play a scenario with some entries, and return what came of it.

    :param are_noted: whether the entries at the start are known to the store.
    """
    made: list[Demand] = []

    async def work(entries: entries_system.Entries) -> None:
        entries.fleet.events = STREAM_EVENTS
        demand = Demand(entries, kind)
        made.append(demand)
        await scenario(demand)
        await demand.end()

    entries_system.play(
        work, count=count, copies=2, are_registered=are_registered
    )
    return made[0]
