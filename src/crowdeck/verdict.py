# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Verdicts on whether a request has run.

Every error carries a verdict, so that callers know whether a retry could run
a request twice.
"""

import enum


class Verdict(enum.StrEnum):
    """Whether a request may have had an effect.

    ``NOT_RUN`` guarantees that the request did not run and never will. It
    is given only if the request was not sent or was refused before it ran.
    """

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"

    @property
    def is_retry_safe(self) -> bool:
        """Whether repeating the request cannot make it run twice.

        >>> Verdict.NOT_RUN.is_retry_safe
        True
        >>> Verdict.MAY_HAVE_RUN.is_retry_safe
        False
        """
        return self is Verdict.NOT_RUN
