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
# Wall-clock times are in seconds since 1970; later ones are errors.
MAX_TIME = 1e11
# Number of requests reported per end. Those whose fingerprints were present at
# the most ends are kept, and among equals those that had not produced an
# event.
MAX_SUSPECTS = 24
# Number of fingerprints reported per end, and by one entry in all. A prompt
# has several parts, so the oldest ends give way to those of many parts. Ends
# in a row that have the most fingerprints are still enough for a quarantine.
MAX_FINGERPRINTS_PER_END = 4 * MAX_SUSPECTS
MAX_FINGERPRINTS = MAX_ENDS * MAX_SUSPECTS

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
    unbegun: frozenset[fingerprint.RequestContent] = frozenset()
    begun: frozenset[fingerprint.RequestContent] = frozenset()

    @property
    def requests(self) -> frozenset[fingerprint.RequestContent]:
        """All requests that may have caused it."""
        return self.unbegun | self.begun

    @property
    def fingerprint_count(self) -> int:
        """Number of fingerprints with which it is reported."""
        return sum(1 + len(content.parts) for content in self.requests)

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
class ServedSuspect:
    """A suspect that was served, in any request.

    :ivar at: wall-clock time in seconds at which it began to be served; ends
        before it are not attributed to the suspect.
    """

    suspect: fingerprint.Fingerprint
    at: float


@attrs.frozen
class Evidence:
    """All evidence of one entry."""

    ends: tuple[InstanceEnd, ...] = ()
    served: tuple[ServedSuspect, ...] = ()

    @property
    def newest_at(self) -> float:
        """Wall-clock time of the newest item, 0 if there is none."""
        ended = max((end.at for end in self.ends), default=0.0)
        served = max((served.at for served in self.served), default=0.0)
        return max(ended, served)

    def __bool__(self) -> bool:
        """Whether there is any evidence."""
        return bool(self.ends or self.served)

    def between(self, first: float, last: float) -> "Evidence":
        """Return the evidence between two wall-clock times, inclusive."""
        return Evidence(
            tuple(end for end in self.ends if first <= end.at <= last),
            tuple(
                served for served in self.served if first <= served.at <= last
            ),
        )

    def with_end(self, end: InstanceEnd, count_ends: EndCounter) -> "Evidence":
        """Return the evidence with an end added or merged.

        :param count_ends: returns the number of known ends at which a
            suspect was present.
        """
        by_instance = {known.instance: known for known in self.ends}
        if end.instance in by_instance:
            end = by_instance[end.instance].merged_with(end)
        by_instance[end.instance] = _truncated(end, count_ends)
        return attrs.evolve(
            self, ends=_newest_within_limits(tuple(by_instance.values()))
        )

    def with_served(self, served: ServedSuspect) -> "Evidence":
        """Return the evidence with a served suspect added."""
        by_suspect = {known.suspect: known for known in self.served}
        # Removed first, so that it counts as added last.
        before = by_suspect.pop(served.suspect, served)
        by_suspect[served.suspect] = max(
            before, served, key=lambda suspect: suspect.at
        )
        return attrs.evolve(
            self, served=tuple(by_suspect.values())[-MAX_SERVED:]
        )


def _newest_within_limits(
    ends: tuple[InstanceEnd, ...],
) -> tuple[InstanceEnd, ...]:
    """Return the ends that were added last, as many as may be reported."""
    kept: list[InstanceEnd] = []
    fingerprint_count = 0
    for end in reversed(ends[-MAX_ENDS:]):
        fingerprint_count += end.fingerprint_count
        if fingerprint_count > MAX_FINGERPRINTS:
            break
        kept.append(end)
    return tuple(reversed(kept))


def _truncated(end: InstanceEnd, count_ends: EndCounter) -> InstanceEnd:
    """Return an end with its most likely suspects only."""
    if (
        len(end.requests) <= MAX_SUSPECTS
        and end.fingerprint_count <= MAX_FINGERPRINTS_PER_END
    ):
        return end
    order = sorted(
        end.requests,
        key=lambda content: (
            -sum(map(count_ends, content.fingerprints)),
            content not in end.unbegun,
            str(content),
        ),
    )
    kept: set[fingerprint.RequestContent] = set()
    fingerprint_count = 0
    for content in order[:MAX_SUSPECTS]:
        fingerprint_count += 1 + len(content.parts)
        if fingerprint_count > MAX_FINGERPRINTS_PER_END:
            break
        kept.add(content)
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
            [str(served.suspect), served.at] for served in evidence.served
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
                ServedSuspect(fingerprint.Fingerprint(str(suspect)), _time(at))
                for suspect, at in fields.get("served", ())
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
        _time(fields["at"]),
        frozenset(
            fingerprint.parse_content(str(text)) for text in fields["unbegun"]
        ),
        frozenset(
            fingerprint.parse_content(str(text)) for text in fields["begun"]
        ),
    )


def _time(value: object) -> float:
    if not isinstance(value, (int, float)) or not 0.0 <= value <= MAX_TIME:
        raise ValueError(f"expected a time from 0 to {MAX_TIME:g}")
    return float(value)
