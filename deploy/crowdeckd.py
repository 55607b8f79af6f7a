# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Runs ``crowdeckd`` from a checkout, without installing it."""

import pathlib
import signal
import sys

# Before everything else: by default the signal that tells of changed
# settings would end a process that has only begun to start.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / "src"))

from crowdeck.cmd import start  # noqa: E402

sys.exit(start.main())
