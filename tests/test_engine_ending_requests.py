# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""A request that crashes each instance that begins it.

Guards against a caller that repeats such a request at any entry and so crashes
successive engines, each of which also serves streams of other callers.
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
# Interval at which callers send the request.
SEND_INTERVAL_SECONDS = 0.4
# All entries have received the evidence this long after the third crash.
EXCHANGE_SECONDS = 3.0
# How often the request may still be sent to an instance afterwards.
MAX_SENDS = 3
# How many instances it may crash.
MAX_CRASHES = 3


async def wait_for_ends(
    entries: entries_system.Entries, count: int, limit: float = 20.0
) -> float:
    """Wait for the end of ``count`` instances; return when the last ended."""
    with anyio.move_on_after(limit):
        while len(entries.fleet.crashes) < count:
            await anyio.sleep(entries_system.POLL_INTERVAL_SECONDS)
    return entries.fleet.crashes[count - 1].at


class TestCrashingRequest:
    """The request itself, and others that run at the same instances."""

    def test_is_not_sent_once_three_instances_have_ended(self) -> None:
        async def work(entries: entries_system.Entries) -> None:
            entries.fleet.crashing_bodies.add(BODY)
            await entries.send_repeatedly(15.0, BODY, SEND_INTERVAL_SECONDS)
            third_crash_at = entries.fleet.crashes[MAX_CRASHES - 1].at
            late_arrivals = entries.arrivals(
                BODY, third_crash_at + EXCHANGE_SECONDS
            )
            assert late_arrivals <= MAX_SENDS

        entries_system.run_scenario(work)

    def test_other_requests_are_served(self) -> None:
        async def work(entries: entries_system.Entries) -> None:
            entries.fleet.crashing_bodies.add(BODY)
            await entries.send_repeatedly(15.0, BODY, SEND_INTERVAL_SECONDS)
            await anyio.sleep(3.0)
            third_crash_at = entries.fleet.crashes[MAX_CRASHES - 1].at
            others = entries.outcomes_of_others(third_crash_at + 1.0)
            assert len(others) > 20
            assert [
                outcome for outcome in others if not outcome.was_served
            ] == []

        entries_system.run_scenario(work)

    @pytest.mark.parametrize(
        "repeat", [entries_system.STREAM, entries_system.REPEATABLE]
    )
    def test_single_request_ends_a_bounded_number_of_instances(
        self, repeat: entries_system.routes.RepeatPolicy
    ) -> None:
        # Attempts at instances that end count as attempts.
        async def work(entries: entries_system.Entries) -> None:
            entries.fleet.crashing_bodies.add(BODY)
            entries.start_request(0, repeat, BODY)
            await anyio.sleep(10.0)
            assert len(entries.fleet.crashes) <= MAX_CRASHES

        entries_system.run_scenario(work, count=1)

    def test_instances_that_keep_their_ids_count_once_per_crash(self) -> None:
        async def work(entries: entries_system.Entries) -> None:
            entries.keeps_ids = True
            entries.fleet.crashing_bodies.add(BODY)
            await entries.send_repeatedly(15.0, BODY, SEND_INTERVAL_SECONDS)
            assert len(entries.fleet.crashes) <= MAX_CRASHES + 1
            third_crash_at = entries.fleet.crashes[MAX_CRASHES - 1].at
            others = entries.outcomes_of_others(third_crash_at + 1.0)
            assert [
                outcome for outcome in others if not outcome.was_served
            ] == []

        entries_system.run_scenario(work)

    @pytest.mark.parametrize("crash_delay_seconds", [0.001, 0.1])
    def test_caller_gets_the_quarantine_error(
        self, crash_delay_seconds: float, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # The end of an engine is known before the request is sent to the next
        # engine, and no retry budget is spent on a fourth attempt.
        monkeypatch.setattr(
            chain_fleet, "CRASH_DELAY_SECONDS", crash_delay_seconds
        )

        async def work(entries: entries_system.Entries) -> None:
            entries.fleet.crashing_bodies.add(BODY)
            # Until the entries are listed there is no retry budget.
            await entries.wait_until_listed()
            budget = entries[0].context.budget(fleet_system.MODEL)
            before = budget.remaining
            entries.start_request(0, entries_system.STREAM, BODY)
            await anyio.sleep(3.0)
            assert len(entries.fleet.crashes) == MAX_CRASHES
            error = entries.outcomes_of(BODY)[0].caller.error
            assert error is not None
            assert error.code is errors.Code.QUARANTINED
            assert error.verdict is verdicts.Verdict.MAY_HAVE_RUN
            # Two retries, less what the request itself added.
            assert round(before - budget.remaining) == MAX_CRASHES - 1

        entries_system.run_scenario(work, count=1)

    def test_call_is_a_suspect_as_soon_as_its_instance_ends(self) -> None:
        async def work(entries: entries_system.Entries) -> None:
            entries.fleet.crashing_bodies.add(BODY)
            entries.start_request(0, entries_system.REPEATABLE, BODY)
            await anyio.sleep(1.0)
            request = entries.outcomes_of(BODY)[0].request
            request_content = requests.content_of(request, "kiosks")
            assert entries[0].context.quarantine.is_suspect(request_content)

        entries_system.run_scenario(work, count=1)

    def test_cancelled_request_is_a_suspect_too(self) -> None:
        # The end of its engine is detected after the cancellation.
        async def work(entries: entries_system.Entries) -> None:
            entry = entries[0]
            request = entry.request(entries_system.STREAM, body=BODY)
            with anyio.move_on_after(0.05):
                await entry.ask(request)
            name = entries.fleet.runs_of(request.id)[0].upstream
            entry.registry.avoid(name, "nobody listens", has_ended=True)
            request_content = requests.content_of(request, "kiosks")
            assert entry.context.quarantine.is_suspect(request_content)

        entries_system.run_scenario(work, count=1)

    def test_waiting_attempts_are_cancelled(self) -> None:
        # An attempt waits at an engine that has not begun it when the third
        # engine ends.
        async def work(entries: entries_system.Entries) -> None:
            entries.fleet.crashing_bodies.add(BODY)
            quarantine = entries[0].context.quarantine
            request = entries[0].request(entries_system.STREAM, body=BODY)
            request_content = requests.content_of(request, "kiosks")
            for upstream in entries.fleet.upstreams:
                upstream.hanging_streams = 1
            entries.start_request(0, entries_system.STREAM, BODY)
            await anyio.sleep(0.05)
            for number in range(MAX_CRASHES):
                name = f"gone-{number}"
                quarantine.note_connection_lost(
                    name, trackers.AttemptRecord(request_content, None)
                )
                quarantine.note_end(name)
            # Long before the caller's own timeout.
            await anyio.sleep(trackers.SETTLE_SECONDS + 0.05)
            error = entries.outcomes_of(BODY)[0].caller.error
            assert error is not None
            assert error.code is errors.Code.QUARANTINED

        entries_system.run_scenario(work, count=1)

    def test_is_refused_at_once_as_not_run(self) -> None:
        async def work(entries: entries_system.Entries) -> None:
            entries.fleet.crashing_bodies.add(BODY)
            await entries.send_repeatedly(15.0, BODY, SEND_INTERVAL_SECONDS)
            third_crash_at = entries.fleet.crashes[MAX_CRASHES - 1].at
            refused = [
                outcome
                for outcome in entries.outcomes_of(BODY)
                if outcome.sent_at > third_crash_at + EXCHANGE_SECONDS
            ]
            assert len(refused) > 20
            for outcome in refused:
                assert outcome.seconds < 0.01
                error = outcome.caller.error
                assert error is not None
                assert error.code is errors.Code.QUARANTINED
                assert error.verdict is verdicts.Verdict.NOT_RUN
                assert entries.fleet.runs_of(outcome.request.id) == []

        entries_system.run_scenario(work)

    @pytest.mark.parametrize("count", [1, 12])
    def test_few_engines_end_with_any_number_of_entries(
        self, count: int
    ) -> None:
        # Without the exchange of evidence each entry would send the request to
        # three engines.
        async def work(entries: entries_system.Entries) -> None:
            entries.fleet.crashing_bodies.add(BODY)
            await entries.send_repeatedly(15.0, BODY, SEND_INTERVAL_SECONDS)
            assert len(entries.fleet.crashes) <= MAX_CRASHES + 2

        entries_system.run_scenario(work, count=count)

    def test_restarted_entry_does_not_send_it(self) -> None:
        async def work(entries: entries_system.Entries) -> None:
            entries.fleet.crashing_bodies.add(BODY)
            await entries.send_repeatedly(5.0, BODY, SEND_INTERVAL_SECONDS)
            crash_count = len(entries.fleet.crashes)
            for number in range(3):
                entries.restart(number)
            await anyio.sleep(0.5)
            await entries.send_repeatedly(5.0, BODY, SEND_INTERVAL_SECONDS)
            assert len(entries.fleet.crashes) == crash_count

        entries_system.run_scenario(work)

    def test_entries_learn_of_it_after_an_outage(self) -> None:
        async def work(entries: entries_system.Entries) -> None:
            entries.fleet.crashing_bodies.add(BODY)
            entries.store.is_down = True
            await entries.send_repeatedly(3.0, BODY, SEND_INTERVAL_SECONDS)
            entries.store.is_down = False
            await anyio.sleep(EXCHANGE_SECONDS)
            since = anyio.current_time()
            await entries.send_repeatedly(10.0, BODY, SEND_INTERVAL_SECONDS)
            assert entries.arrivals(BODY, since) == 0

        entries_system.run_scenario(work)

    def test_other_requests_to_its_path_are_served(self) -> None:
        async def work(entries: entries_system.Entries) -> None:
            entries.fleet.crashing_bodies.add(BODY)
            await entries.send_repeatedly(5.0, BODY, SEND_INTERVAL_SECONDS)
            entries.start_request(0, entries_system.STREAM, BODY + b"?")
            await anyio.sleep(3.0)
            assert entries.outcomes_of(BODY + b"?")[0].was_served

        entries_system.run_scenario(work)

    def test_two_crashing_requests_are_both_quarantined(self) -> None:
        async def work(entries: entries_system.Entries) -> None:
            bodies = [BODY + b"1", BODY + b"2"]
            entries.fleet.crashing_bodies.update(bodies)
            async with anyio.create_task_group() as tasks:
                for body in bodies:
                    tasks.start_soon(
                        entries.send_repeatedly,
                        15.0,
                        body,
                        SEND_INTERVAL_SECONDS,
                    )
                    await anyio.sleep(0.05)
            since = entries.fleet.crashes[-1].at + EXCHANGE_SECONDS
            assert since < 10.0
            assert len(entries.fleet.crashes) <= 2 * MAX_CRASHES + 3

        entries_system.run_scenario(work)

    def test_call_is_not_sent_once_three_instances_have_ended(self) -> None:
        async def work(entries: entries_system.Entries) -> None:
            entries.fleet.crashing_bodies.add(BODY)
            await entries.send_repeatedly(
                30.0, BODY, SEND_INTERVAL_SECONDS, entries_system.REPEATABLE
            )
            third_crash_at = entries.fleet.crashes[MAX_CRASHES - 1].at
            late_arrivals = entries.arrivals(
                BODY, third_crash_at + EXCHANGE_SECONDS
            )
            assert late_arrivals <= MAX_SENDS

        entries_system.run_scenario(work)


class TestOtherRequests:
    """Requests that ran at the same engines and are not the cause."""

    def test_none_is_quarantined_when_many_share_a_first_engine(self) -> None:
        # All streams of a zone begin at the same first engine, where streams
        # that were interrupted run beside the cause again.
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
            others = entries.outcomes_of_others(0.0)
            codes = {
                outcome.caller.error.code
                for outcome in others
                if outcome.caller.error
            }
            assert errors.Code.QUARANTINED not in codes
            served = sum(outcome.was_served for outcome in others)
            assert served >= len(others) - 4

        entries_system.run_scenario(work, count=12)

    def test_identical_requests_of_many_callers_are_served(self) -> None:
        async def work(entries: entries_system.Entries) -> None:
            common_body = b"how do I top up"
            for number in range(20):
                entries.start_request(
                    number, entries_system.STREAM, common_body
                )
                await anyio.sleep(0.1)
            entries.fleet.crashing_bodies.add(BODY)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(
                    entries.send_repeatedly, 6.0, BODY, SEND_INTERVAL_SECONDS
                )
                for number in range(120):
                    entries.start_request(
                        number, entries_system.STREAM, common_body
                    )
                    await anyio.sleep(0.05)
            await anyio.sleep(8.0)
            outcomes = entries.outcomes_of(common_body)
            assert len(outcomes) == 140
            assert sum(outcome.was_served for outcome in outcomes) >= 138
            assert len(entries.fleet.crashes) <= MAX_CRASHES + 2

        entries_system.run_scenario(work, count=6)

    def test_stream_cut_three_times_resumes_once_the_cause_is_known(
        self,
    ) -> None:
        # Another entry sent the cause, and its evidence arrives 0.2 s after
        # the third engine has ended.
        async def work(entries: entries_system.Entries) -> None:
            other_body = b"beside"
            entries.fleet.crashing_bodies.add(other_body)
            entries.start_request(0, entries_system.STREAM, other_body)
            await wait_for_ends(entries, MAX_CRASHES)
            entries.fleet.crashing_bodies.clear()
            await anyio.sleep(0.2)
            cause = frozenset({fingerprint.parse_content("cause")})
            names = [crash.upstream for crash in entries.fleet.crashes]
            now = anyio.current_time()
            entries[0].context.quarantine.set_peer_evidence(
                "other",
                evidence.Evidence(
                    tuple(
                        evidence.InstanceEnd(name, now, cause)
                        for name in (*names, "a fourth")
                    )
                ),
            )
            await anyio.sleep(3.0)
            assert entries.outcomes_of(other_body)[0].was_served

        entries_system.run_scenario(work, count=1)

    @pytest.mark.parametrize(
        "repeat", [entries_system.STREAM, entries_system.REPEATABLE]
    )
    def test_answered_request_counts_as_served(
        self, repeat: entries_system.routes.RepeatPolicy
    ) -> None:
        async def work(entries: entries_system.Entries) -> None:
            entries.start_request(0, repeat, b"served")
            await anyio.sleep(2.0)
            outcome = entries.outcomes_of(b"served")[0]
            assert outcome.was_served
            assert self.is_cleared(entries, outcome.request)

        entries_system.run_scenario(work, count=1)

    def test_stream_with_events_counts_as_served(self) -> None:
        async def work(entries: entries_system.Entries) -> None:
            entries.fleet.event_seconds = 0.1
            entries.start_request(0, entries_system.STREAM, b"ran")
            await anyio.sleep(1.2)
            entries.crash_busiest(1)
            await anyio.sleep(0.4)
            request = entries[0].request(entries_system.STREAM, body=b"ran")
            assert entries.outcomes_of(b"ran") == []
            assert self.is_cleared(entries, request)

        entries_system.run_scenario(work, count=1)

    def is_cleared(
        self, entries: entries_system.Entries, request: requests.CallerRequest
    ) -> bool:
        """Whether a request is not quarantined after three ends."""
        quarantine = entries[0].context.quarantine
        request_content = requests.content_of(request, "kiosks")
        for number in range(MAX_CRASHES):
            name = f"gone-{number}"
            quarantine.note_connection_lost(
                name, trackers.AttemptRecord(request_content, None)
            )
            quarantine.note_end(name)
        return not quarantine.is_quarantined(request_content)

    def test_planned_ends_are_no_evidence(self) -> None:
        async def work(entries: entries_system.Entries) -> None:
            entries.fleet.crashing_bodies.add(BODY)
            entries.list_all_as_leaving()
            for number in range(6):
                entries.start_request(number, entries_system.STREAM, BODY)
                await anyio.sleep(0.1)
            await anyio.sleep(2.0)
            assert entries.fleet.crashes
            assert all(
                entries[number].context.quarantine.has_no_suspects
                for number in range(3)
            )

        entries_system.run_scenario(work)

    def test_end_that_becomes_known_later_counts(self) -> None:
        # A silent engine whose store entry is removed later.
        async def work(entries: entries_system.Entries) -> None:
            entry = entries[0]
            repeat = entries_system.STREAM
            request = entry.request(repeat, body=BODY)
            request_content = requests.content_of(request, "kiosks")
            name = entries.fleet.upstreams[0].listed.name
            attempt_record = trackers.AttemptRecord(request_content, None)
            entry.context.quarantine.note_connection_lost(name, attempt_record)
            assert entry.context.quarantine.has_no_suspects
            entry.registry.on_changed((), (name,))
            assert entry.context.quarantine.is_suspect(request_content)

        entries_system.run_scenario(work, count=1)

    def test_service_without_reports_does_not_count_as_ended(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # HTTP services have no reports. An instance that lost a response still
        # runs.
        async def work(entries: entries_system.Entries) -> None:
            report = entries.fleet.report

            async def report_engines_only(
                upstream: chain.Upstream,
            ) -> chain.EngineReport:
                if not upstream.card:
                    raise errors.CrowdeckError(
                        errors.Code.UPSTREAM_FAILED, "the status was 404"
                    )
                return await report(upstream)

            monkeypatch.setattr(entries.fleet, "report", report_engines_only)
            for upstream in entries.fleet.upstreams:
                upstream.lost_answers = 0 if upstream.listed.card else 1
            entries.start_request(0, entries_system.REPEATABLE, b"lost")
            await anyio.sleep(2.0)
            assert entries[0].registry.failed() == ()
            assert entries[0].context.quarantine.has_no_suspects

        entries_system.run_scenario(work, count=1)

    def test_losses_of_many_engines_quarantine_no_request(self) -> None:
        async def work(entries: entries_system.Entries) -> None:
            for number in range(60):
                entries.start_request(
                    number, entries_system.STREAM, b"beside-%d" % number
                )
                if number % 8 == 7:
                    entries.crash_busiest(2)
                await anyio.sleep(0.1)
            await anyio.sleep(8.0)
            codes = [
                outcome.caller.error.code
                for outcome in entries.outcomes_of_others(0.0)
                if outcome.caller.error
            ]
            assert errors.Code.QUARANTINED not in codes

        entries_system.run_scenario(work)
