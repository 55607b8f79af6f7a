# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""How long an instance may get work after it left.

All times are event loop times. A process learns that an instance left when
its copy of the records is updated. It may have left at any time since the copy
was last confirmed current.
"""

# No work may reach an instance two seconds after its record was removed or
# announced that it leaves. This is shorter by the time that a call takes to
# arrive.
LAST_WORK_SECONDS = 1.8
# A leaving instance gets new work for this long at most, and only if no other
# can serve it.
LEAVING_GRACE_SECONDS = 1.0
# How long an instance stays listed after its record was removed by an outage
# of the store. Instances write their records again within two seconds.
LAPSE_SECONDS = 1.8


def leaving_until(learned_at: float, confirmed_at: float) -> float:
    """Return until when an instance that announced its leaving may get work.

    :param learned_at: when this process learned of the announcement.
    :param confirmed_at: when the copy was last confirmed before that.
    """
    return min(
        learned_at + LEAVING_GRACE_SECONDS, confirmed_at + LAST_WORK_SECONDS
    )


def lapsed_until(
    learned_at: float, confirmed_at: float, outage_at: float | None
) -> float:
    """Return until when an instance is kept whose record was removed.

    Without an outage of the store since the copy was confirmed, the removal
    may be that of an instance that left.

    :param learned_at: when this process learned of the removal.
    :param confirmed_at: when the copy was last confirmed before that.
    :param outage_at: when the store was last found to be away, ``None`` for
        never.
    """
    if outage_at is not None and outage_at > confirmed_at:
        return learned_at + LAPSE_SECONDS
    return min(learned_at + LAPSE_SECONDS, confirmed_at + LAST_WORK_SECONDS)
