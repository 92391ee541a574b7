"""Events that more than one part handles.

The events of a single part stand in that part's module.
"""

from toucanspread.core import data


class Tick(data.Event):
    """Time has passed.

    :param wall_s: seconds since the epoch, for landlords' windows only.
    """

    wall_s: float = 0.0


class MessageReceived(data.Event):
    """A message of another process of the system came in."""

    sender: data.Identity
    message: object


class KvAnswered(data.Event):
    """A call on the key-value service ended.

    :param operation_id: names the effect that made the call.
    :param version: the version of the key; 0 when absent.
    :param fence: the fencing number of a lease that was acquired or renewed.
    :param holder: who holds the lease, when known.
    """

    operation_id: data.OperationId
    status: data.KvStatus
    key: str
    value: bytes = b""
    version: int = 0
    fence: data.FencingNumber = data.FencingNumber(0)
    holder: str = ""


class InstanceListRead(data.Event):
    """The platform's lagging list of instances was read."""

    instances: tuple[data.Identity, ...]
    leaving: tuple[data.InstanceId, ...] = ()


class ShutdownRequested(data.Event):
    """The process was told to stop; it drains first."""


class MemberChanged(data.Event):
    """Internal: the membership part changed its belief of a process."""

    identity: data.Identity
    state: data.MemberState


class ReportReceived(data.Event):
    """Internal: a fresh report of an endpoint process, newer than any before."""

    report: data.Report


class ReportLost(data.Event):
    """Internal: an endpoint process lives but now reports to other entries."""

    instance_id: data.InstanceId


class ConfigApplied(data.Event):
    """Internal: a higher revision of the configuration is in force here."""

    revision: data.Revision
    services: tuple[data.ServiceName, ...]


class DrainStarted(data.Event):
    """Internal: this process takes no new work from here on."""

    reason: data.Reason


class VersionWanted(data.Event):
    """Internal: an order asks for a version's weights to be made whole here."""

    model: data.ModelName
    version: data.VersionName
    manifest_hash: data.ManifestHash
    origin_weight: float = 0.5


class VersionCancelled(data.Event):
    """Internal: a version is no longer wanted; its transfer stops."""

    manifest_hash: data.ManifestHash


class VersionStaged(data.Event):
    """Internal: every chunk of a version is verified and staged at the engine.

    :param weights_hash: what the engine must report once it has loaded them.
    """

    manifest_hash: data.ManifestHash
    weights_hash: str


class VersionFailed(data.Event):
    """Internal: a version cannot be made whole for now; ``why`` goes to reports."""

    manifest_hash: data.ManifestHash
    why: str


class ServingChanged(data.Event):
    """Internal: this endpoint process serves another version, or none, from now."""

    version: data.VersionName


class EngineOrderAnswered(data.Event):
    """The engine answered an order.

    :param accepted: false with ``stale_fence`` when the number was too low.
    """

    operation_id: data.OperationId
    accepted: bool
    stale_fence: bool = False
    detail: str = ""


class EngineStatusReported(data.Event):
    """The engine's own status was read; ``status`` is None when it did not answer."""

    status: data.EngineStatus | None
