# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0
"""Signs that the more urgent streams of a service lack capacity."""

import enum

import anyio
import attrs

from crowdeck.observe import counters
from crowdeck.observe import logs

# How long a sign counts. By then the streams that filled the engines have
# mostly ended.
PRESSURE_SECONDS = 2.0


class Reason(enum.Enum):
    """What shows that streams lack capacity."""

    REFUSED = "refused for lack of capacity"
    LATE = "first event after the objective"
    WAITING = "waiting for a path"
    WAITING_ELSEWHERE = "waiting for a path at other entries"


@attrs.define
class _ServicePressure:
    """Pressure on one service.

    :ivar signs: loop time of the newest sign, by rank.
    :ivar began_at: loop time at which the pressure began, ``None`` while
        there is none.
    """

    signs: dict[int, float] = attrs.field(factory=dict)
    began_at: float | None = None


class UrgencyPressure:
    """Which ranks of each service lacked capacity within the last seconds."""

    def __init__(self) -> None:
        self._by_service: dict[str, _ServicePressure] = {}

    def note(
        self, service: str, rank: int, reason: Reason, at: float | None = None
    ) -> None:
        """Note a sign that streams of a rank lack capacity.

        :param at: loop time of the sign; now if it is not given.
        """
        now = anyio.current_time()
        at = now if at is None else at
        if now - at >= PRESSURE_SECONDS:
            return
        pressure = self._by_service.setdefault(service, _ServicePressure())
        pressure.signs[rank] = max(at, pressure.signs.get(rank, at))
        if pressure.began_at is not None:
            return
        pressure.began_at = now
        counters.COUNTERS.set_gauge(f"relay.urgency_pressure.{service}", 1.0)
        logs.change(
            "urgency_pressure_began",
            service=service,
            rank=rank,
            reason=reason.value,
        )

    def is_on(self, service: str, rank: int) -> bool:
        """Whether any rank more urgent than ``rank`` lacks capacity."""
        pressure = self._by_service.get(service)
        if pressure is None:
            return False
        since = anyio.current_time() - PRESSURE_SECONDS
        return any(
            other < rank and at > since for other, at in pressure.signs.items()
        )

    def end_if_over(self, service: str) -> None:
        """Log the end of a service's pressure once no sign counts."""
        pressure = self._by_service.get(service)
        if pressure is None or pressure.began_at is None:
            return
        now = anyio.current_time()
        newest = max(pressure.signs.values())
        if now - newest < PRESSURE_SECONDS:
            return
        counters.COUNTERS.set_gauge(f"relay.urgency_pressure.{service}", 0.0)
        logs.change(
            "urgency_pressure_ended",
            service=service,
            ranks=sorted(pressure.signs),
            seconds=round(newest - pressure.began_at, 3),
        )
        del self._by_service[service]
