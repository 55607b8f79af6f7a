# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Which of the open tries of a call is served, without a network."""

import typing

import anyio

from crowdeck import errors
from crowdeck.relay import open_tries
from crowdeck import verdict as verdicts
from tests import fleet_system
from tests import virtual

Tries = open_tries.OpenTries


def played(
    work: typing.Callable[[typing.Any, Tries], typing.Awaitable[None]],
) -> typing.Callable[[typing.Any], None]:
    """Return a test that plays ``work`` in virtual time."""

    async def body(test: typing.Any) -> None:
        await work(test, Tries())

    return lambda test: virtual.run(body, test)


def begin(tries: Tries, name: str) -> open_tries.OpenTry:
    """Begin a try at an instance."""
    return tries.begin(fleet_system.upstream(name))


def serve(tries: Tries, open_try: open_tries.OpenTry, status: int) -> None:
    """End a try with an answer."""
    open_try.answer = open_tries.CallAnswer(status, [], b"")
    tries.end(open_try)


def fail(tries: Tries, open_try: open_tries.OpenTry) -> None:
    """End a try without an answer."""
    open_try.error = errors.CrowdeckError(
        errors.Code.UPSTREAM_LOST, "", verdict=verdicts.Verdict.MAY_HAVE_RUN
    )
    tries.end(open_try)


class TestOpenTries:
    """A try ends only by itself, or once another one is served."""

    @played
    async def test_failure_of_one_leaves_the_other_open(
        self, tries: Tries
    ) -> None:
        first, second = begin(tries, "a"), begin(tries, "b")
        fail(tries, second)
        assert await tries.wait(1.0) is second
        assert tries.are_open
        serve(tries, first, 200)
        assert await tries.wait(1.0) is first
        assert not tries.are_open

    @played
    async def test_answer_of_the_first_counts_beside_a_failed_one(
        self, tries: Tries
    ) -> None:
        first, second = begin(tries, "a"), begin(tries, "b")
        serve(tries, second, 500)
        serve(tries, first, 200)
        assert await tries.wait(1.0) is first

    @played
    async def test_wait_ends_in_time_while_all_are_silent(
        self, tries: Tries
    ) -> None:
        begin(tries, "a")
        assert await tries.wait(0.6) is None
        assert anyio.current_time() == 0.6
        assert tries.are_open

    @played
    async def test_silent_try_is_noted_once(self, tries: Tries) -> None:
        first = begin(tries, "a")
        assert tries.take_silent() == [first]
        second = begin(tries, "b")
        assert tries.take_silent() == [second]
        assert first.is_late and second.is_late

    @played
    async def test_only_the_latest_is_the_last_send(
        self, tries: Tries
    ) -> None:
        first = begin(tries, "a")
        assert tries.is_latest(first)
        second = begin(tries, "b")
        assert tries.is_latest(second)
        assert not tries.is_latest(first)
