# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Names of headers, paths and fields in the platform's HTTP API.

A comment gives the meaning of a name that is reused or misleading, and marks
names that are not read. In the rest of ``crowdeck``, only ``cmd`` and
``standin`` use these names; other packages use the types that the decoding
modules of this package return.
"""

# Headers, in lower case and latin-1 as in ASGI and httpcore.
REQUEST_ID = b"x-request-id"
DEADLINE = b"x-request-deadline"  # milliseconds that the sender waits
SIGNATURE = b"x-response-signature"
NOT_EXECUTED = b"x-not-executed"
EXPECTED_INSTANCE = b"x-expected-instance"
TEAM = b"x-tenant"
HOPS = b"x-hop-count"  # the whole path, not a count
CULPRIT = b"at-server"
LOAD = b"x-server-load"
PRIORITY = b"x-request-priority"
TOKEN_COUNTS = b"x-token-counts"
MODEL = b"x-model"
PROMPT_PARTS = b"x-prompt-prefix"  # every part of the prompt, in order
LENGTH_HINT = b"x-length-hint"
LAST_EVENT_ID = b"last-event-id"
RETRY_AFTER = b"retry-after"
RATE_LIMIT = b"server-limit"  # requests a second, from all entries together
LEAVING = b"server-leaving"  # 1 while the instance is shutting down
EPOCH = b"store-era"  # counts restores of the store from a backup
AUTHORIZATION = b"authorization"
KEY_SCHEME = "token "

# Paths.
READINESS_PATH = "/api/readiness"
REPORT_PATH = "/api/report"
ORDER_PATH = "/api/order"
OBJECTS_PATH = "/api/objects"

# Names of contracts.
CONNECTION_CONTRACT = "pool"

# The store's objects and answers.
METADATA = "metadata"
NAME = "name"
REVISION = "revision"
SPECIFICATION = "specification"
ITEMS = "items"
HAS_MORE = "has_more"
AFTER_NAME = "after_revision"  # the name of the last object, not a revision
STORE_REVISION = "timestamp"  # the store's revision, not a time
EVENTS = "events"
OBJECT = "object"
REMOVED = "tombstone"
WATCH = "watch"
WAIT_MS = "wait_ms"
ALLOW_STALE = "serializable"

# Kinds of objects.
CONFIG_KIND = "config"
CONFIG_NAME = "main"
UPSTREAM_KIND = "servers"
INSTANCE_KIND = "instances"

# An upstream's stored object and an engine's report.
SERVICE = "service"
ADDRESS = "address"
ZONE = "zone"
SLOTS = "slots"
STATE = "state"
STATE_READY = "ready"
STATE_DRAINING = "draining"
COLD_MS = "cold_remaining_ms"
# In an upstream's object: its accelerator type.
ACCELERATOR_TYPE = "route_kind"
LAYERS = "layers"  # a range, but in profiles a count
FIRST_LAYER = "from"
END_LAYER = "target_version"  # in a layer range: its exclusive end
MODELS = "models"
BUSY = "busy"
# In a report: orders accepted; in an upstream's object: heartbeats.
ORDERS_TAKEN = "sequence_number"
RUNNING = "running"
WAITING = "waiting"
CACHE_USED = "kv_cache_used"  # tokens times layers
CACHE_TOTAL = "kv_cache_total"  # tokens times layers
SLOWDOWN = "pace"  # in a report: relative step time, above 1 if slow
STALLED = "stalled"
ID = "id"
STARTED_MS = "born"  # milliseconds since the Unix epoch

# Orders.
OPERATION = "operation"
PLACE = "place"
REPATH = "repath"
PATH = "path"
METHOD = "method"
METHOD_QUEUE = "queue"  # first wait for streams that use the layers
METHOD_TRUNCATE = "truncate"  # interrupt these streams
EXPECTED_ORDERS = "expected_revision"
FENCING_TOKEN = "fencing_token"  # noqa: S105

# The fleet config.
VERSION = "version"
ROUTES = "routes"
SERVICES = "services"
LIMITS = "limits"
TEAMS = "tenants"
API_KEYS = "api_keys"
HOST = "host"
PREFIX = "path_prefix"
ROUTE_KIND = "route_kind"  # in a route: whether requests may be repeated
KIND_IDEMPOTENT = "idempotent"
KIND_STREAMING = "streaming"
TIMEOUT_MS = "timeout_ms"
OBJECTIVE_MS = "target_latency_ms"
MAX_PAUSE_MS = "target_gap_ms"
MAX_ATTEMPTS = "max_attempts"
CONFIG_PRIORITY = "priority"
ANONYMOUS = "allow_anonymous"
RESUMABLE = "stream_resumption"
SPLIT = "traffic_split"
WEIGHT = "weight"
HEADER_BYTES = "max_header_bytes"
BODY_BYTES = "max_body_bytes"
HEADER_TIMEOUT_MS = "header_timeout_ms"
IDLE_TIMEOUT_MS = "idle_timeout_ms"
CONNECTION_LIMIT = "connection_limit"

# A service's engine profile.
ENGINE = "engine"
STEP_MS = "step_ms"
MS_PER_SEQUENCE = "per_seq_ms"
CONTEXT_MS_PER_1000_TOKENS = "context_per_k"
PREFILL_TOKENS_PER_SECOND = "read_per_s"
PAIRS_MS = "pairs_per_m"  # not read
CHUNK = "chunk"  # not read
LAYER_MB = "layer_mb"
ACCELERATOR_TYPES = "kinds"
MEMORY_MB = "size_mb"
STEP_FACTOR = "pace"  # in an accelerator type: relative step time
PREFILL_FACTOR = "read_factor"
KV_BYTES_PER_TOKEN = "kv_token_bytes"  # noqa: S105
ACTIVATION_BYTES = "activation_bytes"
ZONE_LINK_MBPS = "pipeline_mbps"
LOAD_SECONDS = "load_time_s"
CONCURRENT_LOADS = "loads_at_once"
MEAN_LENGTHS = "usual"
MEAN_PROMPT_TOKENS = "prompt"
MEAN_ANSWER_TOKENS = "answer"
DELAYS = "delays"  # not read
DELAY_TO = "target_version"  # in a delay: the other zone; not read
DELAY_MS = "delay_ms"  # not read
