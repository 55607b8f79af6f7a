# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""``crowdeck``: the operators' command line."""

import sys


def main(arguments: list[str] | None = None) -> int:
    """Run one command; returns its exit code."""
    import anyio

    from crowdeck.cmd import demo

    anyio.run(demo.run, "--stay" in sys.argv)
    return 0
