# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""The operator's config at the start of a seed."""

import copy
import typing

JsonObject = dict[str, typing.Any]

CONFIG: JsonObject = {
    "version": 1,
    "routes": [
        {
            "name": "stream",
            "host": "desk.example",
            "path_prefix": "/stream/",
            "route_kind": "streaming",
            "timeout_ms": 6000,
            "target_latency_ms": 500,
            "target_gap_ms": 200,
            "service": "model",
            "max_attempts": 2,
            "stream_resumption": True,
        },
        {
            "name": "once",
            "host": "desk.example",
            "path_prefix": "/once/",
            "route_kind": "non_idempotent",
            "timeout_ms": 1500,
            "service": "plain",
            "max_attempts": 1,
        },
    ],
    "services": [
        {
            "name": "model",
            "engine": {
                "slots": 32,
                "kv_token_bytes": 1_000_000,
                "models": [{"name": "m", "load_time_s": 1.0}],
                "step_ms": 1.0,
                "per_seq_ms": 0.01,
                "context_per_k": 0.01,
                "read_per_s": 100_000.0,
                "usual": {"prompt": 100, "answer": 40},
                "layers": 80,
                "layer_mb": 100.0,
                "activation_bytes": 1000,
                "pipeline_mbps": 9000.0,
                "kinds": [
                    {
                        "name": "card",
                        "size_mb": 5000.0,
                        "pace": 1.0,
                        "read_factor": 1.0,
                    }
                ],
            },
        },
        {"name": "plain"},
    ],
    "tenants": [{"name": "team", "api_keys": ["key-0"]}],
}

# Idempotent calls, only in the config that tests the retry budget.
IDEMPOTENT_ROUTE: JsonObject = {
    "name": "repeated",
    "host": "desk.example",
    "path_prefix": "/repeated/",
    "route_kind": "idempotent",
    "timeout_ms": 3000,
    "service": "plain",
}
# Maximum number of upstreams for each request.
MAX_ATTEMPTS = 4


def build_retry_config() -> JsonObject:
    """Return the config of seeds that test the retry budget."""
    retry_config = copy.deepcopy(CONFIG)
    retry_config["routes"].append(copy.deepcopy(IDEMPOTENT_ROUTE))
    for route in retry_config["routes"]:
        if route["name"] != "once":
            route["max_attempts"] = MAX_ATTEMPTS
    return retry_config
