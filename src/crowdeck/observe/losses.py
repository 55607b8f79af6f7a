# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Counts from logs the failed requests and the late streams, by cause.

Calls are not checked for lateness.
"""

import collections
import typing

import attrs

from crowdeck.observe import explain
from crowdeck.observe import reroutes

# Error codes of requests that were refused because of a caller's mistake.
_CALLER_ERRORS = frozenset({"UNAUTHORIZED", "NOT_FOUND", "BAD_REQUEST"})
# What happened to a late stream, by event; the first match is reported.
_REACTIONS = {
    "path_changed": "its path was changed",
    "attempt_failed": "it began anew",
    "stream_silent": "nothing was found at fault",
    # Not an event: set for a ``path_chosen`` after a long wait.
    "held_back": "it waited for instances in need",
}
# Shorter waits for a path do not explain a late first event.
MIN_WAIT_SECONDS = 0.1
IN_TIME = "in time"
CALLER_LEFT = "the caller left"
# Marks the causes of refusals that a caller's mistake explains.
_CALLER_ERROR = "by right"
# Stands for the process of log lines without a source.
UNNAMED = "(the logs do not name it)"
# Placeholder for a number in a reason until the range of all such numbers is
# known.
_PLACEHOLDER = "\0"
_NOT_LOST = frozenset({IN_TIME, CALLER_LEFT})


@attrs.frozen
class Objectives:
    """Latency objectives of streams.

    :ivar first_event_seconds: longest time to the first event.
    :ivar pause_seconds: longest time between two events.
    """

    first_event_seconds: float
    pause_seconds: float


@attrs.frozen
class Interval:
    """The requests that ended within one interval of time.

    :ivar since: start, in seconds after the first line of the logs.
    :ivar causes: number of requests by outcome.
    """

    since: float
    causes: dict[str, int]


@attrs.frozen
class LossReport:
    """Counts of all requests that ended in the logs.

    :ivar causes: number of requests by outcome, most common first.
    :ivar turned_away: number of failed attempts by reason.
    :ivar spans: counts by interval of time.
    :ivar lost_by_source: number of requests that were refused, failed or
        late, by the entry that logged their end; without those that the
        caller ended or that were refused because of a caller's mistake.
    :ivar reroutes: streams that were moved to another path.
    """

    requests: int
    causes: dict[str, int]
    turned_away: dict[str, int]
    spans: tuple[Interval, ...]
    lost_by_source: dict[str, int]
    reroutes: reroutes.Reroutes


@attrs.define(eq=False)
class _Range:
    """Range of the numbers at one position in a reason."""

    lowest: float = float("inf")
    highest: float = float("-inf")

    def __str__(self) -> str:
        if self.lowest == self.highest:
            return f"{self.highest:g}"
        return f"{self.lowest:g} to {self.highest:g}"

    def add(self, number: float) -> None:
        """Extend the range to include a number."""
        self.lowest = min(self.lowest, number)
        self.highest = max(self.highest, number)


@attrs.define(eq=False)
class _Request:
    """What the lines so far contain on one request.

    :ivar shortage: the last line read about a missing path or instance.
    :ivar reactions: keys of ``_REACTIONS``.
    """

    end: explain.Line | None = None
    shortage: explain.Line | None = None
    reactions: set[str] = attrs.field(factory=set)


class LossCounter:
    """Counts requests by outcome.

    Accepts the lines of any processes in any order.
    """

    def __init__(self, objectives: Objectives) -> None:
        self._objectives = objectives
        self._requests: dict[str, _Request] = {}
        self._failed_attempts: collections.Counter[str] = collections.Counter()
        self._ranges: dict[str, list[_Range]] = {}
        self._reroutes = reroutes.RerouteCounter(objectives.pause_seconds)
        self._start = float("inf")

    def add(self, line: explain.Line) -> None:
        """Count one line."""
        self._start = min(self._start, line.at)
        self._reroutes.add(line)
        request_id = line.fields.get("request")
        if not request_id:
            return
        request = self._requests.setdefault(str(request_id), _Request())
        if line.kind in explain.END_EVENTS:
            if request.end is None or request.end.at <= line.at:
                request.end = line
        elif line.kind in ("no_path", "no_instance"):
            request.shortage = line
        elif line.kind == "path_chosen":
            waited = float(line.fields.get("waited") or 0.0)
            if line.fields.get("held_back") and waited > MIN_WAIT_SECONDS:
                request.reactions.add("held_back")
        elif line.kind in _REACTIONS:
            request.reactions.add(line.kind)
        if line.kind == "attempt_failed":
            self._failed_attempts[self._normalize_reason(line)] += 1

    def report(self, interval_seconds: float) -> LossReport:
        """Return the counts, in total and per interval.

        :param interval_seconds: length of an interval.
        """
        causes: collections.Counter[str] = collections.Counter()
        sources: collections.Counter[str] = collections.Counter()
        intervals: dict[int, collections.Counter[str]] = {}
        for request in self._requests.values():
            if request.end is None:
                continue
            cause = self._outcome(request, request.end)
            causes[cause] += 1
            if cause not in _NOT_LOST and _CALLER_ERROR not in cause:
                sources[_process_name(request.end.source)] += 1
            index = int((request.end.at - self._start) / interval_seconds)
            intervals.setdefault(index, collections.Counter())[cause] += 1
        return LossReport(
            requests=sum(causes.values()),
            causes=self._fill_ranges(causes),
            turned_away=self._fill_ranges(self._failed_attempts),
            spans=tuple(
                Interval(index * interval_seconds, self._fill_ranges(counts))
                for index, counts in sorted(intervals.items())
            ),
            lost_by_source=dict(sources.most_common()),
            reroutes=self._reroutes.summary(),
        )

    def _outcome(self, request: _Request, end: explain.Line) -> str:
        match end.kind:
            case "stream_ended":
                return self._stream_cause(request, end)
            case "call_answered":
                status = int(end.fields.get("status") or 0)
                if status >= 500:
                    return f"the upstream itself answered {status}"
                return IN_TIME
            case "caller_left":
                return CALLER_LEFT
            case _:
                return self._refusal_cause(request, end)

    def _stream_cause(self, request: _Request, end: explain.Line) -> str:
        first_event = float(end.fields.get("first_event") or 0.0)
        pause = float(end.fields.get("longest_pause") or 0.0)
        if first_event > self._objectives.first_event_seconds:
            lateness = "late: its first event"
        elif pause > self._objectives.pause_seconds:
            lateness = "late: a pause"
        else:
            return IN_TIME
        reactions = [
            text
            for kind, text in _REACTIONS.items()
            if kind in request.reactions
        ]
        return f"{lateness}; {reactions[0]}" if reactions else lateness

    def _refusal_cause(self, request: _Request, end: explain.Line) -> str:
        code = str(end.fields.get("code", ""))
        outcome = "cut" if end.kind == "answer_cut" else "refused"
        if code in _CALLER_ERRORS:
            return f"{outcome} {_CALLER_ERROR}: {code}"
        if code == "NO_PATH" and request.shortage is not None:
            if request.shortage.kind == "no_instance":
                return f"{outcome}: {code}, {_call_shortage(request.shortage)}"
            return f"{outcome}: {code}, {_path_shortage(request.shortage)}"
        return f"{outcome}: {code}, {self._normalize_reason(end)}"

    def _normalize_reason(self, line: explain.Line) -> str:
        """Return the general form of a line's reason.

        Its numbers are added to the ranges of that reason.
        """
        reason, numbers = _generalize(str(line.fields.get("reason", "")))
        ranges = self._ranges.setdefault(reason, [_Range() for _ in numbers])
        for number_range, number in zip(ranges, numbers, strict=True):
            number_range.add(number)
        return reason

    def _fill_ranges(self, counts: collections.Counter[str]) -> dict[str, int]:
        """Return the counts with ranges in place of the placeholders."""
        filled: collections.Counter[str] = collections.Counter()
        for cause, count in counts.items():
            filled[self._fill_cause(cause)] += count
        return dict(filled.most_common())

    def _fill_cause(self, cause: str) -> str:
        # A reason may be a suffix of another reason; the longest applies.
        matches = [reason for reason in self._ranges if cause.endswith(reason)]
        for number_range in (
            self._ranges[max(matches, key=len)] if matches else ()
        ):
            cause = cause.replace(_PLACEHOLDER, str(number_range), 1)
        return cause


def build_report(
    texts: typing.Iterable[str],
    objectives: Objectives,
    interval_seconds: float,
) -> LossReport:
    """Count the requests in log lines; other lines are ignored."""
    counter = LossCounter(objectives)
    for text in texts:
        line = explain.parse(text)
        if line is not None:
            counter.add(line)
    return counter.report(interval_seconds)


def _path_shortage(line: explain.Line) -> str:
    """Return why there was no path."""
    if line.fields.get("unheld"):
        return "no engine holds some layers"
    if line.fields.get("ready_in"):
        return "instances at their limits or in rest"
    if line.fields.get("missing_layers"):
        return "layers were missing"
    return "no room"


def _call_shortage(line: explain.Line) -> str:
    """Return why no instance took a call."""
    if line.fields.get("ready_in"):
        return "instances at their limits or in rest"
    if line.fields.get("held_back"):
        return "the instances left were in need"
    return "no instance"


def _process_name(source: str) -> str:
    """Return the last word of a line's source, which is the process name."""
    words = source.split()
    return words[-1] if words else UNNAMED


def _generalize(reason: str) -> tuple[str, list[float]]:
    """Replace the fractional numbers of a reason by placeholders.

    Whole numbers stay in the text. Other words with digits, such as addresses
    and request ids, are removed.

    :return: the text and the numbers that were replaced.
    """
    words, numbers = [], []
    for word in reason.split():
        if word.isdigit() or not any(letter.isdigit() for letter in word):
            words.append(word)
            continue
        try:
            numbers.append(float(word))
        except ValueError:
            # An address or an id.
            continue
        words.append(_PLACEHOLDER)
    return " ".join(words), numbers
