# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""The context that requests of all kinds have in common."""

import attrs

from crowdeck.observe import traces
from crowdeck.settings import tree as trees
from crowdeck import team as teams


@attrs.frozen
class RequestContext:
    """The caller, settings and limits of one request.

    :ivar sequence: the caller's number of the session's turn, -1 for none.
    :ivar seconds_left: time to the deadline when the request was received.
    :ivar key: the caller's idempotency key, empty for none.
    """

    caller: teams.Caller
    tree: trees.Tree
    sequence: int
    seconds_left: float
    key: str
    span: traces.OpenSpan

    @property
    def session_name(self) -> str:
        """Full name of the caller's session, empty for none."""
        if not self.caller.session:
            return ""
        return f"{self.caller.team}/{self.caller.session}"
