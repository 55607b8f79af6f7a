# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Contracts: what a service allows the router to do with its requests."""

import attrs


@attrs.frozen
class Contract:
    """What a service promises about its requests, and asks for them.

    :ivar is_repeatable: whether running a request twice does no harm.
        Where it is false, a request that may have run is never repeated.
    :ivar is_ordered: whether a session's requests run one after another
        in the order in which they were received.
    :ivar has_companions: whether an answer names further documents in
        ``Link`` headers with ``rel="companion"`` that must come with it.
    :ivar checks_fences: whether the upstream itself refuses orders whose
        fencing token is too low.
    """

    is_repeatable: bool = False
    is_ordered: bool = False
    has_companions: bool = False
    checks_fences: bool = False


MODEL_CONTRACT = Contract(is_repeatable=True)
