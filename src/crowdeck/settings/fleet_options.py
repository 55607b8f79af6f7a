# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Options of a fleet entry.

A fleet entry sends a request to one upstream. If a path has several engines,
they pass the request on from stage to stage themselves.
"""

from crowdeck.settings import options

FLEET = "fleet"

FLEET_OPTIONS = options.Options(
    (
        options.Text("callers", "", "IP:PORT for callers"),
        options.Text("status", "", "IP:PORT for readiness and metrics"),
        options.Text(
            "peers",
            "",
            "IP:PORT for other entries; without it each entry queries "
            "the platform's store by itself",
        ),
        options.Text(
            "share_load",
            "auto",
            "whether entries tell one another what they have in progress on "
            "engines; auto: while the config ranks the streams of a service. "
            "Needs peers",
            ("auto", "on", "off"),
        ),
        options.Number(
            "link_mbps",
            0.0,
            "bandwidth of the instance's link; the entry with the highest "
            "value in its availability zone queries the store for the others",
            0.0,
            1e6,
        ),
        options.Number(
            "revocation_ms",
            5_000.0,
            "longest time for which a revoked key is still accepted",
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
            "set only if no entry of the fleet has run before; otherwise a "
            "lease that looks free is not taken until a lease granted before "
            "the start must have expired",
        ),
        options.Number(
            "retry_ratio", 0.2, "retries allowed per request", 0.0, 10.0
        ),
        options.Number(
            "retry_slack",
            100.0,
            "further retries allowed in a window, over all entries",
            0.0,
            1e6,
        ),
        options.Number(
            "retry_window_seconds",
            10.0,
            "length of the sliding window of retries",
            0.1,
            600.0,
        ),
        options.Text(
            "reuse_connections",
            "auto",
            "whether connections to upstreams are kept and used again; auto: "
            "if the contracts call for it",
            choices=("auto", "on", "off"),
        ),
        options.Text(
            "contracts",
            "",
            "the platform's contracts in force, separated by commas",
        ),
    )
)
