# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""From all entries' logs to what was not served in time, and why."""

import collections
import typing

import attrs

from crowdeck.observe import explain
from crowdeck.observe import reroutes

# Ends that a caller asked for: a wrong key or path, a status of its own.
_CALLERS_OWN = frozenset({"UNAUTHORIZED", "NOT_FOUND", "BAD_REQUEST"})
# What was done about a stream that paused, told beside its lateness.
_MENDED = {
    "path_changed": "its path was changed",
    "attempt_failed": "it began anew",
    "stream_silent": "nothing was found at fault",
    # A mark of the account's own: a path was waited for.
    "held_back": "it waited for instances in need",
}
# A wait for a path that makes a first event late by itself is longer; a
# path that is there is chosen within some milliseconds.
WAITED_SECONDS = 0.1
IN_TIME = "in time"
CALLER_LEFT = "the caller left"
_BY_RIGHT = "by right"
UNNAMED = "(the logs do not name it)"
# Stands for a figure in a reason until the extent of all of them is known.
_FIGURE = "\0"
_NOT_LOST = frozenset({IN_TIME, CALLER_LEFT})


@attrs.frozen
class Objectives:
    """What counts as in time, in seconds.

    :ivar first: to a stream's first event.
    :ivar pause: between events of a stream.
    """

    first: float
    pause: float


@attrs.frozen
class Span:
    """What ended within one span of time.

    :ivar since: its begin, seconds after the first line of the logs.
    :ivar causes: how many requests ended in which way.
    """

    since: float
    causes: dict[str, int]


@attrs.frozen
class LossReport:
    """Every request in the logs, counted once.

    :ivar causes: how many ended in which way, the commonest first.
    :ivar turned_away: attempts that engines refused, by their reason.
    :ivar lost_by_source: how many ended otherwise than in time or by the
        caller's own wish, by the entry whose line told of it.
    :ivar reroutes: streams that were led around an engine.
    """

    requests: int
    causes: dict[str, int]
    turned_away: dict[str, int]
    spans: tuple[Span, ...]
    lost_by_source: dict[str, int]
    reroutes: reroutes.Reroutes


@attrs.define(eq=False)
class _Extent:
    """The least and the greatest of a reason's figures."""

    least: float = float("inf")
    most: float = float("-inf")

    def __str__(self) -> str:
        if self.least == self.most:
            return f"{self.most:g}"
        return f"{self.least:g} to {self.most:g}"

    def take(self, figure: float) -> None:
        """Count a figure."""
        self.least = min(self.least, figure)
        self.most = max(self.most, figure)


@attrs.define(eq=False)
class _Request:
    """What is known of one request so far."""

    end: explain.Line | None = None
    lack: explain.Line | None = None
    mends: set[str] = attrs.field(factory=set)


class LossCounter:
    """Takes log lines one by one, of any processes, in any order."""

    def __init__(self, aims: Objectives) -> None:
        self._aims = aims
        self._requests: dict[str, _Request] = {}
        self._refusals: collections.Counter[str] = collections.Counter()
        self._figures: dict[str, list[_Extent]] = {}
        self._reroutes = reroutes.RerouteCounter(aims.pause)
        self._began = float("inf")

    def take(self, line: explain.Line) -> None:
        """Count one line."""
        self._began = min(self._began, line.at)
        self._reroutes.take(line)
        name = line.fields.get("request")
        if not name:
            return
        request = self._requests.setdefault(str(name), _Request())
        if line.kind in explain.ENDS:
            if request.end is None or request.end.at <= line.at:
                request.end = line
        elif line.kind in ("no_path", "no_instance"):
            request.lack = line
        elif line.kind == "path_chosen":
            waited = float(line.fields.get("waited") or 0.0)
            if line.fields.get("held_back") and waited > WAITED_SECONDS:
                request.mends.add("held_back")
        elif line.kind in _MENDED:
            request.mends.add(line.kind)
        if line.kind == "attempt_failed":
            self._refusals[self._general(line)] += 1

    def account(self, span: float) -> LossReport:
        """Return the sums, and those of each ``span`` seconds."""
        causes: collections.Counter[str] = collections.Counter()
        sources: collections.Counter[str] = collections.Counter()
        spans: dict[int, collections.Counter[str]] = {}
        for request in self._requests.values():
            if request.end is None:
                continue
            cause = self._cause(request, request.end)
            causes[cause] += 1
            if cause not in _NOT_LOST and _BY_RIGHT not in cause:
                sources[_instance(request.end.source)] += 1
            at = int((request.end.at - self._began) / span)
            spans.setdefault(at, collections.Counter())[cause] += 1
        return LossReport(
            requests=sum(causes.values()),
            causes=self._told(causes),
            turned_away=self._told(self._refusals),
            spans=tuple(
                Span(at * span, self._told(found))
                for at, found in sorted(spans.items())
            ),
            lost_by_source=dict(sources.most_common()),
            reroutes=self._reroutes.sums(),
        )

    def _cause(self, request: _Request, end: explain.Line) -> str:
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
        first = float(end.fields.get("first_event") or 0.0)
        pause = float(end.fields.get("longest_pause") or 0.0)
        if first > self._aims.first:
            what = "late: its first event"
        elif pause > self._aims.pause:
            what = "late: a pause"
        else:
            return IN_TIME
        mends = [
            text for kind, text in _MENDED.items() if kind in request.mends
        ]
        return f"{what}; {mends[0]}" if mends else what

    def _refusal_cause(self, request: _Request, end: explain.Line) -> str:
        code = str(end.fields.get("code", ""))
        what = "cut" if end.kind == "answer_cut" else "refused"
        if code in _CALLERS_OWN:
            return f"{what} {_BY_RIGHT}: {code}"
        if code == "NO_PATH" and request.lack is not None:
            if request.lack.kind == "no_instance":
                return f"{what}: {code}, {_call_lack(request.lack)}"
            return f"{what}: {code}, {_lack(request.lack)}"
        return f"{what}: {code}, {self._general(end)}"

    def _general(self, line: explain.Line) -> str:
        """Return a line's reason without what is one case's alone."""
        reason, figures = _generalize(str(line.fields.get("reason", "")))
        extents = self._figures.setdefault(
            reason, [_Extent() for _ in figures]
        )
        for extent, figure in zip(extents, figures, strict=True):
            extent.take(figure)
        return reason

    def _told(self, counts: collections.Counter[str]) -> dict[str, int]:
        """Return counts under names that tell the extent of figures."""
        told: collections.Counter[str] = collections.Counter()
        for cause, count in counts.items():
            told[self._name(cause)] += count
        return dict(told.most_common())

    def _name(self, cause: str) -> str:
        # One reason may end as another does.
        fitting = [one for one in self._figures if cause.endswith(one)]
        for extent in self._figures[max(fitting, key=len)] if fitting else ():
            cause = cause.replace(_FIGURE, str(extent), 1)
        return cause


def account(
    texts: typing.Iterable[str], aims: Objectives, span: float
) -> LossReport:
    """Return the account of log lines; others are passed over."""
    ledger = LossCounter(aims)
    for text in texts:
        line = explain.parse(text)
        if line is not None:
            ledger.take(line)
    return ledger.account(span)


def _lack(line: explain.Line) -> str:
    """Return what there was no path for want of."""
    if line.fields.get("unheld"):
        return "no engine holds some layers"
    if line.fields.get("ready_in"):
        return "instances at their limits or in rest"
    if line.fields.get("missing_layers"):
        return "layers were missing"
    return "no room"


def _call_lack(line: explain.Line) -> str:
    """Return why no instance took a call."""
    if line.fields.get("ready_in"):
        return "instances at their limits or in rest"
    if line.fields.get("held_back"):
        return "the instances left were in need"
    return "no instance"


def _instance(source: str) -> str:
    """Return the process that a collector names, without its time."""
    words = source.split()
    return words[-1] if words else UNNAMED


def _generalize(reason: str) -> tuple[str, list[float]]:
    """Return a reason without one case's names, and its figures apart."""
    words, figures = [], []
    for word in reason.split():
        if word.isdigit() or not any(letter.isdigit() for letter in word):
            words.append(word)
            continue
        try:
            figures.append(float(word))
        except ValueError:
            # It names something: an address, a request.
            continue
        words.append(_FIGURE)
    return " ".join(words), figures
