"""Documents on the platform's wire, as they are spelled there."""

from typing import Any, NotRequired, TypedDict


class WireTarget(TypedDict):
    """One part of a route that several services share."""

    service: str
    weight: float


class WireRoute(TypedDict):
    """A route; it has either a service or parts."""

    name: str
    host: str
    prefix: str
    kind: str
    timeoutS: float
    targetLatencyS: float
    priority: int
    # Backend servers that one request may be sent to, not tries in time.
    maxAttempts: int
    service: NotRequired[str]
    trafficSplit: NotRequired[list[WireTarget]]


class WireService(TypedDict):
    """A service."""

    name: str
    maxConnections: int


class WireLimits(TypedDict):
    """Bounds on what callers send."""

    maxHeaderBytes: int
    maxBodyBytes: int
    headerTimeoutS: float
    # Time that a connection may be idle between two requests.
    idleTimeoutS: float


class WireConfiguration(TypedDict):
    """A whole configuration."""

    version: int
    routes: list[WireRoute]
    services: list[WireService]
    limits: WireLimits


class WireServer(TypedDict):
    """What a backend server says of itself."""

    service: str
    address: str
    zone: str
    # Requests that it runs at once.
    concurrency: int
    state: str
    sequence: int
    warmupLeftS: NotRequired[float]
    # Start of its process in Unix milliseconds.
    born: NotRequired[int]


class WireRow(TypedDict):
    """A row of the store."""

    key: str
    # Base64 of the content; absent when the row was removed.
    value: NotRequired[str]
    ver: NotRequired[int]
    removed: NotRequired[bool]


class WireRows(TypedDict):
    """Answer to a read or a watch."""

    rows: list[WireRow]
    ver: int
    hasMore: NotRequired[bool]


class WireAddresses(TypedDict):
    """Answer to a caller that asks where to connect."""

    addresses: list[str]
    ttlS: float


class WireRowId(TypedDict):
    """Names a row in a transaction."""

    table: str
    part: str
    key: str


class WirePut(WireRowId):
    """A row to write."""

    value: str


class WireTransaction(TypedDict):
    """A transaction."""

    # Conditions on versions of rows; none are needed so far.
    expectedRevision: list[Any]
    puts: list[WirePut]
    deletes: list[WireRowId]
