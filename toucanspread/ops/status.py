"""Builds the status and configuration records that operators get as JSON."""

import msgspec

from toucanspread.core import data, machine


class InstanceStatus(msgspec.Struct, frozen=True):
    """Status of a process of the system, as this entry knows it.

    :param state: membership state of the process.
    :param target_version: the version being transferred, if any.
    :param reported: whether a report of this incarnation was received.
    """

    instance_id: data.InstanceId
    role: data.Role
    zone: data.ZoneName
    state: data.MemberState
    incarnation: data.Incarnation
    service: data.ServiceName = data.ServiceName("")
    version: data.VersionName = data.VersionName("")
    target_version: data.VersionName = data.VersionName("")
    staged_chunks: int = 0
    target_chunks: int = 0
    running: int = 0
    queued: int = 0
    revision: data.Revision = data.Revision(0)
    failure: str = ""
    reported: bool = False


class ServiceStatus(msgspec.Struct, frozen=True):
    """An intent and the number of replicas that fulfil it.

    :param whole_replicas: number of live endpoints that serve the intent's version.
    """

    service: data.ServiceName
    version: data.VersionName
    replicas: int
    floor: int
    whole_replicas: int


class EntryStatus(msgspec.Struct, frozen=True):
    """The services and instances that an entry knows, at its revision."""

    instance_id: data.InstanceId
    revision: data.Revision
    services: tuple[ServiceStatus, ...]
    instances: tuple[InstanceStatus, ...]


class ConfigStatus(msgspec.Struct, frozen=True):
    """The accepted configuration in force at an entry."""

    revision: data.Revision
    intents: tuple[data.Intent, ...]


def build_config_status(node: machine.Node) -> ConfigStatus:
    """Return the configuration in force at a node, sorted by service."""
    names = sorted(node.config.intents)
    intents = tuple(node.config.intents[name] for name in names)
    return ConfigStatus(node.config.revision, intents)


def build_entry_status(node: machine.Node) -> EntryStatus:
    """Return the status of an entry's node, sorted by instance id and service."""
    members = sorted(
        node.membership.members.values(), key=lambda member: member.identity.instance_id
    )
    services = []
    for name in sorted(node.config.intents):
        services.append(_build_service_status(node.config.intents[name], members))
    instances = tuple(_build_instance_status(member) for member in members)
    return EntryStatus(
        node.identity.instance_id, node.config.revision, tuple(services), instances
    )


def _build_service_status(intent: data.Intent, members: list) -> ServiceStatus:
    whole_replicas = 0
    for member in members:
        report = member.report
        if member.state is not data.MemberState.LIVE or report is None:
            continue
        if report.service != intent.service:
            continue
        if report.state is not data.MemberState.LIVE:
            continue
        if report.version == intent.version:
            whole_replicas += 1
    return ServiceStatus(
        intent.service, intent.version, intent.replicas, intent.floor, whole_replicas
    )


def _build_instance_status(member) -> InstanceStatus:
    identity = member.identity
    report = member.report
    status = InstanceStatus(
        identity.instance_id,
        identity.role,
        identity.zone,
        member.state,
        identity.incarnation,
    )
    if report is None:
        return status
    return msgspec.structs.replace(
        status,
        service=report.service,
        version=report.version,
        target_version=report.target_version,
        staged_chunks=report.staged_chunks,
        target_chunks=report.target_chunks,
        running=report.load.running,
        queued=report.load.queued,
        revision=report.revision,
        failure=report.failure,
        reported=True,
    )
