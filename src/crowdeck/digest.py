# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Digest of an answer, with which its receiver checks that it is complete."""

from collections import abc

import xxhash


class AnswerDigest:
    """Running digest over the tokens and texts of one answer.

    It detects lost, reordered and duplicated parts. It is not cryptographic;
    mutual TLS protects against tampering.
    """

    def __init__(self, request: str) -> None:
        # The request's id distinguishes answers of equal text to different
        # requests.
        self._hash = xxhash.xxh3_64(request.encode())
        self._count = 0

    @property
    def count(self) -> int:
        """The number of tokens added."""
        return self._count

    @property
    def value(self) -> int:
        """The digest of all tokens added."""
        return self._hash.intdigest()

    def add(self, token: int, text: str) -> None:
        """Add the next token."""
        self._hash.update(f"{token}\0{text}\0".encode())
        self._count += 1


def digest_answer(request: str, pieces: abc.Iterable[tuple[int, str]]) -> int:
    """Return the digest of a whole answer."""
    digest = AnswerDigest(request)
    for token, text in pieces:
        digest.add(token, text)
    return digest.value
