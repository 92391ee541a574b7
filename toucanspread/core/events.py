"""Events that several parts of a machine handle.

An event that only one part handles is defined in the module of that part.
"""

from toucanspread.core import data


class Tick(data.Event):
    """Time has passed.

    :param wall_s: seconds since the epoch, for maintenance windows only.
    """

    wall_s: float = 0.0


class MessageReceived(data.Event):
    """A message from another process of the system was received."""

    sender: data.Identity
    message: object


class KvAnswered(data.Event):
    """A call to the key-value service ended.

    :param operation_id: identifies the effect that made the call.
    :param version: version of the key; 0 if it is absent.
    :param fence: fencing number of the lease that was acquired or renewed.
    :param holder: holder of the lease, if known.
    """

    operation_id: data.OperationId
    status: data.KvStatus
    key: str
    value: bytes = b""
    version: int = 0
    fence: data.FencingNumber = data.FencingNumber(0)
    holder: str = ""


class InstanceListRead(data.Event):
    """The platform's list of instances was read; it lags behind the actual state."""

    instances: tuple[data.Identity, ...]
    leaving: tuple[data.InstanceId, ...] = ()


class ShutdownRequested(data.Event):
    """The process was asked to stop; it drains before it ends."""


class MemberChanged(data.Event):
    """Internal: the membership part changed the state of a process."""

    identity: data.Identity
    state: data.MemberState


class ReportReceived(data.Event):
    """Internal: an endpoint process sent a report newer than all earlier ones."""

    report: data.Report


class ReportDropped(data.Event):
    """Internal: a live endpoint process now sends its reports to other entries."""

    instance_id: data.InstanceId


class ConfigApplied(data.Event):
    """Internal: this process applied a higher revision of the configuration."""

    revision: data.Revision
    services: tuple[data.ServiceName, ...]


class DrainStarted(data.Event):
    """Internal: this process accepts no new work from now on."""

    reason: data.Reason


class VersionRequested(data.Event):
    """Internal: an order requests the weights of a version on this instance."""

    model: data.ModelName
    version: data.VersionName
    manifest_hash: data.ManifestHash
    origin_weight: float = 0.5


class VersionCancelled(data.Event):
    """Internal: a version is no longer needed; its transfer stops."""

    manifest_hash: data.ManifestHash


class VersionStaged(data.Event):
    """Internal: every chunk of a version is verified and staged at the engine.

    :param weights_hash: hash that the engine must report after it has loaded the
        weights.
    """

    manifest_hash: data.ManifestHash
    weights_hash: str


class VersionFailed(data.Event):
    """Internal: the transfer of a version cannot be completed for now.

    :param why: the reason, which the endpoint process includes in its reports.
    """

    manifest_hash: data.ManifestHash
    why: str


class ServingChanged(data.Event):
    """Internal: this endpoint process now serves another version, or none."""

    version: data.VersionName


class EngineOrderAnswered(data.Event):
    """The engine answered an order.

    :param stale_fence: whether the engine refused the order because of its low fencing
        number.
    """

    operation_id: data.OperationId
    accepted: bool
    stale_fence: bool = False
    detail: str = ""


class EngineStatusReported(data.Event):
    """The engine's status was read.

    :param status: None if the engine did not answer.
    """

    status: data.EngineStatus | None
