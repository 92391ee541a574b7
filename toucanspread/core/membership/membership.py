"""Membership: who else is there, and in which state.

Entries know all entries and probe them; endpoint processes are known by the reports
that they send to a few entries each. The rules of belief stand in
:mod:`toucanspread.core.beliefs`, the probes in :mod:`toucanspread.core.probing`.
"""

from toucanspread.core import data, effects, events
from toucanspread.core.membership import (
    anti_entropy,
    capacity,
    gossip,
    member_states,
    probing,
    report_relay,
    reporting,
)
from toucanspread.core.membership import membership_messages as messages

Member = member_states.Member

MAX_STEP_S = 0.5  # a longer gap between ticks means that this process was not running
EXPIRE_INTERVAL_S = 0.5
REPORTS_PER_ACK = 2
MAX_ACK_UPDATES = 2  # keeps a cold start of the fleet within a node's bytes
MAX_REPLAY = 32  # updates from before a process began to report here
MAX_LOG = 4_096  # updates about entries, kept for endpoint processes to catch up


class State:
    """What this process believes of the others.

    :param seeds: addresses from which to learn while the platform's list is down.
    """

    def __init__(self, seeds: tuple[data.Address, ...] = ()):
        self.members: dict[data.InstanceId, Member] = {}
        self.ready_counts: dict[data.InstanceId, dict[data.ServiceName, int]] = {}
        self.capacities = capacity.Table()
        self.relays = report_relay.Table()
        self.seeds = seeds
        self.leaving = False
        self.refutation = 0
        self.health = 1.0
        self.clock_s = 0.0
        self.gossip = gossip.Queue()
        self.probing = probing.Table()
        self.views = anti_entropy.Table()
        self.addresses: dict[data.Address, data.InstanceId] = {}
        self.entry_ids: set[data.InstanceId] = set()
        self.reporters: set[data.InstanceId] = set()
        self.suspects: set[data.InstanceId] = set()
        self.dead: set[data.InstanceId] = set()
        self.entry_log: list[messages.Update] = []
        self.entry_log_start = 0
        self.told: dict[data.InstanceId, int] = {}
        self.list_read = False
        self._last_tick_s: float | None = None
        self._next_expiry_s = 0.0

    def add(self, member: Member) -> None:
        """Keep a new member."""
        self.members[member.identity.instance_id] = member
        self.index(member)

    def remove(self, member: Member) -> None:
        """Forget a member."""
        instance_id = member.identity.instance_id
        del self.members[instance_id]
        capacity.forget(self, instance_id)
        self.told.pop(instance_id, None)
        for group in (self.entry_ids, self.reporters, self.suspects, self.dead):
            group.discard(instance_id)
        if self.addresses.get(member.identity.address) == instance_id:
            del self.addresses[member.identity.address]

    def index(self, member: Member) -> None:
        """Put a member whose state or identity changed into the right groups."""
        instance_id = member.identity.instance_id
        is_entry = member.identity.role is data.Role.ENTRY
        _put(self.entry_ids, instance_id, is_entry and member.alive)
        _put(self.reporters, instance_id, member.direct and member.alive)
        _put(self.suspects, instance_id, member.state is data.MemberState.SUSPECT)
        _put(self.dead, instance_id, not member.alive)
        if member.alive:
            self.addresses[member.identity.address] = instance_id
        else:
            capacity.forget(self, instance_id)

    def pass_on(self, update: messages.Update, to_endpoints: bool = True) -> None:
        """Spread an update among entries; of an entry, to endpoint processes too."""
        is_entry = update.role is data.Role.ENTRY
        urgency = gossip.SLOW
        if is_entry:
            is_news = update.refutation or update.state is not data.MemberState.LIVE
            urgency = gossip.URGENT if is_news else gossip.NORMAL
        self.gossip.put(update, urgency)
        if not is_entry or not to_endpoints:
            return
        self.entry_log.append(update)
        if len(self.entry_log) > MAX_LOG:
            self.entry_log_start += len(self.entry_log) - MAX_LOG
            del self.entry_log[:-MAX_LOG]

    def worsen(self) -> None:
        """Note a sign that this process itself is slow or cut off."""
        self.health = min(member_states.MAX_HEALTH, self.health + 1.0)

    def improve(self) -> None:
        """Note a sign that this process itself is well."""
        self.health = max(1.0, self.health - 1.0)

    def advance(self, now_s: float) -> None:
        """Let awake time run; a pause of this process counts for no silence."""
        if self._last_tick_s is None:
            self._last_tick_s = now_s
        gap_s = now_s - self._last_tick_s
        self._last_tick_s = now_s
        if gap_s > MAX_STEP_S:
            gap_s = MAX_STEP_S
            self.worsen()
        self.clock_s += gap_s

    def expiry_due(self) -> bool:
        """Return whether suspects have to be looked at."""
        if self.clock_s < self._next_expiry_s:
            return False
        self._next_expiry_s = self.clock_s + EXPIRE_INTERVAL_S
        return True


def entries(node) -> list[Member]:
    """Return the entries that aren't believed dead, without this process."""
    members = node.membership.members
    return [members[instance_id] for instance_id in sorted(node.membership.entry_ids)]


def endpoints(node) -> list[Member]:
    """Return the endpoint processes that aren't believed dead."""
    found = []
    for member in node.membership.members.values():
        if member.alive and member.identity.role is data.Role.ENDPOINT:
            found.append(member)
    return found


def reports(node) -> list[data.Report]:
    """Return the newest report of each endpoint process that reports here."""
    members = node.membership.members
    found = []
    for instance_id in sorted(node.membership.reporters):
        found.append(members[instance_id].report)
    return found


def on_tick(node, event: events.Tick) -> member_states.Items:
    """Probe, expire and compare views, each when due."""
    state = node.membership
    state.advance(node.now_s)
    found = probing.run(node)
    found += capacity.run(node)
    found += report_relay.run(node)
    if state.expiry_due():
        found += member_states.expire(node)
        found += anti_entropy.run(node)
    return found


def on_message(node, event: events.MessageReceived) -> member_states.Items:
    """Take any message as a sign of life, and handle those of membership."""
    found = member_states.hear(node, event.sender)
    message = event.message
    handler = MESSAGE_HANDLERS.get(type(message))
    if handler is not None:
        found += handler(node, event.sender, message)
    return found


def on_list(node, event: events.InstanceListRead) -> member_states.Items:
    """Take in the platform's list."""
    node.membership.list_read = True
    return member_states.take_list(node, event)


def on_member_changed(node, event: events.MemberChanged) -> member_states.Items:
    """Pass on the death of an endpoint process that reported here."""
    member = node.membership.members.get(event.identity.instance_id)
    if member is None or not member.direct:
        return []
    if member.alive:
        node.membership.relays.ends.pop(event.identity.instance_id, None)
    else:
        report_relay.note_end(node, member)
    return []


def on_drain(node, event: events.DrainStarted) -> member_states.Items:
    """Tell the others that this process is leaving."""
    state = node.membership
    if state.leaving:
        return []
    state.leaving = True
    state.pass_on(member_states.own_update(node))
    return []


def _on_report(node, sender: data.Identity, report: data.Report) -> member_states.Items:
    member = node.membership.members.get(report.identity.instance_id)
    if member is None or report.identity != sender or member.identity != sender:
        return []
    if member.direct and report.sequence <= member.report.sequence:
        return []
    member.whole = report
    member.direct = True
    report_relay.note(node, member)
    return _keep_report(node, member, report)


def _on_load_report(
    node, sender: data.Identity, short: reporting.LoadReport
) -> member_states.Items:
    member = node.membership.members.get(sender.instance_id)
    if member is None or member.identity != sender:
        return []
    if member.direct and short.sequence <= member.report.sequence:
        return []
    if member.whole is None or member.whole.sequence != short.base:
        return [effects.Send(sender.address, reporting.FullReportRequest())]
    return _keep_report(node, member, short.applied_to(member.whole))


def _keep_report(node, member: Member, report: data.Report) -> member_states.Items:
    member.report = report
    node.membership.index(member)
    found: member_states.Items = [events.ReportReceived(report)]
    if report.state is data.MemberState.LEAVING and not member.leaving:
        found += member_states.mark_leaving(node, member)
    # The incarnation spreads processes that began to report together.
    if (report.sequence + report.identity.incarnation) % REPORTS_PER_ACK == 0:
        acknowledgement = _acknowledge(node, member.identity)
        found.append(effects.Send(member.identity.address, acknowledgement))
    return found


def _acknowledge(node, sender: data.Identity) -> messages.ReportAck:
    state = node.membership
    recent = state.entry_log_start + len(state.entry_log) - MAX_REPLAY
    start = max(state.told.get(sender.instance_id, recent), state.entry_log_start)
    first = start - state.entry_log_start
    updates = tuple(state.entry_log[first : first + MAX_ACK_UPDATES])
    state.told[sender.instance_id] = start + len(updates)
    member = state.members[sender.instance_id]
    if member.leaving and member.report.state is not data.MemberState.LEAVING:
        updates = (member_states.update_of(member), *updates)
    return messages.ReportAck(updates)


def _on_report_ack(
    node, sender: data.Identity, message: messages.ReportAck
) -> member_states.Items:
    return take_updates(node, message.updates)


def take_updates(node, updates: tuple[messages.Update, ...]) -> member_states.Items:
    """Take in what rode on a message."""
    found: member_states.Items = []
    for update in updates:
        found += member_states.take(node, update)
    return found


def _on_carrier(node, sender: data.Identity, message) -> member_states.Items:
    found = take_updates(node, message.updates)
    capacity.take(node, message.rows)
    return found + probing.CARRIER_HANDLERS[type(message)](node, sender, message)


def _put(group: set, instance_id: data.InstanceId, wanted: bool) -> None:
    if wanted:
        group.add(instance_id)
    else:
        group.discard(instance_id)


MESSAGE_HANDLERS = {
    data.Report: _on_report,
    reporting.LoadReport: _on_load_report,
    messages.ReportAck: _on_report_ack,
    messages.Ping: _on_carrier,
    messages.Ack: _on_carrier,
    messages.PingRequest: probing.on_request,
    messages.IndirectAck: probing.on_indirect,
    report_relay.Relay: report_relay.on_relay,
    messages.ViewRequest: anti_entropy.on_request,
    messages.View: anti_entropy.on_view,
}

HANDLERS = {
    events.Tick: on_tick,
    events.MessageReceived: on_message,
    events.InstanceListRead: on_list,
    events.DrainStarted: on_drain,
    events.MemberChanged: on_member_changed,
}
