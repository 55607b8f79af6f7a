# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""A model request, and the point at which its answer is resumed."""

import attrs


@attrs.frozen
class ModelRequest:
    """One request for a model's answer.

    :ivar seconds_left: time to its deadline when it was received.
    :ivar window: number of tokens that may be generated before the caller
        has taken them.
    :ivar gap_limit_seconds: limit on the predicted time between tokens;
        above it a new answer is refused. 0 for no limit.
    """

    request: str
    team: str
    session: str
    model: str
    adapter: str
    prompt: str
    max_tokens: int
    seconds_left: float
    priority: int
    window: int
    gap_limit_seconds: float = 0.0


@attrs.frozen
class ResumePoint:
    """Where to resume an answer.

    :ivar position: the first position that the caller does not have.
    :ivar head: instance that keeps the answer.
    :ivar tail: last stage of its path, which keeps its tokens as well.
    """

    position: int
    head: str
    tail: str
