# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Evidence that entries exchange about unexpected ends of instances."""

import typing

import attrs

from crowdeck.quarantine import fingerprint

# Numbers of ends and served requests that one entry reports; those added last
# are kept. They bound the size of its record in the store. One entry may take
# part in 17 ends within 13 s. The record stays below 20 KB, which an entry
# with 10 Mbit/s reads in 16 ms.
MAX_ENDS = 32
MAX_SERVED = 32
# Number of suspects reported per end. Those that were present at the most ends
# are kept, and among equals those that had not produced an event.
MAX_SUSPECTS = 24

EndCounter = typing.Callable[[fingerprint.Fingerprint], int]


@attrs.frozen
class InstanceEnd:
    """One instance's unplanned end, with the requests that ran there.

    :ivar instance: name of the instance.
    :ivar at: wall-clock time in seconds. Clocks of entries may differ by some
        seconds.
    :ivar unbegun: requests that were sent to the instance and had not
        produced an event.
    :ivar begun: requests that had just produced their first event.
    """

    instance: str
    at: float
    unbegun: frozenset[fingerprint.Fingerprint] = frozenset()
    begun: frozenset[fingerprint.Fingerprint] = frozenset()

    @property
    def suspects(self) -> frozenset[fingerprint.Fingerprint]:
        """All requests that may have caused it."""
        return self.unbegun | self.begun

    def merged_with(self, other: "InstanceEnd") -> "InstanceEnd":
        """Return the combined evidence of two entries on the same end."""
        unbegun = self.unbegun | other.unbegun
        return InstanceEnd(
            self.instance,
            min(self.at, other.at),
            unbegun,
            (self.begun | other.begun) - unbegun,
        )


@attrs.frozen
class ServedRequest:
    """A suspect that was served completely.

    :ivar at: wall-clock time in seconds; ends before it are not attributed to
        the request.
    """

    request: fingerprint.Fingerprint
    at: float


@attrs.frozen
class Evidence:
    """All evidence of one entry."""

    ends: tuple[InstanceEnd, ...] = ()
    served: tuple[ServedRequest, ...] = ()

    @property
    def newest_at(self) -> float:
        """Wall-clock time of the newest item, 0 if there is none."""
        ended = max((end.at for end in self.ends), default=0.0)
        served = max((request.at for request in self.served), default=0.0)
        return max(ended, served)

    def __bool__(self) -> bool:
        """Whether there is any evidence."""
        return bool(self.ends or self.served)

    def between(self, first: float, last: float) -> "Evidence":
        """Return the evidence between two wall-clock times, inclusive."""
        return Evidence(
            tuple(end for end in self.ends if first <= end.at <= last),
            tuple(
                request
                for request in self.served
                if first <= request.at <= last
            ),
        )

    def with_end(self, end: InstanceEnd, count_ends: EndCounter) -> "Evidence":
        """Return the evidence with an end added or merged.

        :param count_ends: returns the number of known ends at which a
            request was present.
        """
        by_instance = {known.instance: known for known in self.ends}
        if end.instance in by_instance:
            end = by_instance[end.instance].merged_with(end)
        by_instance[end.instance] = _truncated(end, count_ends)
        return attrs.evolve(self, ends=tuple(by_instance.values())[-MAX_ENDS:])

    def with_served(self, served: ServedRequest) -> "Evidence":
        """Return the evidence with a served request added."""
        by_request = {known.request: known for known in self.served}
        before = by_request.get(served.request, served)
        by_request[served.request] = max(
            before, served, key=lambda request: request.at
        )
        return attrs.evolve(
            self, served=tuple(by_request.values())[-MAX_SERVED:]
        )


def _truncated(end: InstanceEnd, count_ends: EndCounter) -> InstanceEnd:
    """Return an end with its most likely suspects only."""
    if len(end.suspects) <= MAX_SUSPECTS:
        return end
    order = sorted(
        end.suspects,
        key=lambda request: (
            -count_ends(request),
            request not in end.unbegun,
            str(request),
        ),
    )
    kept = frozenset(order[:MAX_SUSPECTS])
    return attrs.evolve(
        end, unbegun=end.unbegun & kept, begun=end.begun & kept
    )


def encode(evidence: Evidence) -> dict[str, typing.Any]:
    """Return evidence as a JSON object."""
    return {
        "ends": [
            {
                "instance": end.instance,
                "at": end.at,
                "unbegun": sorted(map(str, end.unbegun)),
                "begun": sorted(map(str, end.begun)),
            }
            for end in evidence.ends
        ],
        "served": [
            [str(served.request), served.at] for served in evidence.served
        ],
    }


def decode(body: object) -> Evidence:
    """Return the evidence in a JSON object.

    :raises ValueError: if the object is malformed.
    """
    try:
        fields = typing.cast(dict[str, typing.Any], body or {})
        return Evidence(
            tuple(_decode_end(end) for end in fields.get("ends", ())),
            tuple(
                ServedRequest(fingerprint.Fingerprint(str(request)), float(at))
                for request, at in fields.get("served", ())
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


def _decode_end(fields: dict[str, typing.Any]) -> InstanceEnd:
    return InstanceEnd(
        str(fields["instance"]),
        float(fields["at"]),
        frozenset(
            fingerprint.Fingerprint(str(request))
            for request in fields["unbegun"]
        ),
        frozenset(
            fingerprint.Fingerprint(str(request))
            for request in fields["begun"]
        ),
    )
