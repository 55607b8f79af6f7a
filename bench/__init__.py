# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Benchmarks: daemons with stand-ins, and simulations of parts."""
