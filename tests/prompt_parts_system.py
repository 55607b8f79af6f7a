# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Entries whose callers send prompts of parts, some of which crash engines."""

import itertools
import random
import typing

import anyio
import attrs

from crowdeck.platform import callers
from tests import entries_system

BAD_PART = "bad0"
MODEL = b"daka51"
# The fifth crash of a part, after which few requests with it may be sent.
COUNTED_CRASHES = 5
# All entries have received the evidence this long after a crash.
CONTACT_SECONDS = 3.0
# How many requests with the part may reach engines after that.
MAX_LATE_ARRIVALS = 3
# Share of the other requests that the first attempt serves after twice that.
MIN_FIRST_SHARE = 0.95
# Number of parts for each position of a prompt, from which requests take one.
# All requests of the route have the same first part.
PART_COUNTS = (1, 5, 10)
# A multiple of the numbers of entries, so that all receive as many requests.
MAX_ENTRIES = 60


@attrs.frozen
class Traffic:
    """What callers send.

    :ivar bad_seconds: interval of requests with the bad part.
    :ivar sound_seconds: interval of the other requests.
    :ivar bad_position: position of the bad part in the prompt.
    :ivar part_counts: number of parts for each position of a prompt.
    :ivar bad_parts: the bad parts, one in each bad request.
    :ivar seed: of the choice of entries and parts.
    :ivar bad_from_seconds: time at which requests with them begin.
    """

    seconds: float = 22.0
    bad_seconds: float = 0.4
    sound_seconds: float = 0.1
    bad_position: int = 1
    part_counts: tuple[int, ...] = PART_COUNTS
    bad_parts: tuple[str, ...] = (BAD_PART,)
    bad_from_seconds: float = 0.0
    seed: int = 1


class Callers:
    """Callers of a group of entries.

    All requests have the same team and key, and all bodies differ.
    """

    def __init__(
        self, entries: entries_system.Entries, traffic: Traffic
    ) -> None:
        self._entries = entries
        self._traffic = traffic
        self._numbers = itertools.count()
        self._rng = random.Random(traffic.seed)

    async def send(self) -> None:
        """Send requests of both kinds for the time of the traffic."""
        traffic = self._traffic
        async with anyio.create_task_group() as tasks:
            if traffic.bad_parts:
                tasks.start_soon(
                    self._send_each,
                    traffic.bad_seconds,
                    self.send_bad,
                    traffic.bad_from_seconds,
                )
            tasks.start_soon(
                self._send_each, traffic.sound_seconds, self.send_sound
            )

    async def _send_each(
        self,
        interval: float,
        send: typing.Callable[[], None],
        wait_seconds: float = 0.0,
    ) -> None:
        until = anyio.current_time() + self._traffic.seconds
        await anyio.sleep(wait_seconds)
        while anyio.current_time() < until:
            send()
            await anyio.sleep(interval)

    def send_bad(self) -> None:
        """Send a request that has one of the bad parts."""
        number = next(self._numbers)
        parts = self._sound_parts()
        parts[self._traffic.bad_position] = self._rng.choice(
            self._traffic.bad_parts
        )
        self.send_parts(number, parts, b"bad")

    def send_sound(self) -> None:
        """Send a request without a bad part."""
        number = next(self._numbers)
        self.send_parts(number, self._sound_parts(), b"sound")

    def send_parts(
        self, number: int, parts: typing.Sequence[str], kind: bytes
    ) -> None:
        """Send a request with these parts and a last part of its own."""
        listed = ",".join(f"{part}:100" for part in (*parts, f"{number:x}e"))
        headers = [
            (b"x-request-id", b"unused"),
            (b"x-model", MODEL),
            (b"x-prompt-prefix", listed.encode()),
        ]
        decoded = callers.decode("POST", b"/", b"", headers, b"", 0.0)
        assert decoded is not None
        self._entries.start_request(
            self._rng.randrange(MAX_ENTRIES),
            entries_system.STREAM,
            b"%s-%d" % (kind, number),
            headers=headers,
            model=decoded.model,
            prompt_parts=decoded.prompt_parts,
        )

    def _sound_parts(self) -> list[str]:
        return [
            f"{position}a{self._rng.randrange(count):x}"
            for position, count in enumerate(self._traffic.part_counts)
        ]


def crashed_at(entries: entries_system.Entries, count: int) -> float:
    """Return when the last of the first ``count`` crashes occurred.

    The last crash counts if there are fewer.
    """
    crashes = entries.fleet.crashes[:count]
    return crashes[-1].at if crashes else 0.0


def late_arrivals(
    entries: entries_system.Entries, bad_part: str = BAD_PART
) -> int:
    """Return how many requests with the part reached engines too late."""
    since = crashed_at(entries, COUNTED_CRASHES) + CONTACT_SECONDS
    return sum(
        1
        for run in entries.fleet.runs
        if bad_part in run.prompt_parts and run.started_at > since
    )


def sound_outcomes(
    entries: entries_system.Entries, since: float
) -> list[entries_system.Outcome]:
    """Return the outcomes of requests without a bad part.

    :param since: loop time from which requests were sent.
    """
    return [
        outcome
        for outcome in entries.outcomes
        if outcome.request.body.startswith(b"sound")
        and outcome.sent_at >= since
    ]


def first_share(entries: entries_system.Entries) -> float:
    """Return the share of sound requests that the first attempt served.

    Requests count from twice the time of exchange after the crashes.
    """
    since = crashed_at(entries, COUNTED_CRASHES) + 2 * CONTACT_SECONDS
    outcomes = sound_outcomes(entries, since)
    assert len(outcomes) >= 20
    served = [
        outcome
        for outcome in outcomes
        if outcome.was_served
        and len(entries.fleet.runs_of(outcome.request.id)) == 1
    ]
    return len(served) / len(outcomes)


def play(
    traffic: Traffic,
    check: typing.Callable[[entries_system.Entries], None],
    count: int = 3,
) -> None:
    """Play traffic in which the bad parts crash engines, and check it."""

    async def work(entries: entries_system.Entries) -> None:
        entries.fleet.crashing_parts.update(traffic.bad_parts)
        await Callers(entries, traffic).send()
        # Until the streams that have begun are complete.
        await anyio.sleep(5.0)
        check(entries)

    entries_system.run_scenario(work, count=count)
