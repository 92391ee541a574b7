"""Group membership: which other processes exist, and in which state.

Entries know all entries and probe them. Endpoint processes are known by the reports
that they send to a few entries each. The rules for state changes are in
:mod:`toucanspread.core.membership.member_states`, the failure detector in
:mod:`toucanspread.core.membership.probing`.
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

MAX_TICK_GAP_S = 0.5  # a longer gap between ticks means that this process was paused
EXPIRY_INTERVAL_S = 0.5
REPORTS_PER_ACK = 2
MAX_ACK_UPDATE_COUNT = 2  # within a node's byte budget when the whole fleet starts
MAX_REPLAY_COUNT = 32  # older updates sent to a process that begins to report here
MAX_ENTRY_LOG_COUNT = 4_096  # updates kept for endpoint processes that lag behind


class State:
    """This process's view of the other processes.

    :param seeds: addresses to ping while no entry is known, such as when the
        platform's instance list is down.
    :ivar ready_counts: by entry and service, the number of ready endpoint processes.
    :ivar refutation: refutation counter of this process.
    :ivar timeout_factor: lengthens timeouts while this process itself seems slow.
    :ivar active_clock_s: active time, which excludes pauses of this process.
    :ivar entry_ids: the entries that aren't marked dead.
    :ivar entry_log: recent updates about entries, for endpoint processes.
    :ivar entry_log_offset: the position of its first update.
    :ivar log_positions: by endpoint process, its position in the entry log.
    """

    def __init__(self, seeds: tuple[data.Address, ...] = ()):
        self.members: dict[data.InstanceId, Member] = {}
        self.ready_counts: dict[data.InstanceId, dict[data.ServiceName, int]] = {}
        self.capacity_gossip = capacity.CapacityGossip()
        self.report_relay = report_relay.RelayState()
        self.seeds = seeds
        self.leaving = False
        self.refutation = 0
        self.timeout_factor = 1.0
        self.active_clock_s = 0.0
        self.update_queue = gossip.DisseminationQueue()
        self.probing = probing.ProbingState()
        self.anti_entropy = anti_entropy.AntiEntropyState()
        self.ids_by_address: dict[data.Address, data.InstanceId] = {}
        self.entry_ids: set[data.InstanceId] = set()
        self.reporter_ids: set[data.InstanceId] = set()
        self.suspect_ids: set[data.InstanceId] = set()
        self.dead_ids: set[data.InstanceId] = set()
        self.entry_log: list[messages.Update] = []
        self.entry_log_offset = 0
        self.log_positions: dict[data.InstanceId, int] = {}
        self.has_read_list = False
        self._last_tick_s: float | None = None
        self._next_expiry_s = 0.0

    def add(self, member: Member) -> None:
        """Add a new member to all indexes."""
        self.members[member.identity.instance_id] = member
        self.reindex(member)

    def remove(self, member: Member) -> None:
        """Remove a member from all indexes."""
        instance_id = member.identity.instance_id
        del self.members[instance_id]
        capacity.drop_row(self, instance_id)
        self.log_positions.pop(instance_id, None)
        for index in (
            self.entry_ids,
            self.reporter_ids,
            self.suspect_ids,
            self.dead_ids,
        ):
            index.discard(instance_id)
        if self.ids_by_address.get(member.identity.address) == instance_id:
            del self.ids_by_address[member.identity.address]

    def reindex(self, member: Member) -> None:
        """Update the indexes after a member's state or identity has changed."""
        instance_id = member.identity.instance_id
        is_entry = member.identity.role is data.Role.ENTRY
        _update_index(self.entry_ids, instance_id, is_entry and member.is_alive)
        _update_index(self.reporter_ids, instance_id, member.direct and member.is_alive)
        _update_index(
            self.suspect_ids, instance_id, member.state is data.MemberState.SUSPECT
        )
        _update_index(self.dead_ids, instance_id, not member.is_alive)
        if member.is_alive:
            self.ids_by_address[member.identity.address] = instance_id
        else:
            capacity.drop_row(self, instance_id)

    def disseminate(self, update: messages.Update, to_endpoints: bool = True) -> None:
        """Queue an update for other entries.

        An update about an entry is also logged for endpoint processes.
        """
        is_entry = update.role is data.Role.ENTRY
        urgency = gossip.SLOW
        if is_entry:
            is_urgent = update.refutation or update.state is not data.MemberState.LIVE
            urgency = gossip.URGENT if is_urgent else gossip.NORMAL
        self.update_queue.put(update, urgency)
        if not is_entry or not to_endpoints:
            return
        self.entry_log.append(update)
        if len(self.entry_log) > MAX_ENTRY_LOG_COUNT:
            self.entry_log_offset += len(self.entry_log) - MAX_ENTRY_LOG_COUNT
            del self.entry_log[:-MAX_ENTRY_LOG_COUNT]

    def raise_timeout_factor(self) -> None:
        """Lengthen timeouts, because this process itself seems slow or cut off."""
        self.timeout_factor = min(
            member_states.MAX_TIMEOUT_FACTOR, self.timeout_factor + 1.0
        )

    def lower_timeout_factor(self) -> None:
        """Shorten timeouts, because this process itself seems to work well."""
        self.timeout_factor = max(1.0, self.timeout_factor - 1.0)

    def advance_clock(self, now_s: float) -> None:
        """Advance active time.

        A pause of this process must not count as silence of other processes.
        """
        if self._last_tick_s is None:
            self._last_tick_s = now_s
        gap_s = now_s - self._last_tick_s
        self._last_tick_s = now_s
        if gap_s > MAX_TICK_GAP_S:
            gap_s = MAX_TICK_GAP_S
            self.raise_timeout_factor()
        self.active_clock_s += gap_s

    def is_expiry_due(self) -> bool:
        """Return whether to run expiry now, and schedule the next run if so."""
        if self.active_clock_s < self._next_expiry_s:
            return False
        self._next_expiry_s = self.active_clock_s + EXPIRY_INTERVAL_S
        return True


def list_entries(node) -> list[Member]:
    """Return the entries that aren't marked dead, without this process."""
    members = node.membership.members
    return [members[instance_id] for instance_id in sorted(node.membership.entry_ids)]


def list_endpoints(node) -> list[Member]:
    """Return the endpoint processes that aren't marked dead."""
    endpoints = []
    for member in node.membership.members.values():
        if member.is_alive and member.identity.role is data.Role.ENDPOINT:
            endpoints.append(member)
    return endpoints


def list_reports(node) -> list[data.Report]:
    """Return the latest report of each endpoint process that reports here."""
    members = node.membership.members
    reports = []
    for instance_id in sorted(node.membership.reporter_ids):
        reports.append(members[instance_id].report)
    return reports


def on_tick(node, event: events.Tick) -> member_states.Outputs:
    """Run the periodic work of membership, each part when due."""
    state = node.membership
    state.advance_clock(node.now_s)
    outputs = probing.run_probes(node)
    outputs += capacity.update_own_row(node)
    outputs += report_relay.send_due_reports(node)
    if state.is_expiry_due():
        outputs += member_states.expire_members(node)
        outputs += anti_entropy.request_view(node)
    return outputs


def on_message(node, event: events.MessageReceived) -> member_states.Outputs:
    """Record contact with the sender, and handle messages of membership."""
    outputs = member_states.record_contact(node, event.sender)
    message = event.message
    handler = MESSAGE_HANDLERS.get(type(message))
    if handler is not None:
        outputs += handler(node, event.sender, message)
    return outputs


def on_instance_list_read(
    node, event: events.InstanceListRead
) -> member_states.Outputs:
    """Apply a reading of the platform's instance list."""
    node.membership.has_read_list = True
    return member_states.apply_instance_list(node, event)


def on_member_changed(node, event: events.MemberChanged) -> member_states.Outputs:
    """Relay to collectors the death of an endpoint process that reported here."""
    member = node.membership.members.get(event.identity.instance_id)
    if member is None or not member.direct:
        return []
    if member.is_alive:
        node.membership.report_relay.pending_deaths.pop(
            event.identity.instance_id, None
        )
    else:
        report_relay.record_death(node, member)
    return []


def on_drain_started(node, event: events.DrainStarted) -> member_states.Outputs:
    """Announce to other processes that this process is leaving."""
    state = node.membership
    if state.leaving:
        return []
    state.leaving = True
    state.disseminate(member_states.make_own_update(node))
    return []


def _on_report(
    node, sender: data.Identity, report: data.Report
) -> member_states.Outputs:
    member = node.membership.members.get(report.identity.instance_id)
    if member is None or report.identity != sender or member.identity != sender:
        return []
    if member.direct and report.sequence <= member.report.sequence:
        return []
    member.full_report = report
    member.direct = True
    report_relay.record_report(node, member)
    return _store_report(node, member, report)


def _on_load_report(
    node, sender: data.Identity, load_report: reporting.LoadReport
) -> member_states.Outputs:
    member = node.membership.members.get(sender.instance_id)
    if member is None or member.identity != sender:
        return []
    if member.direct and load_report.sequence <= member.report.sequence:
        return []
    if member.full_report is None or member.full_report.sequence != load_report.base:
        return [effects.Send(sender.address, reporting.FullReportRequest())]
    return _store_report(node, member, load_report.apply_to(member.full_report))


def _store_report(node, member: Member, report: data.Report) -> member_states.Outputs:
    member.report = report
    node.membership.reindex(member)
    outputs: member_states.Outputs = [events.ReportReceived(report)]
    if report.state is data.MemberState.LEAVING and not member.leaving:
        outputs += member_states.mark_leaving(node, member)
    # The incarnation spreads acknowledgements of processes that started together.
    if (report.sequence + report.identity.incarnation) % REPORTS_PER_ACK == 0:
        acknowledgement = _make_report_ack(node, member.identity)
        outputs.append(effects.Send(member.identity.address, acknowledgement))
    return outputs


def _make_report_ack(node, sender: data.Identity) -> messages.ReportAck:
    state = node.membership
    replay_start = state.entry_log_offset + len(state.entry_log) - MAX_REPLAY_COUNT
    position = max(
        state.log_positions.get(sender.instance_id, replay_start),
        state.entry_log_offset,
    )
    index = position - state.entry_log_offset
    updates = tuple(state.entry_log[index : index + MAX_ACK_UPDATE_COUNT])
    state.log_positions[sender.instance_id] = position + len(updates)
    member = state.members[sender.instance_id]
    if member.leaving and member.report.state is not data.MemberState.LEAVING:
        updates = (member_states.make_member_update(member), *updates)
    return messages.ReportAck(updates)


def _on_report_ack(
    node, sender: data.Identity, message: messages.ReportAck
) -> member_states.Outputs:
    return apply_updates(node, message.updates)


def apply_updates(node, updates: tuple[messages.Update, ...]) -> member_states.Outputs:
    """Apply the updates that a message carries."""
    outputs: member_states.Outputs = []
    for update in updates:
        outputs += member_states.apply_update(node, update)
    return outputs


def _on_piggyback_message(
    node, sender: data.Identity, message
) -> member_states.Outputs:
    outputs = apply_updates(node, message.updates)
    capacity.apply_rows(node, message.rows)
    return outputs + probing.PIGGYBACK_HANDLERS[type(message)](node, sender, message)


def _update_index(index: set, instance_id: data.InstanceId, is_included: bool) -> None:
    if is_included:
        index.add(instance_id)
    else:
        index.discard(instance_id)


MESSAGE_HANDLERS = {
    data.Report: _on_report,
    reporting.LoadReport: _on_load_report,
    messages.ReportAck: _on_report_ack,
    messages.Ping: _on_piggyback_message,
    messages.Ack: _on_piggyback_message,
    messages.PingRequest: probing.on_ping_request,
    messages.IndirectAck: probing.on_indirect_ack,
    report_relay.RelayedReports: report_relay.on_relayed_reports,
    messages.ViewRequest: anti_entropy.on_view_request,
    messages.View: anti_entropy.on_view,
}

HANDLERS = {
    events.Tick: on_tick,
    events.MessageReceived: on_message,
    events.InstanceListRead: on_instance_list_read,
    events.DrainStarted: on_drain_started,
    events.MemberChanged: on_member_changed,
}
