"""Reports passed on to a few collectors, for who has to see all endpoint processes.

With many entries, each hears of a few endpoint processes only, but the controller
works from the reports of all. Each endpoint process names one entry that passes its
reports on, when what it serves changes and now and then, without the load. The
collectors are the entries that may hold the controller's lease.
"""

import msgspec

from toucanspread.core import data, effects, rendezvous
from toucanspread.core.membership import member_states, reporting
from toucanspread.core.membership import membership_messages as messages

COLLECTOR_KEY = "lease/controller"  # ranks as the lease's candidates do
COLLECTORS_PER_ZONE = 2  # a holder that a newcomer outranks is still told
RUN_INTERVAL_S = 1.0
REFRESH_INTERVAL_S = 120.0
STALE_REPORT_S = 300.0
STALE_CHECK_INTERVAL_S = 30.0
SENDS_PER_CHANGE = 2  # of each change; datagrams may be lost
COLLECTOR_BYTES_S = 24 * 1024  # what all entries together send to one collector
MAX_CREDIT_BYTES = 1_800
PROGRESS_STEP_COUNT = 10
MAX_MESSAGE_BYTES = 900  # of a datagram
ROW_FIXED_BYTES = 36
GROUP_FIXED_BYTES = 60
DEATH_FIXED_BYTES = 14
MAX_FAILURE_LENGTH = 200

Report = data.Report


class EndpointRow(data.Record, frozen=True, array_like=True, tag=False):
    """What differs between endpoint processes that serve the same."""

    instance_id: data.InstanceId
    incarnation: data.Incarnation
    sequence: int
    state: data.MemberState
    revision: data.Revision
    fence: data.FencingNumber
    staged_chunks: int


class ServingGroup(data.Record, frozen=True, array_like=True, tag=False):
    """Endpoint processes that serve the same."""

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
    """Passes reports on to a collector.

    :param updates: endpoint processes that are new.
    """

    groups: tuple[ServingGroup, ...] = ()
    updates: tuple[messages.Update, ...] = ()
    ends: tuple[EndpointDeath, ...] = ()


class RelayState:
    """What has to be passed on, and when next."""

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
    """Pass a whole report on if it is for this entry to do and has news."""
    table = node.membership.report_relay
    report = member.full_report
    instance_id = member.identity.instance_id
    if report.relay != node.identity.instance_id:
        table.relayed_reports.pop(instance_id, None)
        return
    news = _mask_deferrable_fields(report)
    before = table.relayed_reports.get(instance_id)
    if news == before:
        return
    table.relayed_reports[instance_id] = news
    table.pending_sends[instance_id] = SENDS_PER_CHANGE
    if before is None or before.identity != report.identity:
        table.pending_updates[instance_id] = (
            member_states.make_member_update(member),
            SENDS_PER_CHANGE,
        )


def record_death(node, member: member_states.Member) -> None:
    """Pass on that an endpoint process which reported here is dead.

    Each of the entries to which it reported does, so once is enough.
    """
    table = node.membership.report_relay
    instance_id = member.identity.instance_id
    table.relayed_reports.pop(instance_id, None)
    table.pending_sends.pop(instance_id, None)
    table.pending_updates.pop(instance_id, None)
    incarnation = member.identity.incarnation
    table.pending_deaths[instance_id] = EndpointDeath(
        instance_id, incarnation, member.refutation
    )


def choose_collectors(node) -> list[data.InstanceId]:
    """Return the entries that see all reports, this one included if it is one."""
    zones: dict[data.ZoneName, list[data.InstanceId]] = {}
    zones.setdefault(node.identity.zone, []).append(node.identity.instance_id)
    for instance_id in node.membership.entry_ids:
        zone = node.membership.members[instance_id].identity.zone
        zones.setdefault(zone, []).append(instance_id)
    found = []
    for zone in sorted(zones):
        found += rendezvous.rank(COLLECTOR_KEY, zones[zone])[:COLLECTORS_PER_ZONE]
    return found


def send_due_reports(node) -> member_states.Outputs:
    """Pass on what is due; with few entries, all get the reports anyway."""
    state = node.membership
    table = state.report_relay
    if (
        node.identity.role is data.Role.ENDPOINT
        or state.active_clock_s < table.next_run_s
    ):
        return []
    table.next_run_s = state.active_clock_s + RUN_INTERVAL_S
    _drop_stale_reports(node)
    if len(state.entry_ids) + 1 <= reporting.REPORT_TO_ALL_MAX_COUNT:
        table.pending_sends.clear()
        table.pending_updates.clear()
        table.pending_deaths.clear()
        return []
    _schedule_refreshes(table)
    earned_bytes = COLLECTOR_BYTES_S * RUN_INTERVAL_S / len(state.entry_ids)
    table.credit_bytes = min(table.credit_bytes + earned_bytes, MAX_CREDIT_BYTES)
    targets = [name for name in choose_collectors(node) if name in state.members]
    _resend_to_new_collectors(node, targets)
    if (
        not table.pending_sends
        and not table.pending_updates
        and not table.pending_deaths
    ):
        return []
    found: member_states.Outputs = []
    while table.credit_bytes > 0:
        relay, size_bytes = _pop_message(node)
        if not size_bytes:
            break
        table.credit_bytes -= size_bytes
        for name in targets:
            address = state.members[name].identity.address
            found.append(effects.Send(address, relay))
    return found


def _resend_to_new_collectors(node, targets: list[data.InstanceId]) -> None:
    """Pass everything on again when a collector is new or was restarted."""
    table = node.membership.report_relay
    met = set()
    for name in targets:
        incarnation = node.membership.members[name].identity.incarnation
        if incarnation:
            met.add((name, incarnation))
    if met - table.known_collectors:
        for instance_id in table.relayed_reports:
            table.pending_sends.setdefault(instance_id, SENDS_PER_CHANGE)
    table.known_collectors = met


def on_relayed_reports(
    node, sender: data.Identity, relay: RelayedReports
) -> member_states.Outputs:
    """Keep what another entry passes on."""
    if node.identity.role is data.Role.ENDPOINT:
        return []
    found: member_states.Outputs = []
    for update in relay.updates:
        found += member_states.apply_update(node, update)
    for end in relay.ends:
        found += _apply_death(node, end)
    for group in relay.groups:
        for row in group.rows:
            found += _apply_row_incarnation(node, row)
            _store_relayed_report(node, group, row)
    return found


def _apply_death(node, end: EndpointDeath) -> member_states.Outputs:
    member = node.membership.members.get(end.instance_id)
    if member is None or member.identity.incarnation != end.incarnation:
        return []
    update = messages.make_update(
        member.identity, data.MemberState.DEAD, end.refutation
    )
    return member_states.apply_update(node, update)


def _apply_row_incarnation(node, row: EndpointRow) -> member_states.Outputs:
    """Take a newer incarnation of a known instance from its row."""
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
    if member.direct or not member.alive:
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
_FAILURE = _SHARED_FIELDS.index("failure")


def _drop_stale_reports(node) -> None:
    """Drop reports that nobody has passed on for long; probes take over."""
    state = node.membership
    table = state.report_relay
    if state.active_clock_s < table.next_stale_check_s:
        return
    table.next_stale_check_s = state.active_clock_s + STALE_CHECK_INTERVAL_S
    for instance_id, relayed_s in list(table.last_relayed_s.items()):
        member = state.members.get(instance_id)
        if member is not None and not member.direct:
            if state.active_clock_s - relayed_s < STALE_REPORT_S:
                continue
            member.report = None
        del table.last_relayed_s[instance_id]


def _schedule_refreshes(table: RelayState) -> None:
    """Let each report have its turn once in the refresh interval."""
    table.refresh_credit += (
        len(table.relayed_reports) * RUN_INTERVAL_S / REFRESH_INTERVAL_S
    )
    while table.refresh_credit >= 1.0:
        table.refresh_credit -= 1.0
        if not table.refresh_rotation:
            table.refresh_rotation = list(table.relayed_reports)
        instance_id = table.refresh_rotation.pop()
        if instance_id in table.relayed_reports:
            table.pending_sends.setdefault(instance_id, 1)


def _pop_message(node) -> tuple[RelayedReports, int]:
    """Return a message with what waits, and about its bytes."""
    table = node.membership.report_relay
    ends, room_bytes = _pop_deaths(table, MAX_MESSAGE_BYTES)
    updates, room_bytes = _pop_updates(table, room_bytes)
    groups, room_bytes = _pop_rows(node, room_bytes)
    return RelayedReports(groups, updates, ends), MAX_MESSAGE_BYTES - room_bytes


def _pop_deaths(
    table: RelayState, room_bytes: int
) -> tuple[tuple[EndpointDeath, ...], int]:
    taken = []
    for instance_id, end in list(table.pending_deaths.items()):
        size_bytes = DEATH_FIXED_BYTES + len(instance_id)
        if size_bytes > room_bytes:
            break
        room_bytes -= size_bytes
        taken.append(end)
        del table.pending_deaths[instance_id]
    return tuple(taken), room_bytes


def _pop_updates(
    table: RelayState, room_bytes: int
) -> tuple[tuple[messages.Update, ...], int]:
    taken = []
    for instance_id, (update, sends) in list(table.pending_updates.items()):
        if update.size_bytes > room_bytes:
            break
        room_bytes -= update.size_bytes
        taken.append(update)
        del table.pending_updates[instance_id]
        if sends > 1:
            table.pending_updates[instance_id] = (update, sends - 1)
    return tuple(taken), room_bytes


def _pop_rows(node, room_bytes: int) -> tuple[tuple[ServingGroup, ...], int]:
    table = node.membership.report_relay
    groups: dict[ServingGroup, list[EndpointRow]] = {}
    for instance_id, sends in list(table.pending_sends.items()):
        member = node.membership.members.get(instance_id)
        if member is None or not member.direct:
            del table.pending_sends[instance_id]
            continue
        group, row = _split_report(member.report)
        size_bytes = ROW_FIXED_BYTES + len(instance_id)
        if group not in groups:
            size_bytes += _estimate_group_bytes(group)
        if size_bytes > room_bytes and room_bytes < MAX_MESSAGE_BYTES:
            break
        room_bytes -= size_bytes
        groups.setdefault(group, []).append(row)
        del table.pending_sends[instance_id]
        if sends > 1:
            table.pending_sends[instance_id] = sends - 1
    filled = []
    for group, rows in groups.items():
        filled.append(msgspec.structs.replace(group, rows=tuple(rows)))
    return tuple(filled), room_bytes


def _split_report(report: Report) -> tuple[ServingGroup, EndpointRow]:
    shared = [getattr(report, name) for name in _SHARED_FIELDS]
    shared[_FAILURE] = report.failure[:MAX_FAILURE_LENGTH]
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
    names = len(group.service) + len(group.model) + len(group.version)
    names += len(group.manifest_hash) + len(group.target_version)
    names += sum(map(len, group.adapters)) + len(group.failure) + len(group.offers)
    return GROUP_FIXED_BYTES + names


def _mask_deferrable_fields(report: Report) -> Report:
    """Return a report without what collectors need not be told of at once."""
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
