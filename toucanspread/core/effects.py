"""Effects that several parts of a machine use.

An effect that only one part uses is defined in the module of that part.
"""

from toucanspread.core import data


class Send(data.Effect):
    """Send a one-way message, which may be lost, delayed or duplicated."""

    to: data.Address
    message: object


class KvRead(data.Effect):
    """Read a key."""

    operation_id: data.OperationId
    key: str


class KvWatch(data.Effect):
    """Wait up to ``wait_s`` for a version of the key above ``after_version``."""

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
    """Acquire the lease on a key; its fencing number is above all earlier ones."""

    operation_id: data.OperationId
    key: str
    holder: str
    ttl_s: float


class LeaseRenew(data.Effect):
    """Renew the lease that is held with fencing number ``fence``."""

    operation_id: data.OperationId
    key: str
    holder: str
    fence: data.FencingNumber
    ttl_s: float


class LeaseRelease(data.Effect):
    """Release a lease."""

    operation_id: data.OperationId
    key: str
    holder: str
    fence: data.FencingNumber


class Log(data.Effect):
    """Write one log line of key=value pairs."""

    event: str
    fields: dict[str, str | int | float | bool]


class Count(data.Effect):
    """Increase a counter."""

    name: str
    amount: int = 1
    attributes: dict[str, str] = {}


class Observe(data.Effect):
    """Record a value in a histogram, by team or class."""

    name: str
    value: float
    attributes: dict[str, str] = {}


class Exit(data.Effect):
    """End the process, which has no work left."""


class EngineOrder(data.Effect):
    """Order the engine to load, activate or unload a version.

    The engine looks up the manifest and the chunks by hash in its staging area.
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
