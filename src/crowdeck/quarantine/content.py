# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""What a request consists of, by which it is compared with others."""

import functools

import attrs

from crowdeck.quarantine import fingerprint

# Number of parts of one prompt that are compared. It bounds the evidence that
# one request adds.
MAX_PARTS = 31
# Number of contents that are kept after they were parsed. Records of other
# entries are read again after each change, and most of them repeat.
MAX_PARSED = 4_096

Fingerprints = frozenset[fingerprint.Fingerprint]


@attrs.frozen(cache_hash=True)
class RequestContent:
    """The fingerprints of a request and of the parts of its prompt.

    :ivar request: fingerprint of the whole request.
    :ivar parts: fingerprints of the parts that other requests may share.
    :ivar fingerprints: all of them.
    """

    request: fingerprint.Fingerprint
    parts: tuple[fingerprint.Fingerprint, ...] = ()
    fingerprints: Fingerprints = attrs.field(init=False, eq=False, repr=False)

    @fingerprints.default
    def _join_fingerprints(self) -> Fingerprints:
        return frozenset((self.request, *self.parts))

    def __str__(self) -> str:
        return " ".join(map(str, (self.request, *self.parts)))


@functools.lru_cache(MAX_PARSED)
def parse(text: str) -> RequestContent:
    """Return the content that ``str`` has turned into a text.

    :raises ValueError: if the text names no request.
    """
    digests = text.split()
    if not digests:
        raise ValueError(
            "expected the fingerprint of a request, and of its parts if it "
            f"has any, separated by spaces; found {text!r}"
        )
    request, *parts = map(fingerprint.Fingerprint, digests)
    return RequestContent(request, tuple(parts))
