# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Fingerprints of requests, and of the parts that prompts share."""

import hashlib

import attrs

# Length of a fingerprint. Among a million requests, two different ones share a
# fingerprint with a probability of 3 in 100 million.
DIGEST_BYTES = 8


# Evidence is compared often.
@attrs.frozen(cache_hash=True)
class Fingerprint:
    """A digest of a request, or of a part of a prompt."""

    digest: str

    def __str__(self) -> str:
        return self.digest


def of_request(
    method: str, host: str, target: str, team: str, body: bytes
) -> Fingerprint:
    """Return the fingerprint by which a team's repeats are recognised.

    The request's id and API key are left out: a caller that repeats a request
    gives it a new id, and may use another key of its team.

    :param target: path and query, exactly as sent by the caller.
    """
    return _of_fields((method, host, target, team), body)


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
