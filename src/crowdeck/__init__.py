# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""crowdeck: a router for model pipelines over mixed accelerators.

Besides its two programs, it provides a library for coordination. The names
exported here are its public interface; everything else may change.

>>> import crowdeck
>>> crowdeck.Verdict.NOT_RUN.is_retry_safe
True
"""

import importlib
import typing

if typing.TYPE_CHECKING:
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

# The module of each public name. They are imported on first use, so that
# importing this package does not delay the start of a process.
_MODULES_BY_NAME = {
    "Claim": "crowdeck.state.claims",
    "ClaimsLedger": "crowdeck.state.claims",
    "Code": "crowdeck.errors",
    "Contract": "crowdeck.contract",
    "CrowdeckError": "crowdeck.errors",
    "Gate": "crowdeck.sidecar.gate",
    "ObjectStore": "crowdeck.state.objects",
    "Path": "crowdeck.pipeline",
    "RetryBudget": "crowdeck.routing.retry",
    "SettingsEditor": "crowdeck.settings.editor",
    "SettingsHolder": "crowdeck.settings.holder",
    "TimerService": "crowdeck.timers",
    "Verdict": "crowdeck.verdict",
    "rank": "crowdeck.routing.rendezvous",
}

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


def __getattr__(name: str) -> typing.Any:
    module = _MODULES_BY_NAME.get(name)
    if module is None:
        raise AttributeError(f"crowdeck exports no {name!r}: see __all__")
    return getattr(importlib.import_module(module), name)


def __dir__() -> list[str]:
    return sorted([*globals(), *__all__])
