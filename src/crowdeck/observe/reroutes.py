# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Measures from logs how long path changes interrupted streams."""

import statistics

import attrs

from crowdeck.observe import explain

_DONE = "done"


@attrs.frozen
class Percentiles:
    """Percentiles over streams, in seconds; 0 if there are none.

    :ivar nine_in_ten: the 90th percentile.
    """

    median: float
    nine_in_ten: float

    @classmethod
    def of(cls, values: list[float]) -> "Percentiles":
        """Return the percentiles of some values."""
        if not values:
            return cls(0.0, 0.0)
        ordered = sorted(values)
        percentile_90 = ordered[int(0.9 * (len(ordered) - 1))]
        return cls(statistics.median(ordered), percentile_90)


@attrs.frozen
class Reroutes:
    """Streams whose path was changed and which ended normally.

    :ivar in_time: number of those that paused no longer than allowed.
    :ivar noticed: time from the last event until an engine was identified as
        the cause, over all streams.
    :ivar agreed: time from the last event until the new path was set up.
    :ivar pause: longest pause of a stream.
    """

    streams: int
    in_time: int
    noticed: Percentiles
    agreed: Percentiles
    pause: Percentiles


class RerouteCounter:
    """Collects the path changes of streams.

    Accepts the lines of any processes in any order.

    :param max_pause_seconds: longest pause that is in time.
    """

    def __init__(self, max_pause_seconds: float) -> None:
        self._max_pause_seconds = max_pause_seconds
        self._noticed: list[float] = []
        self._agreed: dict[str, float] = {}
        self._longest_pause: dict[str, float] = {}

    def add(self, line: explain.Line) -> None:
        """Count one line."""
        request = str(line.fields.get("request", ""))
        silent_seconds = float(line.fields.get("silent") or 0.0)
        match line.kind:
            case "stream_silent" if line.fields.get("culprits"):
                self._noticed.append(silent_seconds)
            case "path_changed" if line.fields.get("outcome") == _DONE:
                self._agreed[request] = silent_seconds
            case "stream_ended":
                pause = float(line.fields.get("longest_pause") or 0.0)
                self._longest_pause[request] = pause

    def summary(self) -> Reroutes:
        """Return the results for the lines so far."""
        agreed = {
            request: seconds
            for request, seconds in self._agreed.items()
            if request in self._longest_pause
        }
        pauses = [self._longest_pause[request] for request in agreed]
        return Reroutes(
            streams=len(agreed),
            in_time=sum(
                1 for pause in pauses if pause <= self._max_pause_seconds
            ),
            noticed=Percentiles.of(self._noticed),
            agreed=Percentiles.of(list(agreed.values())),
            pause=Percentiles.of(pauses),
        )
