"""Headers, paths, tables and values of the platform's protocols."""

REQUEST_ID = "request-id"
# Time left until the caller's deadline, in whole milliseconds.
DEADLINE_MS = "deadline-ms"
# Proves that a backend server produced the answer.
BACKEND_SIGNATURE = "backend-signature"
# Id of the backend server that must run the request; any other answers 421.
TARGET_INSTANCE = "target-instance"
# Set only by a backend server that did not run the request.
NOT_EXECUTED = "not-executed"
RETRY_AFTER = "retry-after"
# Carries a key of a client account, after the scheme.
AUTHORIZATION = "authorization"
KEY_SCHEME = "Token"
KEY_CHALLENGE = "www-authenticate"
# Name of the client account, for backend servers.
ACCOUNT = "tenant-id"
# Rises by one each time the store comes back from an older copy.
STORE_ERA = "store-era"
# Requests a second that a backend server accepts from all VMs together.
SERVER_LIMIT = "server-limit"
# Set to SERVER_LEAVING_SET in all answers of a backend server that is about to end.
SERVER_LEAVING = "server-leaving"
SERVER_LEAVING_SET = "1"

READY_PATH = "/-/ready"
RESOLVE_PATH = "/-/resolve"
SNAPSHOT_PATH = "/snapshot"
TRANSACTION_PATH = "/-/rows-tx"
READ_PATH = "/-/rows-get"
WATCH_PATH = "/-/rows-feed"

CONFIGURATION_TABLE = "op"
CONFIGURATION_KEY = "config"
SERVERS_TABLE = "servers"
VMS_TABLE = "vms"
SERVER_STATE_DRAINING = "draining"
SERVER_STATE_READY = "ready"
ROUTE_KIND_SAFE = "safe"
ROUTE_KINDS = frozenset({ROUTE_KIND_SAFE, "unsafe"})
