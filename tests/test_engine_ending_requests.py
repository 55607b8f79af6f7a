# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""A request that ends each instance which begins it.

What users saw: for 15 s at a time an engine ended every 0.3 to 1.4 s, 18 in
all, and half of what callers asked meanwhile was not served. Order of
events: a caller sent one request, the engine that began it ended 0.1 s
later, the caller was told 502 and sent it again under another id to any
entry, which had never seen it and passed it on. Each engine took 3 to 61
streams with it, which went on at the one sound first engine of their zone
and were lost again with it, until the retry budget was spent.

Evidence of the cause: at 11 of 13 engines' ends that the entries' logs cover
a request of one and the same size was under way, under 20 ids and at all
entries; none of the 20 brought an event. No other size was at more than five.
"""

import anyio
import pytest

from crowdeck import chain
from crowdeck import errors
from crowdeck.quarantine import evidence
from crowdeck.quarantine import fingerprint
from crowdeck.quarantine import tracker as trackers
from crowdeck.relay import request as requests
from crowdeck.standin import chain_fleet
from crowdeck import verdict as verdicts
from tests import entries_system
from tests import fleet_system

BODY = b"ends whoever begins it"
# As often as callers sent it.
PAUSE = 0.4
# Known everywhere this long after the third instance has ended.
KNOWN_SECONDS = 3.0
# How often it may be sent on even then.
SENDS_MOST = 3
ENDS_MOST = 3


async def wait_for_falls(
    entries: entries_system.Entries, count: int, limit: float = 20.0
) -> float:
    """Return when the ``count``th instance had ended."""
    with anyio.move_on_after(limit):
        while len(entries.fleet.crashes) < count:
            await anyio.sleep(entries_system.LOOK_SECONDS)
    return entries.fleet.crashes[count - 1].at


class TestRequestThatEndsEngines:
    """What becomes of it, and of those beside it."""

    def test_is_sent_on_no_more_once_three_have_ended(self) -> None:
        async def work(entries: entries_system.Entries) -> None:
            entries.fleet.crashing_bodies.add(BODY)
            await entries.send_repeatedly(15.0, BODY, PAUSE)
            third = entries.fleet.crashes[ENDS_MOST - 1].at
            late = entries.arrivals(BODY, third + KNOWN_SECONDS)
            assert late <= SENDS_MOST

        entries_system.play(work)

    def test_those_beside_it_are_served(self) -> None:
        async def work(entries: entries_system.Entries) -> None:
            entries.fleet.crashing_bodies.add(BODY)
            await entries.send_repeatedly(15.0, BODY, PAUSE)
            await anyio.sleep(3.0)
            third = entries.fleet.crashes[ENDS_MOST - 1].at
            beside = entries.outcomes_beside(third + 1.0)
            assert len(beside) > 20
            assert [one for one in beside if not one.was_served] == []

        entries_system.play(work)

    @pytest.mark.parametrize(
        "repeat", [entries_system.STREAM, entries_system.REPEATABLE]
    )
    def test_one_coming_ends_no_more_than_one_caller_may(
        self, repeat: entries_system.routes.RepeatPolicy
    ) -> None:
        # A request that may be repeated went from one instance to the next
        # as long as each ended: those that end did not count as runs.
        async def work(entries: entries_system.Entries) -> None:
            entries.fleet.crashing_bodies.add(BODY)
            entries.start_request(0, repeat, BODY)
            await anyio.sleep(10.0)
            assert len(entries.fleet.crashes) <= ENDS_MOST

        entries_system.play(work, count=1)

    def test_instances_that_come_back_under_their_ids(self) -> None:
        async def work(entries: entries_system.Entries) -> None:
            entries.keeps_ids = True
            entries.fleet.crashing_bodies.add(BODY)
            await entries.send_repeatedly(15.0, BODY, PAUSE)
            assert len(entries.fleet.crashes) <= ENDS_MOST + 1
            third = entries.fleet.crashes[ENDS_MOST - 1].at
            beside = entries.outcomes_beside(third + 1.0)
            assert [one for one in beside if not one.was_served] == []

        entries_system.play(work)

    @pytest.mark.parametrize("fall_seconds", [0.001, 0.1])
    def test_one_coming_is_told_why_it_goes_no_further(
        self, fall_seconds: float, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # However quickly an engine ends, that is known before the request is
        # sent to the next; and nothing of the budget is spent on a fourth.
        monkeypatch.setattr(chain_fleet, "CRASH_DELAY_SECONDS", fall_seconds)

        async def work(entries: entries_system.Entries) -> None:
            entries.fleet.crashing_bodies.add(BODY)
            # The budget is none before.
            await entries.wait_until_listed()
            budget = entries[0].context.budget(fleet_system.MODEL)
            before = budget.remaining
            entries.start_request(0, entries_system.STREAM, BODY)
            await anyio.sleep(3.0)
            assert len(entries.fleet.crashes) == ENDS_MOST
            error = entries.outcomes_of(BODY)[0].caller.error
            assert error is not None
            assert error.code is errors.Code.QUARANTINED
            assert error.verdict is verdicts.Verdict.MAY_HAVE_RUN
            # Two repeats, less what the request itself earned.
            assert round(before - budget.remaining) == ENDS_MOST - 1

        entries_system.play(work, count=1)

    def test_a_call_is_a_suspect_as_soon_as_its_instance_ends(self) -> None:
        async def work(entries: entries_system.Entries) -> None:
            entries.fleet.crashing_bodies.add(BODY)
            entries.start_request(0, entries_system.REPEATABLE, BODY)
            await anyio.sleep(1.0)
            request = entries.outcomes_of(BODY)[0].request
            content = requests.fingerprint_of(request, "kiosks")
            assert entries[0].context.quarantine.is_suspect(content)

        entries_system.play(work, count=1)

    def test_a_caller_that_leaves_is_remembered_too(self) -> None:
        # It left 0.05 s after it had sent the request, and its engine was
        # found to have ended a moment later.
        async def work(entries: entries_system.Entries) -> None:
            entry = entries[0]
            request = entry.request(entries_system.STREAM, body=BODY)
            with anyio.move_on_after(0.05):
                await entry.ask(request)
            name = entries.fleet.runs_of(request.id)[0].upstream
            entry.registry.avoid(name, "nobody listens", is_gone=True)
            content = requests.fingerprint_of(request, "kiosks")
            assert entry.context.quarantine.is_suspect(content)

        entries_system.play(work, count=1)

    def test_copies_that_wait_are_called_back(self) -> None:
        # Two more are at engines that have not begun them when the third
        # engine ends.
        async def work(entries: entries_system.Entries) -> None:
            entries.fleet.crashing_bodies.add(BODY)
            quarantine = entries[0].context.quarantine
            content = entries[0].request(entries_system.STREAM, body=BODY)
            known = requests.fingerprint_of(content, "kiosks")
            for one in entries.fleet.upstreams:
                one.hanging_streams = 1
            entries.start_request(0, entries_system.STREAM, BODY)
            await anyio.sleep(0.05)
            for number in range(ENDS_MOST):
                name = f"gone-{number}"
                quarantine.note_connection_lost(
                    name, trackers.AttemptRecord(known, None)
                )
                quarantine.note_end(name)
            # It is told long before its caller gives up, 20 s.
            await anyio.sleep(trackers.SETTLE_SECONDS + 0.05)
            error = entries.outcomes_of(BODY)[0].caller.error
            assert error is not None
            assert error.code is errors.Code.QUARANTINED

        entries_system.play(work, count=1)

    def test_is_refused_at_once_and_truly(self) -> None:
        async def work(entries: entries_system.Entries) -> None:
            entries.fleet.crashing_bodies.add(BODY)
            await entries.send_repeatedly(15.0, BODY, PAUSE)
            third = entries.fleet.crashes[ENDS_MOST - 1].at
            refused = [
                one
                for one in entries.outcomes_of(BODY)
                if one.sent_at > third + KNOWN_SECONDS
            ]
            assert len(refused) > 20
            for one in refused:
                assert one.seconds < 0.01
                error = one.caller.error
                assert error is not None
                assert error.code is errors.Code.QUARANTINED
                assert error.verdict is verdicts.Verdict.NOT_RUN
                assert entries.fleet.runs_of(one.request.id) == []

        entries_system.play(work)

    @pytest.mark.parametrize("count", [1, 12])
    def test_few_engines_end_at_any_number_of_entries(
        self, count: int
    ) -> None:
        # Twelve entries that told one another nothing would each pass it on
        # until three engines had ended there.
        async def work(entries: entries_system.Entries) -> None:
            entries.fleet.crashing_bodies.add(BODY)
            await entries.send_repeatedly(15.0, BODY, PAUSE)
            assert len(entries.fleet.crashes) <= ENDS_MOST + 2

        entries_system.play(work, count=count)

    def test_an_entry_that_starts_passes_it_on_no_more(self) -> None:
        async def work(entries: entries_system.Entries) -> None:
            entries.fleet.crashing_bodies.add(BODY)
            await entries.send_repeatedly(5.0, BODY, PAUSE)
            ends = len(entries.fleet.crashes)
            for number in range(3):
                entries.stop(number)
            await anyio.sleep(0.5)
            await entries.send_repeatedly(5.0, BODY, PAUSE)
            assert len(entries.fleet.crashes) == ends

        entries_system.play(work)

    def test_an_entry_that_was_cut_off_learns_of_it(self) -> None:
        async def work(entries: entries_system.Entries) -> None:
            entries.fleet.crashing_bodies.add(BODY)
            entries.store.is_down = True
            await entries.send_repeatedly(3.0, BODY, PAUSE)
            entries.store.is_down = False
            await anyio.sleep(KNOWN_SECONDS)
            since = anyio.current_time()
            await entries.send_repeatedly(10.0, BODY, PAUSE)
            assert entries.arrivals(BODY, since) == 0

        entries_system.play(work)

    def test_others_of_its_caller_and_path_are_served(self) -> None:
        async def work(entries: entries_system.Entries) -> None:
            entries.fleet.crashing_bodies.add(BODY)
            await entries.send_repeatedly(5.0, BODY, PAUSE)
            entries.start_request(0, entries_system.STREAM, BODY + b"?")
            await anyio.sleep(3.0)
            assert entries.outcomes_of(BODY + b"?")[0].was_served

        entries_system.play(work)

    def test_two_of_them_at_once(self) -> None:
        async def work(entries: entries_system.Entries) -> None:
            others = [BODY + b"1", BODY + b"2"]
            entries.fleet.crashing_bodies.update(others)
            async with anyio.create_task_group() as tasks:
                for one in others:
                    tasks.start_soon(entries.send_repeatedly, 15.0, one, PAUSE)
                    await anyio.sleep(0.05)
            since = entries.fleet.crashes[-1].at + KNOWN_SECONDS
            assert since < 10.0
            assert len(entries.fleet.crashes) <= 2 * ENDS_MOST + 3

        entries_system.play(work)

    def test_a_call_of_a_plain_service_that_does_the_same(self) -> None:
        async def work(entries: entries_system.Entries) -> None:
            entries.fleet.crashing_bodies.add(BODY)
            await entries.send_repeatedly(
                30.0, BODY, PAUSE, entries_system.REPEATABLE
            )
            third = entries.fleet.crashes[ENDS_MOST - 1].at
            late = entries.arrivals(BODY, third + KNOWN_SECONDS)
            assert late <= SENDS_MOST

        entries_system.play(work)


class TestThoseBesideIt:
    """Requests that were at the same engines, and are no cause."""

    def test_none_is_blamed_however_crowded_the_first_engines(self) -> None:
        # All streams of a zone begin at one first engine, which is where the
        # next coming of the cause finds those that it cut a moment before.
        async def work(entries: entries_system.Entries) -> None:
            entries.fleet.event_seconds = 0.1
            entries.fleet.crashing_bodies.add(BODY)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(entries.send_repeatedly, 12.0, BODY, 0.3)
                for number in range(400):
                    body = b"beside-%d-crowd" % number
                    entries.start_request(
                        number * 7, entries_system.STREAM, body
                    )
                    await anyio.sleep(0.03)
            await anyio.sleep(8.0)
            beside = entries.outcomes_beside(0.0)
            codes = {
                one.caller.error.code for one in beside if one.caller.error
            }
            assert errors.Code.QUARANTINED not in codes
            served = sum(one.was_served for one in beside)
            # 438 of 440; 12 entries, as crowded as the ones that users run.
            assert served >= len(beside) - 4

        entries_system.play(work, count=12)

    def test_a_request_that_many_callers_send_alike_is_served(self) -> None:
        async def work(entries: entries_system.Entries) -> None:
            alike = b"how do I top up"
            for number in range(20):
                entries.start_request(number, entries_system.STREAM, alike)
                await anyio.sleep(0.1)
            entries.fleet.crashing_bodies.add(BODY)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(entries.send_repeatedly, 6.0, BODY, PAUSE)
                for number in range(120):
                    entries.start_request(number, entries_system.STREAM, alike)
                    await anyio.sleep(0.05)
            await anyio.sleep(8.0)
            told = entries.outcomes_of(alike)
            assert len(told) == 140
            assert sum(one.was_served for one in told) >= 138
            assert len(entries.fleet.crashes) <= ENDS_MOST + 2

        entries_system.play(work, count=6)

    def test_whoever_was_cut_thrice_goes_on_once_the_cause_is_told(
        self,
    ) -> None:
        # Another entry passed the cause on, and tells so 0.2 s after the
        # third engine ended; until then this one knows its own part only.
        async def work(entries: entries_system.Entries) -> None:
            beside = b"beside"
            entries.fleet.crashing_bodies.add(beside)
            entries.start_request(0, entries_system.STREAM, beside)
            await wait_for_falls(entries, ENDS_MOST)
            entries.fleet.crashing_bodies.clear()
            await anyio.sleep(0.2)
            cause = frozenset({fingerprint.Fingerprint("cause")})
            names = [fall.upstream for fall in entries.fleet.crashes]
            now = anyio.current_time()
            entries[0].context.quarantine.take(
                "other",
                evidence.Evidence(
                    tuple(
                        evidence.InstanceEnd(name, now, cause)
                        for name in (*names, "a fourth")
                    )
                ),
            )
            await anyio.sleep(3.0)
            assert entries.outcomes_of(beside)[0].was_served

        entries_system.play(work, count=1)

    @pytest.mark.parametrize(
        "repeat", [entries_system.STREAM, entries_system.REPEATABLE]
    )
    def test_what_was_answered_is_remembered_as_served(
        self, repeat: entries_system.routes.RepeatPolicy
    ) -> None:
        async def work(entries: entries_system.Entries) -> None:
            entries.start_request(0, repeat, b"served")
            await anyio.sleep(2.0)
            told = entries.outcomes_of(b"served")[0]
            assert told.was_served
            assert self.is_cleared(entries, told.request)

        entries_system.play(work, count=1)

    def test_what_ran_well_until_its_engine_ended_counts_as_served(
        self,
    ) -> None:
        async def work(entries: entries_system.Entries) -> None:
            entries.fleet.event_seconds = 0.1
            entries.start_request(0, entries_system.STREAM, b"ran")
            await anyio.sleep(1.2)
            entries.lose(1)
            await anyio.sleep(0.4)
            request = entries[0].request(entries_system.STREAM, body=b"ran")
            assert entries.outcomes_of(b"ran") == []
            assert self.is_cleared(entries, request)

        entries_system.play(work, count=1)

    def is_cleared(
        self, entries: entries_system.Entries, request: requests.CallerRequest
    ) -> bool:
        """Whether three ends under a request do not make it a culprit."""
        quarantine = entries[0].context.quarantine
        content = requests.fingerprint_of(request, "kiosks")
        for number in range(ENDS_MOST):
            name = f"gone-{number}"
            quarantine.note_connection_lost(
                name, trackers.AttemptRecord(content, None)
            )
            quarantine.note_end(name)
        return not quarantine.is_quarantined(content)

    def test_engines_that_end_as_planned_are_held_against_nobody(self) -> None:
        async def work(entries: entries_system.Entries) -> None:
            entries.fleet.crashing_bodies.add(BODY)
            entries.tell_all_leaving()
            for number in range(6):
                entries.start_request(number, entries_system.STREAM, BODY)
                await anyio.sleep(0.1)
            await anyio.sleep(2.0)
            assert entries.fleet.crashes
            assert all(
                entries[number].context.quarantine.is_empty
                for number in range(3)
            )

        entries_system.play(work)

    def test_an_end_that_shows_later_counts_as_well(self) -> None:
        # The engine that was asked said nothing; its entry goes later.
        async def work(entries: entries_system.Entries) -> None:
            entry = entries[0]
            content = entries_system.STREAM
            request = entry.request(content, body=BODY)
            known = requests.fingerprint_of(request, "kiosks")
            name = entries.fleet.upstreams[0].listed.name
            attempt_record = trackers.AttemptRecord(known, None)
            entry.context.quarantine.note_connection_lost(name, attempt_record)
            assert entry.context.quarantine.is_empty
            entry.registry.on_changed((), (name,))
            assert entry.context.quarantine.is_suspect(known)

        entries_system.play(work, count=1)

    def test_an_instance_that_answers_no_such_question_is_not_blamed(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Plain services know no reports; one that lost an answer lives.
        async def work(entries: entries_system.Entries) -> None:
            report = entries.fleet.report

            async def know_engines_alone(
                upstream: chain.Upstream,
            ) -> chain.EngineReport:
                if not upstream.card:
                    raise errors.CrowdeckError(
                        errors.Code.UPSTREAM_FAILED, "a report came with 404"
                    )
                return await report(upstream)

            monkeypatch.setattr(entries.fleet, "report", know_engines_alone)
            for one in entries.fleet.upstreams:
                one.lost_answers = 0 if one.listed.card else 1
            entries.start_request(0, entries_system.REPEATABLE, b"lost")
            await anyio.sleep(2.0)
            assert entries[0].registry.avoided() == ()
            assert entries[0].context.quarantine.is_empty

        entries_system.play(work, count=1)

    def test_losses_of_many_engines_put_nobody_in_quarantine(self) -> None:
        async def work(entries: entries_system.Entries) -> None:
            for number in range(60):
                entries.start_request(
                    number, entries_system.STREAM, b"beside-%d" % number
                )
                if number % 8 == 7:
                    entries.lose(2)
                await anyio.sleep(0.1)
            await anyio.sleep(8.0)
            codes = [
                one.caller.error.code
                for one in entries.outcomes_beside(0.0)
                if one.caller.error
            ]
            assert errors.Code.QUARANTINED not in codes

        entries_system.play(work)
