# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Contracts: what a service allows the router to do with its requests."""

import attrs


@attrs.frozen
class Contract:
    """Properties of a service's requests.

    :ivar is_repeatable: whether a request may run twice. If not, a request
        that may have run is never repeated.
    :ivar is_ordered: whether a session's requests run one after another
        in the order in which they were received.
    :ivar has_companions: whether an answer names further documents, in
        ``Link`` headers with ``rel="companion"``, to be delivered with it.
    :ivar checks_fences: whether the upstream itself refuses orders with an
        outdated fencing token.
    """

    is_repeatable: bool = False
    is_ordered: bool = False
    has_companions: bool = False
    checks_fences: bool = False


MODEL_CONTRACT = Contract(is_repeatable=True)
