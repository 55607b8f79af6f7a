# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Tests of log lines and metrics."""

import typing

import orjson
import pytest

from crowdeck import json_text
from crowdeck.observe import counters
from crowdeck.observe import logs
from tests import foreign_texts


class _Pipe:
    """A pipe that may be full."""

    def __init__(self) -> None:
        self.lines: list[bytes] = []
        self.is_full = False

    def write(self, line: bytes) -> int:
        if self.is_full:
            raise BlockingIOError
        self.lines.append(line)
        return len(line)


class TestLogs:
    """Log lines are JSON, rate limited and never block."""

    def test_line_is_json_with_event_and_time(self) -> None:
        pipe = _Pipe()
        writer = logs.BoundedWriter(pipe.write)
        writer({"message_type": "crowdeck:refused", "request": "r1"})
        line = orjson.loads(pipe.lines[0])
        assert line["message_type"] == "crowdeck:refused"
        assert line["request"] == "r1"
        assert line["timestamp"] > 0
        assert pipe.lines[0].endswith(b"\n")

    def test_lines_over_the_limit_are_dropped_and_counted(self) -> None:
        pipe = _Pipe()
        now = [10.0]
        writer = logs.BoundedWriter(pipe.write, lambda: now[0])
        for _ in range(3 * logs.LINES_PER_SECOND):
            writer({"message_type": "crowdeck:refused"})
        writer({"message_type": "crowdeck:started"})
        assert len(pipe.lines) == logs.LINES_PER_SECOND + 1
        now[0] += 1.0
        writer({"message_type": "crowdeck:refused"})
        report = orjson.loads(pipe.lines[-2])
        assert report["message_type"] == "crowdeck:log_left_out"
        assert report["lines"] == {
            "crowdeck:refused": 2 * logs.LINES_PER_SECOND
        }

    def test_full_pipe_drops_lines_without_an_error(self) -> None:
        pipe = _Pipe()
        now = [10.0]
        writer = logs.BoundedWriter(pipe.write, lambda: now[0])
        pipe.is_full = True
        writer({"message_type": "crowdeck:refused"})
        pipe.is_full = False
        now[0] += 1.0
        writer({"message_type": "crowdeck:refused"})
        assert orjson.loads(pipe.lines[0])["lines"] == {"crowdeck:refused": 1}

    def test_long_line_is_replaced_by_its_size(self) -> None:
        pipe = _Pipe()
        writer = logs.BoundedWriter(pipe.write)
        writer({"message_type": "crowdeck:x", "path": "a" * 10_000})
        assert len(pipe.lines[0]) <= logs.MAX_LINE_BYTES
        assert orjson.loads(pipe.lines[0])["too_long"] > 10_000


class TestMetrics:
    """The Prometheus text format."""

    def test_text_has_counters_gauges_and_histograms(self) -> None:
        table = counters.Counters()
        table.add("relay.requests", 3)
        table.set_gauge("config.version", 7)
        table.time("relay.answered", 0.03)
        table.time("relay.answered", 99.0)
        text = table.as_text()
        assert "crowdeck_relay_requests_total 3\n" in text
        assert "crowdeck_config_version 7\n" in text
        assert 'relay_answered_seconds_bucket{le="0.05"} 1\n' in text
        assert 'relay_answered_seconds_bucket{le="+Inf"} 2\n' in text
        assert "crowdeck_relay_answered_seconds_count 2\n" in text


class TestLogLines:
    """Lines with values of other programs."""

    @pytest.mark.parametrize(
        "value",
        [
            10**30,
            -(10**5_000),
            "\ud800",
            ["\udfff"],
            {"a": 10**30},
            orjson.loads(foreign_texts.nested(600)),
        ],
        ids=lambda value: type(value).__name__,
    )
    def test_value_that_json_does_not_have_costs_no_line(
        self, value: typing.Any
    ) -> None:
        # Guards against a change that is not logged because of one field.
        lines: list[bytes] = []

        def write(line: bytes) -> int:
            lines.append(line)
            return len(line)

        logs.BoundedWriter(write)(
            {"message_type": "crowdeck:x", "value": value, "other": 5}
        )
        found = json_text.decode(lines[0])
        assert found["message_type"] == "crowdeck:x"
        assert found["other"] == 5
        assert "value" in found
