# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""After the reply to a call is lost, ask the gate whether the call ran.

Run it with ``python examples/seal_a_call.py``.
"""

import time

import crowdeck


class MonotonicClock:
    """A monotonic clock for the gate."""

    def now(self) -> float:
        """Return monotonic seconds."""
        return time.monotonic()


def main() -> None:
    """Seal one call before it arrives, and one after it has run."""
    gate = crowdeck.Gate(incarnation=7, clock=MonotonicClock())
    print(
        "sealed before it arrived:", gate.seal("late-call", 0, incarnation=7)
    )
    try:
        gate.admit("late-call", 0, is_new_work=True)
    except crowdeck.CrowdeckError as error:
        print("arrived after its seal:", error.code)
    gate.admit("completed-call", 0, is_new_work=True)
    gate.finish("completed-call")
    print(
        "sealed after it ran:",
        gate.seal("completed-call", 0, incarnation=7),
    )


if __name__ == "__main__":
    main()
