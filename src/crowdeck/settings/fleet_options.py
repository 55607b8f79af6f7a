# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Options of an entry whose engines chain their stages themselves."""

from crowdeck.settings import options

FLEET = "fleet"

FLEET_OPTIONS = options.Options(
    (
        options.Text("callers", "", "IP:PORT where callers connect"),
        options.Text("status", "", "IP:PORT of readiness and metrics"),
        options.Text(
            "peers",
            "",
            "IP:PORT where other entries ask; without it each entry asks "
            "the platform's store for itself",
        ),
        options.Number(
            "link_mbps",
            0.0,
            "width of the instance's link; of an availability zone's "
            "entries the widest answers the others",
            0.0,
            1e6,
        ),
        options.Number(
            "revocation_ms",
            5_000.0,
            "time in which a key that was taken away stops working",
            100.0,
            600_000.0,
        ),
        options.Number(
            "grace_seconds",
            8.0,
            "time from the stop signal until the process is killed",
            0.5,
            600.0,
        ),
        options.Flag(
            "first_start",
            False,
            "whether no entry of the fleet can have run before; else a free "
            "duty is taken only once nobody can hold it any more",
        ),
        options.Number(
            "retry_ratio", 0.2, "repeats allowed for each request", 0.0, 10.0
        ),
        options.Number(
            "retry_slack",
            100.0,
            "repeats allowed on top, by all entries in a window",
            0.0,
            1e6,
        ),
        options.Number(
            "retry_window_seconds",
            10.0,
            "length of the sliding window of repeats",
            0.1,
            600.0,
        ),
    )
)
