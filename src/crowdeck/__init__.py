# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""crowdeck: a router for model pipelines over mixed accelerators.

Beside its two programs it is a library of coordination parts. What is
exported here is its public surface; everything else may change.

>>> import crowdeck
>>> crowdeck.Verdict.NOT_RUN.is_retry_safe
True
"""

from crowdeck.contract import Contract
from crowdeck.errors import Code
from crowdeck.errors import CrowdeckError
from crowdeck.pipeline import Path
from crowdeck.routing.rendezvous import rank
from crowdeck.routing.retry import RetryBudget
from crowdeck.settings.editor import SettingsEditor
from crowdeck.settings.holder import SettingsHolder
from crowdeck.sidecar.gate import Gate
from crowdeck.state.claims import Claim
from crowdeck.state.claims import ClaimsLedger
from crowdeck.state.objects import ObjectStore
from crowdeck.timers import TimerService
from crowdeck.verdict import Verdict

__all__ = [
    "Claim",
    "ClaimsLedger",
    "Code",
    "Contract",
    "CrowdeckError",
    "Gate",
    "ObjectStore",
    "Path",
    "RetryBudget",
    "SettingsEditor",
    "SettingsHolder",
    "TimerService",
    "Verdict",
    "rank",
]
