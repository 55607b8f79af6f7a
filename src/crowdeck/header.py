# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""A header of a request or an answer, independent of the transport."""

import attrs


@attrs.frozen
class Header:
    """One HTTP header, name in lower case."""

    name: str
    value: str
