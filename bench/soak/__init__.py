# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""A randomized soak test: real processes, injected faults, checked guarantees.

``python -m bench.soak --seed 7`` runs one seed, ``--seeds 50`` runs fifty.
The stand-ins of the platform run in one process and each entry in its own. A
loopback proxy sits between each entry and the store, and in front of each
upstream instance. Callers check the answers they receive; which request ran
where is read from the stand-ins at the end.
"""
