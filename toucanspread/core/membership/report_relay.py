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
STALE_S = 300.0
CHECK_INTERVAL_S = 30.0
SENDS = 2  # of each change; datagrams may be lost
COLLECTOR_BYTES_S = 24 * 1024  # what all entries together send to one collector
MAX_CREDIT_BYTES = 1_800
PROGRESS_STEPS = 10
MAX_BYTES = 900  # of a datagram
ROW_BYTES = 36
GROUP_BYTES = 60
END_BYTES = 14
MAX_FAILURE_CHARACTERS = 200

Report = data.Report


class Row(data.Record, frozen=True, array_like=True, tag=False):
    """What differs between endpoint processes that serve the same."""

    instance_id: data.InstanceId
    incarnation: data.Incarnation
    sequence: int
    state: data.MemberState
    revision: data.Revision
    fence: data.FencingNumber
    staged_chunks: int


class Group(data.Record, frozen=True, array_like=True, tag=False):
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
    rows: tuple[Row, ...] = ()


class End(data.Record, frozen=True, array_like=True, tag=False):
    """The death of an endpoint process."""

    instance_id: data.InstanceId
    incarnation: data.Incarnation
    refutation: int


class Relay(data.Message):
    """Passes reports on to a collector.

    :param updates: endpoint processes that are new.
    """

    groups: tuple[Group, ...] = ()
    updates: tuple[messages.Update, ...] = ()
    ends: tuple[End, ...] = ()


class Table:
    """What has to be passed on, and when next."""

    def __init__(self):
        self.told: dict[data.InstanceId, Report] = {}
        self.pending: dict[data.InstanceId, int] = {}
        self.updates: dict[data.InstanceId, tuple[messages.Update, int]] = {}
        self.ends: dict[data.InstanceId, End] = {}
        self.credit_bytes = 0.0
        self.greeted: set[tuple[data.InstanceId, data.Incarnation]] = set()
        self.refreshes: list[data.InstanceId] = []
        self.next_run_s = 0.0
        self.refresh_credit = 0.0
        self.relayed_s: dict[data.InstanceId, float] = {}
        self.next_check_s = 0.0


def note(node, member: member_states.Member) -> None:
    """Pass a whole report on if it is for this entry to do and has news."""
    table = node.membership.relays
    report = member.whole
    instance_id = member.identity.instance_id
    if report.relay != node.identity.instance_id:
        table.told.pop(instance_id, None)
        return
    news = _news(report)
    before = table.told.get(instance_id)
    if news == before:
        return
    table.told[instance_id] = news
    table.pending[instance_id] = SENDS
    if before is None or before.identity != report.identity:
        table.updates[instance_id] = (member_states.update_of(member), SENDS)


def note_end(node, member: member_states.Member) -> None:
    """Pass on that an endpoint process which reported here is dead.

    Each of the entries to which it reported does, so once is enough.
    """
    table = node.membership.relays
    instance_id = member.identity.instance_id
    table.told.pop(instance_id, None)
    table.pending.pop(instance_id, None)
    table.updates.pop(instance_id, None)
    incarnation = member.identity.incarnation
    table.ends[instance_id] = End(instance_id, incarnation, member.refutation)


def collectors(node) -> list[data.InstanceId]:
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


def run(node) -> member_states.Items:
    """Pass on what is due; with few entries, all get the reports anyway."""
    state = node.membership
    table = state.relays
    if node.identity.role is data.Role.ENDPOINT or state.clock_s < table.next_run_s:
        return []
    table.next_run_s = state.clock_s + RUN_INTERVAL_S
    _drop_stale(node)
    if len(state.entry_ids) + 1 <= reporting.REPORT_TO_ALL_MAX_COUNT:
        table.pending.clear()
        table.updates.clear()
        table.ends.clear()
        return []
    _refresh(table)
    earned_bytes = COLLECTOR_BYTES_S * RUN_INTERVAL_S / len(state.entry_ids)
    table.credit_bytes = min(table.credit_bytes + earned_bytes, MAX_CREDIT_BYTES)
    targets = [name for name in collectors(node) if name in state.members]
    _greet(node, targets)
    if not table.pending and not table.updates and not table.ends:
        return []
    found: member_states.Items = []
    while table.credit_bytes > 0:
        relay, size_bytes = _next_message(node)
        if not size_bytes:
            break
        table.credit_bytes -= size_bytes
        for name in targets:
            address = state.members[name].identity.address
            found.append(effects.Send(address, relay))
    return found


def _greet(node, targets: list[data.InstanceId]) -> None:
    """Pass everything on again when a collector is new or was restarted."""
    table = node.membership.relays
    met = set()
    for name in targets:
        incarnation = node.membership.members[name].identity.incarnation
        if incarnation:
            met.add((name, incarnation))
    if met - table.greeted:
        for instance_id in table.told:
            table.pending.setdefault(instance_id, SENDS)
    table.greeted = met


def on_relay(node, sender: data.Identity, relay: Relay) -> member_states.Items:
    """Keep what another entry passes on."""
    if node.identity.role is data.Role.ENDPOINT:
        return []
    found: member_states.Items = []
    for update in relay.updates:
        found += member_states.take(node, update)
    for end in relay.ends:
        found += _take_end(node, end)
    for group in relay.groups:
        for row in group.rows:
            found += _learn_incarnation(node, row)
            _keep(node, group, row)
    return found


def _take_end(node, end: End) -> member_states.Items:
    member = node.membership.members.get(end.instance_id)
    if member is None or member.identity.incarnation != end.incarnation:
        return []
    update = messages.make_update(
        member.identity, data.MemberState.DEAD, end.refutation
    )
    return member_states.take(node, update)


def _learn_incarnation(node, row: Row) -> member_states.Items:
    """Take a newer incarnation of a known instance from its row."""
    member = node.membership.members.get(row.instance_id)
    if member is None or member.identity.incarnation >= row.incarnation:
        return []
    identity = msgspec.structs.replace(member.identity, incarnation=row.incarnation)
    update = messages.make_update(identity, data.MemberState.LIVE, 0)
    return member_states.take(node, update)


def _keep(node, group: Group, row: Row) -> None:
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
    state.relays.relayed_s[row.instance_id] = state.clock_s


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


def _drop_stale(node) -> None:
    """Drop reports that nobody has passed on for long; probes take over."""
    state = node.membership
    table = state.relays
    if state.clock_s < table.next_check_s:
        return
    table.next_check_s = state.clock_s + CHECK_INTERVAL_S
    for instance_id, relayed_s in list(table.relayed_s.items()):
        member = state.members.get(instance_id)
        if member is not None and not member.direct:
            if state.clock_s - relayed_s < STALE_S:
                continue
            member.report = None
        del table.relayed_s[instance_id]


def _refresh(table: Table) -> None:
    """Let each report have its turn once in the refresh interval."""
    table.refresh_credit += len(table.told) * RUN_INTERVAL_S / REFRESH_INTERVAL_S
    while table.refresh_credit >= 1.0:
        table.refresh_credit -= 1.0
        if not table.refreshes:
            table.refreshes = list(table.told)
        instance_id = table.refreshes.pop()
        if instance_id in table.told:
            table.pending.setdefault(instance_id, 1)


def _next_message(node) -> tuple[Relay, int]:
    """Return a message with what waits, and about its bytes."""
    table = node.membership.relays
    ends, room_bytes = _take_ends(table, MAX_BYTES)
    updates, room_bytes = _take_updates(table, room_bytes)
    groups, room_bytes = _take_rows(node, room_bytes)
    return Relay(groups, updates, ends), MAX_BYTES - room_bytes


def _take_ends(table: Table, room_bytes: int) -> tuple[tuple[End, ...], int]:
    taken = []
    for instance_id, end in list(table.ends.items()):
        size_bytes = END_BYTES + len(instance_id)
        if size_bytes > room_bytes:
            break
        room_bytes -= size_bytes
        taken.append(end)
        del table.ends[instance_id]
    return tuple(taken), room_bytes


def _take_updates(
    table: Table, room_bytes: int
) -> tuple[tuple[messages.Update, ...], int]:
    taken = []
    for instance_id, (update, sends) in list(table.updates.items()):
        if update.size_bytes > room_bytes:
            break
        room_bytes -= update.size_bytes
        taken.append(update)
        del table.updates[instance_id]
        if sends > 1:
            table.updates[instance_id] = (update, sends - 1)
    return tuple(taken), room_bytes


def _take_rows(node, room_bytes: int) -> tuple[tuple[Group, ...], int]:
    table = node.membership.relays
    groups: dict[Group, list[Row]] = {}
    for instance_id, sends in list(table.pending.items()):
        member = node.membership.members.get(instance_id)
        if member is None or not member.direct:
            del table.pending[instance_id]
            continue
        group, row = _split(member.report)
        size_bytes = ROW_BYTES + len(instance_id)
        if group not in groups:
            size_bytes += _group_bytes(group)
        if size_bytes > room_bytes and room_bytes < MAX_BYTES:
            break
        room_bytes -= size_bytes
        groups.setdefault(group, []).append(row)
        del table.pending[instance_id]
        if sends > 1:
            table.pending[instance_id] = sends - 1
    filled = []
    for group, rows in groups.items():
        filled.append(msgspec.structs.replace(group, rows=tuple(rows)))
    return tuple(filled), room_bytes


def _split(report: Report) -> tuple[Group, Row]:
    shared = [getattr(report, name) for name in _SHARED_FIELDS]
    shared[_FAILURE] = report.failure[:MAX_FAILURE_CHARACTERS]
    row = Row(
        report.identity.instance_id,
        report.identity.incarnation,
        report.sequence,
        report.state,
        report.revision,
        report.fence,
        report.staged_chunks,
    )
    return Group(*shared), row


def _group_bytes(group: Group) -> int:
    names = len(group.service) + len(group.model) + len(group.version)
    names += len(group.manifest_hash) + len(group.target_version)
    names += sum(map(len, group.adapters)) + len(group.failure) + len(group.offers)
    return GROUP_BYTES + names


def _news(report: Report) -> Report:
    """Return a report without what collectors need not be told of at once."""
    staged_chunks = report.staged_chunks
    if report.target_chunks:
        step = max(1, report.target_chunks // PROGRESS_STEPS)
        staged_chunks -= staged_chunks % step
    return msgspec.structs.replace(
        report,
        sequence=0,
        load=data.Load(),
        revision=data.Revision(0),
        staged_chunks=staged_chunks,
    )
