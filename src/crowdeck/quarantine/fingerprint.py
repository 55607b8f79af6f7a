# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Fingerprints of requests, and of the parts that prompts share."""

import functools
import hashlib

import attrs

# Length of a fingerprint. Among a million requests, two different ones share a
# fingerprint with a probability of 3 in 100 million.
DIGEST_BYTES = 8
# Number of parts of one prompt that are compared. It bounds the evidence that
# one request adds.
MAX_PARTS = 31
# Number of contents and fingerprints of parts that are kept once they are
# known. Records of other entries are read again after each change and mostly
# repeat, and requests share parts.
MAX_KNOWN = 4_096


# The hash is cached, as evidence is compared often.
@attrs.frozen(cache_hash=True)
class Fingerprint:
    """A digest of a request, or of a part of a prompt."""

    digest: str

    def __str__(self) -> str:
        return self.digest


Fingerprints = frozenset[Fingerprint]


@attrs.frozen(cache_hash=True)
class RequestContent:
    """The fingerprints of a request and of the parts of its prompt.

    :ivar request: fingerprint of the whole request.
    :ivar parts: fingerprints of the parts that other requests may share.
    :ivar fingerprints: all of them.
    """

    request: Fingerprint
    parts: tuple[Fingerprint, ...] = ()
    fingerprints: Fingerprints = attrs.field(init=False, eq=False, repr=False)

    @fingerprints.default
    def _join_fingerprints(self) -> Fingerprints:
        return frozenset((self.request, *self.parts))

    def __str__(self) -> str:
        return " ".join(map(str, (self.request, *self.parts)))


@functools.lru_cache(MAX_KNOWN)
def parse_content(text: str) -> RequestContent:
    """Return the content that ``str`` has turned into a text.

    :raises ValueError: if the text names no request.
    """
    digests = text.split()
    if not digests:
        raise ValueError(
            "expected the fingerprint of a request, and of its parts if it "
            f"has any, separated by spaces; found {text!r}"
        )
    request, *parts = map(Fingerprint, digests)
    return RequestContent(request, tuple(parts))


def of_request(
    method: str, host: str, target: str, team: str, body: bytes
) -> Fingerprint:
    """Return the fingerprint by which a team's repeats are recognised.

    The request's id and API key are left out: a caller that repeats a request
    gives it a new id, and may use another key of its team.

    :param target: path and query, exactly as sent by the caller.
    """
    return _of_fields((method, host, target, team), body)


@functools.lru_cache(MAX_KNOWN)
def of_part(model: str, part_id: str) -> Fingerprint:
    """Return the fingerprint of a part of a prompt.

    A part with the same id is the same text for every team and route, but
    another model may run what one cannot.
    """
    return _of_fields(("part", model, part_id))


def _of_fields(fields: tuple[str, ...], body: bytes = b"") -> Fingerprint:
    # The digest is cryptographic, so that a caller cannot construct a request
    # that collides with another's.
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for field in fields:
        encoded = field.encode("utf-8", "surrogateescape")
        # The length keeps different lists of fields from being equal.
        digest.update(len(encoded).to_bytes(4, "big"))
        digest.update(encoded)
    digest.update(body)
    return Fingerprint(digest.hexdigest())
