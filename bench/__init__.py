# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Measures the system: real daemons before small stand-ins."""
