"""Names of headers, paths and tables on the platform's wire."""

REQUEST_ID = "request-id"
# What is left of the caller's time, in whole milliseconds.
DEADLINE = "deadline-ms"
# Proof that a backend server produced the answer.
SIGNATURE = "backend-signature"
# The backend server that must take the request; any other answers 421.
TARGET = "target-instance"
# Stated only by a backend server that did not run the request.
NOT_RUN = "not-executed"
RETRY_AFTER = "retry-after"

READY_PATH = "/-/ready"
RESOLVE_PATH = "/-/resolve"
SNAPSHOT_PATH = "/snapshot"
TRANSACTION_PATH = "/-/rows-tx"
READ_PATH = "/-/rows-get"
FEED_PATH = "/-/rows-feed"

CONFIGURATION_TABLE = "op"
CONFIGURATION_KEY = "config"
SERVERS_TABLE = "servers"
VMS_TABLE = "vms"
STATE_DRAINING = "draining"
STATE_READY = "ready"
KIND_SAFE = "safe"
KINDS = frozenset({KIND_SAFE, "unsafe"})
