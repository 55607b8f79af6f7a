# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Checks every specification; ``--full`` uses larger bounds."""

import argparse
import sys

from spec import check


def main() -> int:
    """Check all specifications and print a line for each check.

    Returns 1 when a check did not end as expected.
    """
    parser = argparse.ArgumentParser(prog="python -m spec")
    parser.add_argument("--full", action="store_true", help="larger bounds")
    options = parser.parse_args()
    is_good = True
    for report in check.check_all(is_full=options.full):
        print(report.line, flush=True)
        is_good = is_good and report.is_as_expected
    return 0 if is_good else 1


if __name__ == "__main__":
    sys.exit(main())
