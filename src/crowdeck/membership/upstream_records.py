# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Decoding of upstream instances' records, which may be malformed."""

import typing

from crowdeck import chain
from crowdeck import errors
from crowdeck.observe import logs
from crowdeck.state import objects as stores

Decoder = typing.Callable[[stores.StoredObject], chain.Upstream]


class UpstreamRecordReader:
    """Decodes records, and logs why a record is rejected.

    A rejection for the same reason as the record's last one is not logged.

    :param decode: turns a stored record into an instance; raises
        ``CrowdeckError`` if the record is malformed.
    """

    def __init__(self, decode: Decoder) -> None:
        self._decode = decode
        self._rejection_reasons: dict[str, str] = {}

    def read(
        self, stored: stores.StoredObject, previous: chain.Upstream | None
    ) -> chain.Upstream | None:
        """Return a record's instance, ``None`` if the record is rejected.

        :param previous: the instance that the record described before, if
            there was one.
        """
        try:
            upstream = self._decode(stored)
        except errors.CrowdeckError as error:
            self._reject(stored.name, error.message)
            return None
        missing = _missing_field(upstream, previous)
        if missing:
            reason = f"the {missing} is missing, but was present before"
            self._reject(stored.name, reason)
            return None
        self._rejection_reasons.pop(stored.name, None)
        return upstream

    def forget(self, name: str) -> None:
        """Forget why a record was rejected, once it was removed."""
        self._rejection_reasons.pop(name, None)

    def _reject(self, name: str, reason: str) -> None:
        if self._rejection_reasons.get(name) != reason:
            self._rejection_reasons[name] = reason
            logs.change("entry_refused", name=name, reason=reason)


def _missing_field(
    upstream: chain.Upstream, previous: chain.Upstream | None
) -> str:
    """Return which field a record has lost, empty if none."""
    if previous is None:
        return ""
    if previous.started_ms and not upstream.started_ms:
        return "start time"
    if previous.card and not upstream.card:
        return "accelerator type"
    return ""
