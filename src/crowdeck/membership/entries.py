# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0


"""Reading upstream instances' entries, whoever wrote them."""

import typing

from crowdeck import chain
from crowdeck import errors
from crowdeck.observe import logs
from crowdeck.state import objects as stores

Decoder = typing.Callable[[stores.StoredObject], chain.Upstream]


class EntryReader:
    """Reads entries, and tells once of each why it cannot be read.

    :param decode: turns a stored entry into an instance; raises
        ``CrowdeckError`` where it is none.
    """

    def __init__(self, decode: Decoder) -> None:
        self._decode = decode
        self._refused: dict[str, str] = {}

    def read(
        self, stored: stores.StoredObject, held: chain.Upstream | None
    ) -> chain.Upstream | None:
        """Return what an entry says, ``None`` where it cannot be read.

        :param held: what it said before, if it was read.
        """
        try:
            upstream = self._decode(stored)
        except errors.CrowdeckError as error:
            self._refuse(stored.name, error.message)
            return None
        if held is not None and held.started_ms and not upstream.started_ms:
            reason = "it does not tell any more when it started"
            self._refuse(stored.name, reason)
            return None
        self._refused.pop(stored.name, None)
        return upstream

    def forget(self, name: str) -> None:
        """Note that an entry went."""
        self._refused.pop(name, None)

    def _refuse(self, name: str, reason: str) -> None:
        if self._refused.get(name) != reason:
            self._refused[name] = reason
            logs.change("entry_refused", name=name, reason=reason)
