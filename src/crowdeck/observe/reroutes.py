# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""From logs to where the time of a changed path went."""

import statistics

import attrs

from crowdeck.observe import explain

_DONE = "done"


@attrs.frozen
class Percentiles:
    """Figures of many streams, in seconds; 0 where there are none."""

    median: float
    nine_in_ten: float

    @classmethod
    def of(cls, values: list[float]) -> "Percentiles":
        """Return the spread of some figures."""
        if not values:
            return cls(0.0, 0.0)
        ordered = sorted(values)
        last = ordered[int(0.9 * (len(ordered) - 1))]
        return cls(statistics.median(ordered), last)


@attrs.frozen
class Reroutes:
    """Streams that were led around an engine and ended whole.

    :ivar in_time: how many paused no longer than allowed.
    :ivar noticed: from the last event until an engine was held at fault.
    :ivar agreed: from the last event until the new path stood.
    :ivar pause: from the last event until the next one.
    """

    streams: int
    in_time: int
    noticed: Percentiles
    agreed: Percentiles
    pause: Percentiles


class RerouteCounter:
    """Takes log lines one by one, of any processes, in any order.

    :param allowed: longest pause that is in time, in seconds.
    """

    def __init__(self, allowed: float) -> None:
        self._allowed = allowed
        self._noticed: list[float] = []
        self._agreed: dict[str, float] = {}
        self._paused: dict[str, float] = {}

    def take(self, line: explain.Line) -> None:
        """Count one line."""
        request = str(line.fields.get("request", ""))
        silent = float(line.fields.get("silent") or 0.0)
        match line.kind:
            case "stream_silent" if line.fields.get("culprits"):
                self._noticed.append(silent)
            case "path_changed" if line.fields.get("outcome") == _DONE:
                self._agreed[request] = silent
            case "stream_ended":
                pause = float(line.fields.get("longest_pause") or 0.0)
                self._paused[request] = pause

    def sums(self) -> Reroutes:
        """Return what the lines so far add up to."""
        agreed = {
            request: seconds
            for request, seconds in self._agreed.items()
            if request in self._paused
        }
        pauses = [self._paused[request] for request in agreed]
        return Reroutes(
            streams=len(agreed),
            in_time=sum(1 for pause in pauses if pause <= self._allowed),
            noticed=Percentiles.of(self._noticed),
            agreed=Percentiles.of(list(agreed.values())),
            pause=Percentiles.of(pauses),
        )
