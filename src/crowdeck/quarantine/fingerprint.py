# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Fingerprints by which repeated requests of a team are recognised."""

import hashlib

import attrs

# Length of a fingerprint. Among a million requests, two different ones share a
# fingerprint with a probability of 3 in 100 million.
DIGEST_BYTES = 8


@attrs.frozen
class Fingerprint:
    """A digest of method, host, path, team and body.

    The request's id and API key are left out: a caller that repeats a request
    gives it a new id, and may use another key of its team.
    """

    digest: str

    def __str__(self) -> str:
        return self.digest


def of_request(
    method: str, host: str, target: str, team: str, body: bytes
) -> Fingerprint:
    """Return the fingerprint of a request.

    :param target: path and query, exactly as sent by the caller.
    """
    # The digest is cryptographic, so that a caller cannot construct a request
    # that collides with another's.
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (method, host, target, team):
        content = part.encode("utf-8", "surrogateescape")
        # The length keeps different lists of parts from being equal.
        digest.update(len(content).to_bytes(4, "big"))
        digest.update(content)
    digest.update(body)
    return Fingerprint(digest.hexdigest())
