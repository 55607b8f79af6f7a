# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Callers whose requests fail, and the repeats that a service receives."""

import typing

import anyio

from crowdeck import route as routes
from crowdeck.standin import chain_fleet
from crowdeck.standin import repeats
from tests import entries_system
from tests import fleet_system

ALLOWANCE = repeats.Allowance(ratio=0.2, slack=100.0, window_seconds=10.0)
FAILURE_FREE_SECONDS = 24.0
# More calls than a simulation sends.
ALWAYS_FAIL_COUNT = 10**6
# Longer than any attempt of these requests.
LAST_ATTEMPT_SECONDS = 3.0
# Events of a complete stream. One that fails breaks off after its first event.
STREAM_EVENTS = 3
SERVICES = {
    routes.RepeatPolicy.IDEMPOTENT: fleet_system.PLAIN,
    routes.RepeatPolicy.STREAM: fleet_system.MODEL,
}


class Traffic:
    """Requests at a constant rate, to one entry after another.

    :param kind: whether to send repeatable calls or streams.
    """

    def __init__(
        self,
        entries: entries_system.Entries,
        kind: routes.RepeatPolicy = routes.RepeatPolicy.IDEMPOTENT,
    ) -> None:
        self.entries = entries
        self._kind = kind
        self._sent_count = 0

    @property
    def service(self) -> str:
        """The service that receives the requests."""
        return SERVICES[self._kind]

    @property
    def peak(self) -> repeats.RepeatWindow:
        """The window in which repeats most exceed their allowance."""
        return self.counter.peak(ALLOWANCE)

    @property
    def counter(self) -> repeats.RepeatCounter:
        """The requests that the service received."""
        return self.entries.fleet.repeat_counters[self.service]

    async def send(
        self,
        seconds: float,
        per_second: float = 60.0,
        *,
        fails: bool = True,
        among: typing.Sequence[int] = (),
    ) -> None:
        """Send requests for ``seconds``.

        :param fails: whether every instance fails its requests.
        :param among: numbers of the entries to use, empty for all.
        """
        until = anyio.current_time() + seconds
        while anyio.current_time() < until:
            self._set_failing(fails)
            entry = self._sent_count
            if among:
                entry = among[self._sent_count % len(among)]
            self._sent_count += 1
            self.counter.count_request(anyio.current_time())
            self.entries.start_request(entry, self._kind, b"x")
            await anyio.sleep(1.0 / per_second)

    def suspend(self) -> None:
        """Suspend all instances, so that they read no requests."""
        for target in self._instances():
            target.is_suspended = True

    def resume(self) -> None:
        """Let all instances read the requests that arrived, and continue."""
        for target in self._instances():
            self.entries.fleet.resume(target)

    async def wait_until_ended(self) -> None:
        """Wait until the last attempts have ended."""
        await anyio.sleep(LAST_ATTEMPT_SECONDS)

    def _instances(self) -> list[chain_fleet.StandinUpstream]:
        return [
            target
            for target in self.entries.fleet.upstreams
            if target.listed.service == self.service
        ]

    def _set_failing(self, fails: bool) -> None:
        for target in self.entries.fleet.upstreams:
            target.failed_calls = ALWAYS_FAIL_COUNT if fails else 0
            target.break_stream_after = 1 if fails else -1


Scenario = typing.Callable[[Traffic], typing.Awaitable[None]]


def simulate(
    scenario: Scenario,
    count: int,
    kind: routes.RepeatPolicy = routes.RepeatPolicy.IDEMPOTENT,
    *,
    are_registered: bool = True,
) -> Traffic:
    """Run a scenario with ``count`` entries, and return its traffic.

    :param are_registered: whether the store knows the entries at the start.
    """
    all_traffic: list[Traffic] = []

    async def run(entries: entries_system.Entries) -> None:
        entries.fleet.events = STREAM_EVENTS
        traffic = Traffic(entries, kind)
        all_traffic.append(traffic)
        await scenario(traffic)
        await traffic.wait_until_ended()

    entries_system.run_scenario(
        run, count=count, copies_per_zone=2, are_registered=are_registered
    )
    return all_traffic[0]
