# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Loads that other entries told this one, and their sums."""

import typing

import anyio
import attrs

from crowdeck import errors
from crowdeck.membership import load_messages as messages
from crowdeck.routing import fleet_load as fleet_loads
from crowdeck.routing import usage as usages

# A load counts for this long after it was told: the requests may have ended,
# or others may have taken them over.
REPORT_TTL_SECONDS = 1.0
# Sums are computed again after this, or later in large zones, whose sums take
# longer and whose members report less often.
SUM_TTL_SECONDS = 0.05
SUM_SECONDS_PER_MEMBER = 1.0 / 600.0

_Key = typing.TypeVar("_Key")


@attrs.frozen
class _Told:
    """A load that another entry told.

    :ivar told_at: loop time.
    :ivar run: the process that told it.
    :ivar number: number of its report.
    :ivar previous_run: the process that told its sender's load before.
    """

    load: usages.EntryLoad
    told_at: float
    run: str = ""
    number: int = 0
    previous_run: str = ""

    def is_current(self, now: float) -> bool:
        return now - self.told_at <= REPORT_TTL_SECONDS


@attrs.frozen
class _Sums:
    """Sums of all that is current.

    :ivar members: the loads that the zone's sum covers, by entry.
    :ivar computed_at: loop time.
    """

    members: dict[str, usages.EntryLoad]
    zone: usages.EntryLoad
    fleet: usages.EntryLoad
    computed_at: float


class LoadCollector:
    """Collects the loads of a zone's entries and the sums of other zones.

    :param name: this entry's name.
    :param zone: its availability zone.
    """

    def __init__(self, name: str, zone: str) -> None:
        self._name = name
        self._zone = zone
        self._members: dict[str, _Told] = {}
        # By zone and sender, and whether it is the answer to a report.
        self._zone_sums: dict[tuple[str, str, bool], _Told] = {}
        self._sums: _Sums | None = None

    @property
    def has_members(self) -> bool:
        """Whether other entries of the zone tell this one their load."""
        now = anyio.current_time()
        return any(
            told.is_current(now)
            for name, told in self._members.items()
            if name != self._name
        )

    def accept(self, report: messages.LoadReport) -> None:
        """Take a report, unless a newer one of its sender was taken.

        :raises CrowdeckError: ``BAD_REQUEST`` if it is not for this entry.
        """
        if report.is_zone_sum is (report.zone == self._zone):
            kind = "zone's sum" if report.is_zone_sum else "entry's load"
            raise errors.CrowdeckError(
                errors.Code.BAD_REQUEST,
                f"zone {self._zone} expects entries' loads of its own and "
                f"sums of other zones, found an {kind} of {report.zone}; do "
                "two entries share an address?",
            )
        if report.is_zone_sum:
            key = (report.zone, report.sender, False)
            self._zone_sums[key] = _replace(self._zone_sums.get(key), report)
        else:
            known = self._members.get(report.sender)
            self._members[report.sender] = _replace(known, report)

    def accept_answer(
        self, zone: str, sender: str, load: usages.EntryLoad
    ) -> None:
        """Take another zone's sum from the answer of one of its entries."""
        now = anyio.current_time()
        self._zone_sums[zone, sender, True] = _Told(load, now)

    def zone_sum(self) -> usages.EntryLoad:
        """Return the load of this zone's entries, this one included."""
        return self._current_sums().zone

    def others_than(self, name: str) -> usages.EntryLoad:
        """Return the load of all entries of the fleet but one."""
        sums = self._current_sums()
        own = sums.members.get(name)
        if own is None:
            return sums.fleet
        return fleet_loads.without(sums.fleet, own)

    def clear(self) -> None:
        """Forget everything."""
        self._members.clear()
        self._zone_sums.clear()
        self._sums = None

    def _current_sums(self) -> _Sums:
        now = anyio.current_time()
        sums = self._sums
        ttl_seconds = max(
            SUM_TTL_SECONDS, SUM_SECONDS_PER_MEMBER * len(self._members)
        )
        if sums is None or now - sums.computed_at > ttl_seconds:
            sums = self._sums = self._compute_sums(now)
        return sums

    def _compute_sums(self, now: float) -> _Sums:
        _drop_expired(self._members, now)
        _drop_expired(self._zone_sums, now)
        members = {name: told.load for name, told in self._members.items()}
        zone = fleet_loads.combine(members.values())
        fleet = fleet_loads.combine([zone, *self._largest_zone_sums()])
        return _Sums(members, zone, fleet, now)

    def _largest_zone_sums(self) -> list[usages.EntryLoad]:
        """Return for each other zone the sum that covers most entries."""
        largest: dict[str, _Told] = {}
        for (zone, _, _), told in self._zone_sums.items():
            known = largest.get(zone)
            if known is None or _coverage(told) > _coverage(known):
                largest[zone] = told
        return [told.load for told in largest.values()]


def _coverage(told: _Told) -> tuple[int, float]:
    return told.load.entry_count, told.told_at


def _drop_expired(reports: dict[_Key, _Told], now: float) -> None:
    for key, told in list(reports.items()):
        if not told.is_current(now):
            del reports[key]


def _replace(known: _Told | None, report: messages.LoadReport) -> _Told:
    """Return the newer of what is known and a report that arrived.

    A message that was delayed must not replace a later one, nor one of a
    process that ended that of its successor.
    """
    now = anyio.current_time()
    told = _Told(report.load, now, report.run, report.number)
    if known is None:
        return told
    if report.run == known.previous_run:
        return known
    if report.run != known.run:
        return attrs.evolve(told, previous_run=known.run)
    if report.number <= known.number:
        return known
    return attrs.evolve(told, previous_run=known.previous_run)
