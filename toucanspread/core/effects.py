"""Effects that more than one part uses.

The effects of a single part stand in that part's module.
"""

from toucanspread.core import data


class Send(data.Effect):
    """Send a one-way message; it may be lost, late or doubled."""

    to: data.Address
    message: object


class KvRead(data.Effect):
    """Read a key."""

    operation_id: data.OperationId
    key: str


class KvWatch(data.Effect):
    """Wait until the key's version is above ``after_version``, or ``wait_s``."""

    operation_id: data.OperationId
    key: str
    after_version: int
    wait_s: float


class KvWrite(data.Effect):
    """Write a key if its version is ``expected_version``; 0 means absent."""

    operation_id: data.OperationId
    key: str
    value: bytes
    expected_version: int


class KvDelete(data.Effect):
    """Delete a key if its version is ``expected_version``."""

    operation_id: data.OperationId
    key: str
    expected_version: int


class LeaseAcquire(data.Effect):
    """Ask for the lease on a key; granted with a fencing number above all before."""

    operation_id: data.OperationId
    key: str
    holder: str
    ttl_s: float


class LeaseRenew(data.Effect):
    """Renew a lease that is held with ``fence``."""

    operation_id: data.OperationId
    key: str
    holder: str
    fence: data.FencingNumber
    ttl_s: float


class LeaseRelease(data.Effect):
    """Give a lease back."""

    operation_id: data.OperationId
    key: str
    holder: str
    fence: data.FencingNumber


class Log(data.Effect):
    """Write one line of key=value pairs."""

    event: str
    fields: dict[str, str | int | float | bool]


class Count(data.Effect):
    """Add to a counter."""

    name: str
    amount: int = 1
    attributes: dict[str, str] = {}


class Observe(data.Effect):
    """Record a value in a histogram, for a team or a class."""

    name: str
    value: float
    attributes: dict[str, str] = {}


class Exit(data.Effect):
    """Nothing is left to do here: the process may end."""


class EngineOrder(data.Effect):
    """Order the engine to load, activate or unload a version.

    The engine finds the manifest and the chunks in its staging, by hash.
    """

    operation_id: data.OperationId
    kind: data.OrderKind
    fence: data.FencingNumber
    model: data.ModelName
    version: data.VersionName
    manifest_hash: data.ManifestHash
    adapters: tuple[data.AdapterName, ...] = ()


class ReadEngineStatus(data.Effect):
    """Ask the engine for its status."""
