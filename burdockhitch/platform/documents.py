"""JSON documents of the platform's protocols, with the platform's field names."""

from typing import Annotated, Any, NotRequired, TypedDict

from msgspec import Meta

# Any writer may put an entry into the store, so what its readers compute with, send on
# or allocate by has a bound. Whole numbers fit into every codec in use.
NUMBER_MAX = 2**53
SLOTS_MAX = 10_000
TEXT_MAX_CHARACTERS = 200
Text = Annotated[str, Meta(min_length=1, max_length=TEXT_MAX_CHARACTERS)]
WholeNumber = Annotated[int, Meta(ge=0, le=NUMBER_MAX)]
# What a header can hold as a value: no control characters, no spaces at the ends.
AccountName = Annotated[
    str,
    Meta(
        max_length=TEXT_MAX_CHARACTERS,
        pattern=r"^[^\s\x00-\x1f\x7f-\x9f\ud800-\udfff]"
        r"([^\x00-\x1f\x7f-\x9f\ud800-\udfff]*"
        r"[^\s\x00-\x1f\x7f-\x9f\ud800-\udfff])?\Z",
    ),
]
# What may follow the scheme in a header.
AccountKey = Annotated[str, Meta(pattern=r"^[^\s\x00-\x1f\x7f-\x9f\ud800-\udfff]+\Z")]
Priority = Annotated[int, Meta(ge=-NUMBER_MAX, le=NUMBER_MAX)]
Limit = Annotated[float, Meta(ge=0, le=NUMBER_MAX)]


class WireTarget(TypedDict):
    """One service of a route with a traffic split, and its weight."""

    service: str
    weight: float


class WireRoute(TypedDict):
    """A route; it has either ``service`` or ``trafficSplit``."""

    name: str
    host: str
    prefix: str
    kind: str
    timeoutS: float
    targetLatencyS: float
    priority: int
    # Number of backend servers that one request may be sent to, not a number of
    # tries over time.
    maxAttempts: int
    service: NotRequired[str]
    trafficSplit: NotRequired[list[WireTarget]]
    # Whether a request needs no key of a client account: only if this is true.
    public: NotRequired[Any]


class WireAccount(TypedDict):
    """A client account.

    Only a usable name is needed. Of the other fields, an odd one counts as absent, so
    that it costs nothing but itself; so does an odd key in the list.
    """

    name: AccountName
    apiKeys: NotRequired[list[Any]]
    priority: NotRequired[Priority]
    # Both 0 for no limit.
    ratePerS: NotRequired[Limit]
    burst: NotRequired[Limit]


class WireService(TypedDict):
    """A service and its connection limit."""

    name: str
    maxConnections: int


class WireLimits(TypedDict):
    """Limits on requests and connections of callers."""

    maxHeaderBytes: int
    maxBodyBytes: int
    headerTimeoutS: float
    # Time for which a connection may be idle between two requests.
    idleTimeoutS: float


class WireConfiguration(TypedDict):
    """A complete configuration."""

    version: int
    routes: list[WireRoute]
    services: list[WireService]
    limits: WireLimits
    # Client accounts, each decoded by itself; absent or null if there are none.
    tenants: NotRequired[list[Any] | None]


class WireServer(TypedDict):
    """Registry entry of a backend server, as reported by that server."""

    service: Text
    address: Text
    zone: Text
    # Number of requests that it runs at once.
    concurrency: Annotated[int, Meta(ge=1, le=SLOTS_MAX)]
    state: Text
    sequence: WholeNumber
    warmupLeftS: NotRequired[float]
    # Start time of its process in milliseconds since 1970.
    born: NotRequired[WholeNumber]


class WireRow(TypedDict):
    """A row of the store."""

    key: str
    # Content in base64; absent if the row was removed.
    value: NotRequired[str]
    ver: NotRequired[int]
    removed: NotRequired[bool]


class WireRows(TypedDict):
    """Answer to a read or a watch."""

    rows: list[WireRow]
    # Version of the store that the rows reflect; a watch may continue after it.
    ver: WholeNumber
    hasMore: NotRequired[bool]


class WireAddresses(TypedDict):
    """Answer to a caller's address request."""

    addresses: list[str]
    ttlS: float


class WireRowId(TypedDict):
    """Identifies a row in a transaction."""

    table: str
    part: str
    key: str


class WirePut(WireRowId):
    """A row to write."""

    value: str


class WireTransaction(TypedDict):
    """Rows to write and to delete in one transaction."""

    # Conditions on row versions; always empty, as no write needs one.
    expectedRevision: list[Any]
    puts: list[WirePut]
    deletes: list[WireRowId]
