# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Tests of the counts of requests that were not served in time."""

import pathlib

import orjson
import pytest

from crowdeck.cmd import cli
from crowdeck.cmd import commands
from crowdeck.observe import losses
from tests import test_explain

OBJECTIVES = losses.Objectives(first_event_seconds=0.5, pause_seconds=0.25)
line = test_explain.line


def ended(at: float, request: str, first: float, pause: float) -> str:
    return line(
        at,
        "stream_ended",
        request=request,
        first_event=first,
        longest_pause=pause,
    )


def refused(at: float, request: str, code: str, reason: str) -> str:
    return line(at, "refused", request=request, code=code, reason=reason)


LOG = [
    ended(10.0, "r1", 0.1, 0.1),
    ended(10.5, "r2", 0.7, 0.1),
    line(11.0, "path_changed", request="r3", outcome="done"),
    ended(11.5, "r3", 0.1, 0.4),
    line(12.5, "no_path", request="r4", missing_layers=0),
    refused(12.5, "r4", "NO_PATH", "no path through the model has room"),
    line(12.6, "no_path", "b", request="r5", missing_layers=3),
    refused(12.6, "r5", "NO_PATH", "no path through the model has room"),
    refused(12.7, "r6", "UNAUTHORIZED", "send a key that a team holds"),
    line(13.0, "attempt_failed", request="r7", reason="10.0.0.1:1 refused"),
    line(13.0, "attempt_failed", request="r7", reason="10.0.0.2:1 refused"),
    refused(
        13.1, "r7", "OVERLOADED", "refused because of 10.0.0.2:1, status 503"
    ),
    line(13.2, "call_answered", request="r8", status=200),
    line(13.3, "call_answered", request="r9", status=500),
    line(13.4, "caller_left", request="r10"),
    "not a log line\n",
]


class TestReport:
    """Counts by cause and by time."""

    def test_each_request_is_counted_once(self) -> None:
        found = losses.build_report(LOG, OBJECTIVES, 2.0)
        assert found.requests == 10
        assert sum(found.causes.values()) == 10
        assert sum(sum(span.causes.values()) for span in found.spans) == 10

    def test_causes_are_distinguished(self) -> None:
        assert losses.build_report(LOG, OBJECTIVES, 2.0).causes == {
            "in time": 2,
            "late: its first event": 1,
            "late: a pause; its path was changed": 1,
            "refused: NO_PATH, no room": 1,
            "refused: NO_PATH, layers were missing": 1,
            "refused by right: UNAUTHORIZED": 1,
            "refused: OVERLOADED, refused because of status 503": 1,
            "the upstream itself answered 500": 1,
            "the caller left": 1,
        }

    def test_failed_attempts_are_counted_by_reason(self) -> None:
        found = losses.build_report(LOG, OBJECTIVES, 2.0)
        assert found.turned_away == {"refused": 2}

    def test_first_interval_begins_with_the_logs(self) -> None:
        spans = losses.build_report(LOG, OBJECTIVES, 2.0).spans
        assert [span.since for span in spans] == [0.0, 2.0]
        assert sum(spans[0].causes.values()) == 3

    def test_latest_end_of_a_request_counts(self) -> None:
        # Lines of several processes may be out of order.
        log = [ended(20.0, "r1", 0.1, 0.1), refused(19.0, "r1", "X", "why")]
        assert losses.build_report(log, OBJECTIVES, 2.0).causes == {
            "in time": 1
        }


class TestNumberRanges:
    """Reasons that differ only in their numbers are counted together."""

    def test_numbers_are_reported_as_a_range(self) -> None:
        # The numbers must not be missing from the reported reason.
        log = [
            refused(1.0, "r1", "DEADLINE", "no answer within 1.50 s"),
            refused(5.0, "r2", "DEADLINE", "no answer within 0.75 s"),
        ]
        found = losses.build_report(log, OBJECTIVES, 2.0)
        cause = "refused: DEADLINE, no answer within 0.75 to 1.5 s"
        assert found.causes == {cause: 2}
        assert [span.causes for span in found.spans] == [
            {cause: 1},
            {cause: 1},
        ]

    def test_equal_numbers_are_reported_once(self) -> None:
        log = [
            line(
                1.0,
                "attempt_failed",
                request=f"r{number}",
                reason="10.0.0.1:1 gave no answer within 1.50 s",
            )
            for number in range(2)
        ]
        found = losses.build_report(log, OBJECTIVES, 2.0)
        assert found.turned_away == {"gave no answer within 1.5 s": 2}

    def test_whole_and_fractional_numbers_are_counted_together(self) -> None:
        reasons = (
            "silent for 2 s",
            "silent for 2.0 s",
            "was silent for 3.5 s",
        )
        log = [
            refused(1.0, f"r{number}", "LOST", reason)
            for number, reason in enumerate(reasons)
        ]
        assert losses.build_report(log, OBJECTIVES, 2.0).causes == {
            "refused: LOST, silent for 2 s": 2,
            "refused: LOST, was silent for 3.5 s": 1,
        }

    def test_each_place_of_a_number_has_its_own_range(self) -> None:
        reasons = ("silent for 0.3 s of 2.0 s", "silent for 0.4 s of 1.0 s")
        log = [
            refused(1.0, f"r{number}", "LOST", reason)
            for number, reason in enumerate(reasons)
        ]
        assert losses.build_report(log, OBJECTIVES, 2.0).causes == {
            "refused: LOST, silent for 0.3 to 0.4 s of 1 to 2 s": 2
        }


class TestReroutes:
    """Interruptions by path changes."""

    LOG = [
        line(1.0, "stream_silent", request="r1", silent=0.12, culprits=["x"]),
        line(1.0, "stream_silent", request="r9", silent=0.30, culprits=[]),
        line(1.1, "path_changed", request="r1", outcome="done", silent=0.16),
        line(1.1, "path_changed", request="r2", outcome="done", silent=0.18),
        line(1.1, "path_changed", request="r3", outcome="refused", silent=0.2),
        line(1.1, "path_changed", request="r4", outcome="done", silent=0.2),
        ended(2.0, "r1", 0.1, 0.2),
        ended(2.0, "r2", 0.1, 0.3),
        ended(2.0, "r3", 0.1, 0.9),
    ]

    def test_only_completed_changes_of_ended_streams_count(self) -> None:
        found = losses.build_report(self.LOG, OBJECTIVES, 2.0).reroutes
        assert found.streams == 2
        assert found.in_time == 1
        assert found.noticed.median == pytest.approx(0.12)
        assert found.agreed.median == pytest.approx(0.17)
        assert found.pause.median == pytest.approx(0.25)

    def test_no_path_changes_give_zeros(self) -> None:
        found = losses.build_report(
            [ended(1.0, "r1", 0.1, 0.1)], OBJECTIVES, 2.0
        )
        assert found.reroutes.streams == 0
        assert found.reroutes.pause.median == 0.0


class TestSources:
    """Losses by entry."""

    def test_losses_are_counted_by_entry(self) -> None:
        log = [
            ended(1.0, "r1", 0.7, 0.1),
            f"  12.5 {ended(1.0, 'r2', 0.1, 0.4)}",
            line(1.0, "call_answered", "b", request="r3", status=500),
            line(1.0, "call_answered", "b", request="r4", status=200),
            line(1.0, "caller_left", "b", request="r5"),
        ]
        found = losses.build_report(log, OBJECTIVES, 2.0)
        assert found.lost_by_source == {"a": 2, "b": 1}

    def test_lines_without_a_source_are_counted_as_unnamed(self) -> None:
        text = ended(1.0, "r1", 0.7, 0.1)
        bare = text[text.index("{") :]
        found = losses.build_report([bare], OBJECTIVES, 2.0)
        assert found.lost_by_source == {losses.UNNAMED: 1}


class TestCommand:
    """``crowdeck losses``."""

    def test_prints_text_and_json(
        self, tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        path = tmp_path / "entry.log"
        path.write_text("".join(LOG))
        # Lines without a source are counted under the name of their file.
        bare = tmp_path / "entry {0}.log"
        text = ended(12.0, "r20", 0.7, 0.1)
        bare.write_text(text[text.index("{") :])
        assert cli.main(["losses", str(path), str(bare)]) == commands.EXIT_OK
        both = capsys.readouterr().out
        assert "11 requests ended" in both
        assert "  entry-0.log" in both
        arguments = ["losses", str(path), "--gap", "0.25"]
        assert cli.main(arguments) == commands.EXIT_OK
        text = capsys.readouterr().out
        assert "10 requests ended" in text
        assert "refused: NO_PATH, layers were missing" in text
        assert "lost, by entry:" in text
        assert "1 streams moved to another path, 0 in time" in text
        assert cli.main([*arguments, "--json"]) == commands.EXIT_OK
        data = orjson.loads(capsys.readouterr().out)
        assert data["causes"]["in time"] == 2
