"""Headers, paths, tables and values of the platform's protocols."""

REQUEST_ID = "request-id"
# Time left until the caller's deadline, in whole milliseconds.
DEADLINE = "deadline-ms"
# Proves that a backend server produced the response.
SIGNATURE = "backend-signature"
# Id of the backend server that must run the request; any other answers 421.
TARGET = "target-instance"
# Set only by a backend server that did not run the request.
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
