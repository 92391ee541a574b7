"""Relay of endpoint reports to the collectors, the entries that need all of them.

With many entries, each entry receives the reports of a few endpoint processes only,
but the controller needs the reports of all. Each endpoint process names one entry
that relays its reports, without the load: when what it serves has changed, and
periodically. The collectors are the entries that may hold the controller's lease.
"""

import msgspec

from toucanspread.core import data, effects, rendezvous
from toucanspread.core.membership import member_states, reporting
from toucanspread.core.membership import membership_messages as messages

COLLECTOR_KEY = "lease/controller"  # ranks collectors like the lease's candidates
COLLECTORS_PER_ZONE = 2  # a lease holder that a new entry outranks still gets reports
RUN_INTERVAL_S = 1.0
REFRESH_INTERVAL_S = 120.0
STALE_REPORT_S = 300.0
STALE_CHECK_INTERVAL_S = 30.0
SENDS_PER_CHANGE = 2  # datagrams may be lost
COLLECTOR_BYTES_PER_S = 24 * 1024  # what all entries together send to one collector
MAX_CREDIT_BYTES = 1_800
PROGRESS_STEP_COUNT = 10
MAX_MESSAGE_BYTES = 900  # of a datagram
ROW_FIXED_BYTES = 36
GROUP_FIXED_BYTES = 60
DEATH_FIXED_BYTES = 14
MAX_FAILURE_LENGTH = 200

Report = data.Report


class EndpointRow(data.Record, frozen=True, array_like=True, tag=False):
    """The part of a report that differs between endpoint processes of a group."""

    instance_id: data.InstanceId
    incarnation: data.Incarnation
    sequence: int
    state: data.MemberState
    revision: data.Revision
    fence: data.FencingNumber
    staged_chunks: int


class ServingGroup(data.Record, frozen=True, array_like=True, tag=False):
    """Endpoint processes that serve the same, and the common part of their reports."""

    service: data.ServiceName
    kind: data.ServiceKind
    model: data.ModelName
    version: data.VersionName
    manifest_hash: data.ManifestHash
    adapters: tuple[data.AdapterName, ...]
    target_version: data.VersionName
    target_chunks: int
    failure: str
    offers: data.ServiceName
    rows: tuple[EndpointRow, ...] = ()


class EndpointDeath(data.Record, frozen=True, array_like=True, tag=False):
    """The death of an endpoint process."""

    instance_id: data.InstanceId
    incarnation: data.Incarnation
    refutation: int


class RelayedReports(data.Message, tag="Relay"):
    """Relays reports to a collector.

    :param updates: endpoint processes that are new.
    :param ends: endpoint processes that are dead.
    """

    groups: tuple[ServingGroup, ...] = ()
    updates: tuple[messages.Update, ...] = ()
    ends: tuple[EndpointDeath, ...] = ()


class RelayState:
    """What has to be relayed, and when next.

    :ivar relayed_reports: by endpoint process, the content relayed last.
    :ivar pending_sends: by endpoint process, how many more times to send its report.
    :ivar credit_bytes: how much may be sent to each collector now.
    :ivar known_collectors: the collectors at the last run, with their incarnations.
    :ivar last_relayed_s: when a relayed report of an endpoint process last arrived.
    """

    def __init__(self):
        self.relayed_reports: dict[data.InstanceId, Report] = {}
        self.pending_sends: dict[data.InstanceId, int] = {}
        self.pending_updates: dict[data.InstanceId, tuple[messages.Update, int]] = {}
        self.pending_deaths: dict[data.InstanceId, EndpointDeath] = {}
        self.credit_bytes = 0.0
        self.known_collectors: set[tuple[data.InstanceId, data.Incarnation]] = set()
        self.refresh_rotation: list[data.InstanceId] = []
        self.next_run_s = 0.0
        self.refresh_credit = 0.0
        self.last_relayed_s: dict[data.InstanceId, float] = {}
        self.next_stale_check_s = 0.0


def record_report(node, member: member_states.Member) -> None:
    """Queue a full report if this entry relays it and its content has changed."""
    relay_state = node.membership.report_relay
    report = member.full_report
    instance_id = member.identity.instance_id
    if report.relay != node.identity.instance_id:
        relay_state.relayed_reports.pop(instance_id, None)
        return
    content = _mask_deferrable_fields(report)
    previous = relay_state.relayed_reports.get(instance_id)
    if content == previous:
        return
    relay_state.relayed_reports[instance_id] = content
    relay_state.pending_sends[instance_id] = SENDS_PER_CHANGE
    if previous is None or previous.identity != report.identity:
        relay_state.pending_updates[instance_id] = (
            member_states.make_member_update(member),
            SENDS_PER_CHANGE,
        )


def record_death(node, member: member_states.Member) -> None:
    """Queue the death of an endpoint process that reported here.

    Each of the entries to which it reported relays it, so one send is enough.
    """
    relay_state = node.membership.report_relay
    instance_id = member.identity.instance_id
    relay_state.relayed_reports.pop(instance_id, None)
    relay_state.pending_sends.pop(instance_id, None)
    relay_state.pending_updates.pop(instance_id, None)
    incarnation = member.identity.incarnation
    relay_state.pending_deaths[instance_id] = EndpointDeath(
        instance_id, incarnation, member.refutation
    )


def choose_collectors(node) -> list[data.InstanceId]:
    """Return the entries that get all reports, this one included if it is one."""
    zones: dict[data.ZoneName, list[data.InstanceId]] = {}
    zones.setdefault(node.identity.zone, []).append(node.identity.instance_id)
    for instance_id in node.membership.entry_ids:
        zone = node.membership.members[instance_id].identity.zone
        zones.setdefault(zone, []).append(instance_id)
    collector_ids = []
    for zone in sorted(zones):
        collector_ids += rendezvous.rank(COLLECTOR_KEY, zones[zone])[
            :COLLECTORS_PER_ZONE
        ]
    return collector_ids


def send_due_reports(node) -> member_states.Outputs:
    """Send what is due; with few entries, all get the reports directly."""
    state = node.membership
    relay_state = state.report_relay
    if (
        node.identity.role is data.Role.ENDPOINT
        or state.active_clock_s < relay_state.next_run_s
    ):
        return []
    relay_state.next_run_s = state.active_clock_s + RUN_INTERVAL_S
    _drop_stale_reports(node)
    if len(state.entry_ids) + 1 <= reporting.REPORT_TO_ALL_MAX_COUNT:
        relay_state.pending_sends.clear()
        relay_state.pending_updates.clear()
        relay_state.pending_deaths.clear()
        return []
    _schedule_refreshes(relay_state)
    earned_bytes = COLLECTOR_BYTES_PER_S * RUN_INTERVAL_S / len(state.entry_ids)
    relay_state.credit_bytes = min(
        relay_state.credit_bytes + earned_bytes, MAX_CREDIT_BYTES
    )
    collector_ids = [
        instance_id
        for instance_id in choose_collectors(node)
        if instance_id in state.members
    ]
    _resend_to_new_collectors(node, collector_ids)
    if (
        not relay_state.pending_sends
        and not relay_state.pending_updates
        and not relay_state.pending_deaths
    ):
        return []
    outputs: member_states.Outputs = []
    while relay_state.credit_bytes > 0:
        message, size_bytes = _pop_message(node)
        if not size_bytes:
            break
        relay_state.credit_bytes -= size_bytes
        for instance_id in collector_ids:
            address = state.members[instance_id].identity.address
            outputs.append(effects.Send(address, message))
    return outputs


def _resend_to_new_collectors(node, collector_ids: list[data.InstanceId]) -> None:
    """Queue all reports again when a collector is new or was restarted."""
    relay_state = node.membership.report_relay
    collectors = set()
    for collector_id in collector_ids:
        incarnation = node.membership.members[collector_id].identity.incarnation
        if incarnation:
            collectors.add((collector_id, incarnation))
    if collectors - relay_state.known_collectors:
        for instance_id in relay_state.relayed_reports:
            relay_state.pending_sends.setdefault(instance_id, SENDS_PER_CHANGE)
    relay_state.known_collectors = collectors


def on_relayed_reports(
    node, sender: data.Identity, message: RelayedReports
) -> member_states.Outputs:
    """Apply what another entry relays."""
    if node.identity.role is data.Role.ENDPOINT:
        return []
    outputs: member_states.Outputs = []
    for update in message.updates:
        outputs += member_states.apply_update(node, update)
    for death in message.ends:
        outputs += _apply_death(node, death)
    for group in message.groups:
        for row in group.rows:
            outputs += _apply_row_incarnation(node, row)
            _store_relayed_report(node, group, row)
    return outputs


def _apply_death(node, death: EndpointDeath) -> member_states.Outputs:
    member = node.membership.members.get(death.instance_id)
    if member is None or member.identity.incarnation != death.incarnation:
        return []
    update = messages.make_update(
        member.identity, data.MemberState.DEAD, death.refutation
    )
    return member_states.apply_update(node, update)


def _apply_row_incarnation(node, row: EndpointRow) -> member_states.Outputs:
    """Apply a newer incarnation of a known instance from its row."""
    member = node.membership.members.get(row.instance_id)
    if member is None or member.identity.incarnation >= row.incarnation:
        return []
    identity = msgspec.structs.replace(member.identity, incarnation=row.incarnation)
    update = messages.make_update(identity, data.MemberState.LIVE, 0)
    return member_states.apply_update(node, update)


def _store_relayed_report(node, group: ServingGroup, row: EndpointRow) -> None:
    state = node.membership
    member = state.members.get(row.instance_id)
    if member is None or member.identity.incarnation != row.incarnation:
        return
    if member.direct or not member.is_alive:
        return
    if member.report is not None and row.sequence < member.report.sequence:
        return
    shared = {name: getattr(group, name) for name in _SHARED_FIELDS}
    member.report = Report(
        member.identity,
        row.sequence,
        row.state,
        revision=row.revision,
        fence=row.fence,
        staged_chunks=row.staged_chunks,
        **shared,
    )
    state.report_relay.last_relayed_s[row.instance_id] = state.active_clock_s


_SHARED_FIELDS = (
    "service",
    "kind",
    "model",
    "version",
    "manifest_hash",
    "adapters",
    "target_version",
    "target_chunks",
    "failure",
    "offers",
)
_FAILURE_INDEX = _SHARED_FIELDS.index("failure")


def _drop_stale_reports(node) -> None:
    """Drop reports that no entry has relayed for long; probes take over."""
    state = node.membership
    relay_state = state.report_relay
    if state.active_clock_s < relay_state.next_stale_check_s:
        return
    relay_state.next_stale_check_s = state.active_clock_s + STALE_CHECK_INTERVAL_S
    for instance_id, relayed_s in list(relay_state.last_relayed_s.items()):
        member = state.members.get(instance_id)
        if member is not None and not member.direct:
            if state.active_clock_s - relayed_s < STALE_REPORT_S:
                continue
            member.report = None
        del relay_state.last_relayed_s[instance_id]


def _schedule_refreshes(relay_state: RelayState) -> None:
    """Queue each report once per refresh interval, spread evenly over it."""
    relay_state.refresh_credit += (
        len(relay_state.relayed_reports) * RUN_INTERVAL_S / REFRESH_INTERVAL_S
    )
    while relay_state.refresh_credit >= 1.0:
        relay_state.refresh_credit -= 1.0
        if not relay_state.refresh_rotation:
            relay_state.refresh_rotation = list(relay_state.relayed_reports)
        instance_id = relay_state.refresh_rotation.pop()
        if instance_id in relay_state.relayed_reports:
            relay_state.pending_sends.setdefault(instance_id, 1)


def _pop_message(node) -> tuple[RelayedReports, int]:
    """Return a message of queued items, and its approximate size in bytes."""
    relay_state = node.membership.report_relay
    deaths, room_bytes = _pop_deaths(relay_state, MAX_MESSAGE_BYTES)
    updates, room_bytes = _pop_updates(relay_state, room_bytes)
    groups, room_bytes = _pop_rows(node, room_bytes)
    return RelayedReports(groups, updates, deaths), MAX_MESSAGE_BYTES - room_bytes


def _pop_deaths(
    relay_state: RelayState, room_bytes: int
) -> tuple[tuple[EndpointDeath, ...], int]:
    deaths = []
    for instance_id, death in list(relay_state.pending_deaths.items()):
        size_bytes = DEATH_FIXED_BYTES + len(instance_id)
        if size_bytes > room_bytes:
            break
        room_bytes -= size_bytes
        deaths.append(death)
        del relay_state.pending_deaths[instance_id]
    return tuple(deaths), room_bytes


def _pop_updates(
    relay_state: RelayState, room_bytes: int
) -> tuple[tuple[messages.Update, ...], int]:
    updates = []
    for instance_id, (update, sends) in list(relay_state.pending_updates.items()):
        if update.size_bytes > room_bytes:
            break
        room_bytes -= update.size_bytes
        updates.append(update)
        del relay_state.pending_updates[instance_id]
        if sends > 1:
            relay_state.pending_updates[instance_id] = (update, sends - 1)
    return tuple(updates), room_bytes


def _pop_rows(node, room_bytes: int) -> tuple[tuple[ServingGroup, ...], int]:
    relay_state = node.membership.report_relay
    groups: dict[ServingGroup, list[EndpointRow]] = {}
    for instance_id, sends in list(relay_state.pending_sends.items()):
        member = node.membership.members.get(instance_id)
        if member is None or not member.direct:
            del relay_state.pending_sends[instance_id]
            continue
        group, row = _split_report(member.report)
        size_bytes = ROW_FIXED_BYTES + len(instance_id)
        if group not in groups:
            size_bytes += _estimate_group_bytes(group)
        if size_bytes > room_bytes and room_bytes < MAX_MESSAGE_BYTES:
            break
        room_bytes -= size_bytes
        groups.setdefault(group, []).append(row)
        del relay_state.pending_sends[instance_id]
        if sends > 1:
            relay_state.pending_sends[instance_id] = sends - 1
    filled_groups = []
    for group, rows in groups.items():
        filled_groups.append(msgspec.structs.replace(group, rows=tuple(rows)))
    return tuple(filled_groups), room_bytes


def _split_report(report: Report) -> tuple[ServingGroup, EndpointRow]:
    shared = [getattr(report, name) for name in _SHARED_FIELDS]
    shared[_FAILURE_INDEX] = report.failure[:MAX_FAILURE_LENGTH]
    row = EndpointRow(
        report.identity.instance_id,
        report.identity.incarnation,
        report.sequence,
        report.state,
        report.revision,
        report.fence,
        report.staged_chunks,
    )
    return ServingGroup(*shared), row


def _estimate_group_bytes(group: ServingGroup) -> int:
    name_bytes = len(group.service) + len(group.model) + len(group.version)
    name_bytes += len(group.manifest_hash) + len(group.target_version)
    name_bytes += sum(map(len, group.adapters)) + len(group.failure) + len(group.offers)
    return GROUP_FIXED_BYTES + name_bytes


def _mask_deferrable_fields(report: Report) -> Report:
    """Return a report without changes that collectors don't need at once."""
    staged_chunks = report.staged_chunks
    if report.target_chunks:
        step = max(1, report.target_chunks // PROGRESS_STEP_COUNT)
        staged_chunks -= staged_chunks % step
    return msgspec.structs.replace(
        report,
        sequence=0,
        load=data.Load(),
        revision=data.Revision(0),
        staged_chunks=staged_chunks,
    )
