# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""A randomized soak: real processes, faults from outside, promises checked.

``python -m bench.soak --seed 7`` plays one seed, ``--seeds 50`` as many.
The stand-ins of the platform run in one process, each entry in one of its
own, and a loopback proxy stands before the store of each entry and before
each engine. Callers check what they are answered; what ran where is read
from the stand-ins at the end.
"""
