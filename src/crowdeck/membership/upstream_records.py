# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0


"""Decoding of upstream instances' store entries, which may be malformed."""

import typing

from crowdeck import chain
from crowdeck import errors
from crowdeck.observe import logs
from crowdeck.state import objects as stores

Decoder = typing.Callable[[stores.StoredObject], chain.Upstream]


class UpstreamRecordReader:
    """Decodes entries, and logs once per entry why it is rejected.

    :param decode: turns a stored entry into an instance; raises
        ``CrowdeckError`` if the entry is malformed.
    """

    def __init__(self, decode: Decoder) -> None:
        self._decode = decode
        self._rejected: dict[str, str] = {}

    def read(
        self, stored: stores.StoredObject, previous: chain.Upstream | None
    ) -> chain.Upstream | None:
        """Return the instance that an entry describes, or ``None``.

        :param previous: the instance that the entry described before, if
            there was one.
        """
        try:
            upstream = self._decode(stored)
        except errors.CrowdeckError as error:
            self._reject(stored.name, error.message)
            return None
        if (
            previous is not None
            and previous.started_ms
            and not upstream.started_ms
        ):
            reason = "the start time is missing, but was present before"
            self._reject(stored.name, reason)
            return None
        self._rejected.pop(stored.name, None)
        return upstream

    def forget(self, name: str) -> None:
        """Drop what is remembered of an entry that was removed."""
        self._rejected.pop(name, None)

    def _reject(self, name: str, reason: str) -> None:
        if self._rejected.get(name) != reason:
            self._rejected[name] = reason
            logs.change("entry_refused", name=name, reason=reason)
