# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""What entries tell one another of instances that ended under requests."""

import typing

import attrs

from crowdeck.quarantine import fingerprint

# Ends and served requests that one entry tells of at most; the newest stay.
# One entry had part in 17 ends within 13 s. What it tells stays below 20 KB,
# which an entry with 10 Mbit/s reads in 16 ms.
ENDS_MOST = 32
SERVED_MOST = 32
# Requests told of for one end: those that were at most ends before, and
# then those without an event.
SUSPECTS_MOST = 24

Rank = typing.Callable[[fingerprint.Fingerprint], int]


@attrs.frozen
class InstanceEnd:
    """One instance's end, and what may have brought it about.

    :ivar instance: name of the instance's run.
    :ivar at: time of day, in seconds. Clocks of entries differ by seconds;
        it only decides what is forgotten after an hour.
    :ivar unbegun: requests that the instance had been sent, and that had
        brought no event.
    :ivar begun: requests that had brought their first just before.
    """

    instance: str
    at: float
    unbegun: frozenset[fingerprint.Fingerprint] = frozenset()
    begun: frozenset[fingerprint.Fingerprint] = frozenset()

    @property
    def suspects(self) -> frozenset[fingerprint.Fingerprint]:
        """All requests that may have brought it about."""
        return self.unbegun | self.begun

    def joined(self, other: "InstanceEnd") -> "InstanceEnd":
        """Return what two entries together know of the same end."""
        unbegun = self.unbegun | other.unbegun
        return InstanceEnd(
            self.instance,
            min(self.at, other.at),
            unbegun,
            (self.begun | other.begun) - unbegun,
        )


@attrs.frozen
class Served:
    """A suspect that was served whole after all.

    :ivar at: time of day; ends before it are not held against it.
    """

    request: fingerprint.Fingerprint
    at: float


@attrs.frozen
class Evidence:
    """All that one entry tells."""

    ends: tuple[InstanceEnd, ...] = ()
    served: tuple[Served, ...] = ()

    @property
    def newest(self) -> float:
        """The time of day of the last thing told of, 0 for nothing."""
        ended = max((one.at for one in self.ends), default=0.0)
        served = max((one.at for one in self.served), default=0.0)
        return max(ended, served)

    def __bool__(self) -> bool:
        """Whether it tells anything."""
        return bool(self.ends or self.served)

    def between(self, first: float, last: float) -> "Evidence":
        """Return what is neither older nor newer than two times of day."""
        return Evidence(
            tuple(one for one in self.ends if first <= one.at <= last),
            tuple(one for one in self.served if first <= one.at <= last),
        )

    def with_end(self, end: InstanceEnd, rank: Rank) -> "Evidence":
        """Return it with another end, or with more suspects of one.

        :param rank: at how many ends a request is known to have been.
        """
        held = {one.instance: one for one in self.ends}
        if end.instance in held:
            end = held[end.instance].joined(end)
        held[end.instance] = _bounded(end, rank)
        return attrs.evolve(self, ends=tuple(held.values())[-ENDS_MOST:])

    def with_served(self, served: Served) -> "Evidence":
        """Return it with another request that was served."""
        held = {one.request: one for one in self.served}
        before = held.get(served.request, served)
        held[served.request] = max(before, served, key=lambda one: one.at)
        return attrs.evolve(self, served=tuple(held.values())[-SERVED_MOST:])


def _bounded(end: InstanceEnd, rank: Rank) -> InstanceEnd:
    """Keep the likeliest of an end's suspects."""
    if len(end.suspects) <= SUSPECTS_MOST:
        return end
    order = sorted(
        end.suspects,
        key=lambda one: (-rank(one), one not in end.unbegun, str(one)),
    )
    kept = frozenset(order[:SUSPECTS_MOST])
    return attrs.evolve(
        end, unbegun=end.unbegun & kept, begun=end.begun & kept
    )


def encode(evidence: Evidence) -> dict[str, typing.Any]:
    """Return evidence as a JSON object."""
    return {
        "ends": [
            {
                "instance": one.instance,
                "at": one.at,
                "unbegun": sorted(map(str, one.unbegun)),
                "begun": sorted(map(str, one.begun)),
            }
            for one in evidence.ends
        ],
        "served": [[str(one.request), one.at] for one in evidence.served],
    }


def decode(body: object) -> Evidence:
    """Return the evidence that a JSON object holds.

    :raises ValueError: where it is no such object.
    """
    try:
        told = typing.cast(dict[str, typing.Any], body or {})
        return Evidence(
            tuple(_decode_end(one) for one in told.get("ends", ())),
            tuple(
                Served(fingerprint.Fingerprint(str(request)), float(at))
                for request, at in told.get("served", ())
            ),
        )
    except (
        AttributeError,
        KeyError,
        OverflowError,
        TypeError,
        ValueError,
    ) as error:
        raise ValueError(f"evidence is malformed ({error!r})") from None


def _decode_end(one: dict[str, typing.Any]) -> InstanceEnd:
    return InstanceEnd(
        str(one["instance"]),
        float(one["at"]),
        frozenset(fingerprint.Fingerprint(str(it)) for it in one["unbegun"]),
        frozenset(fingerprint.Fingerprint(str(it)) for it in one["begun"]),
    )
