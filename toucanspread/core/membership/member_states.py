"""Known states of the other processes, and the rules by which they change.

Three sources are merged: messages received directly from a process, updates that
other processes disseminate, and the platform's instance list, which lags behind.
Updates are ordered by incarnation, then by refutation, then by state. A process
refutes a wrong update about itself with a higher refutation counter, so that an old
update can't override it. LEAVING lasts for the rest of an incarnation.

The functions change ``node.membership`` and return events and effects.
"""

import math

import msgspec

from toucanspread.core import data, effects, events, invariants
from toucanspread.core.membership import membership_messages as messages

State = data.MemberState

NEVER_S = -math.inf
RECENT_CONTACT_S = 2.0  # this soon after contact, reported failures are not applied
DEAD_RETENTION_S = 600.0  # longer than any message is delayed
MIN_SUSPICION_S = 3.0
MAX_TIMEOUT_FACTOR = 4.0  # on timeouts, while this process itself seems slow
SUSPICION_PER_DOUBLING_S = 0.8  # a suspicion and its refutation spread by gossip

Outputs = list[data.Event | data.Effect]


class Member(msgspec.Struct):
    """The state of one process as this process knows it.

    :param full_report: the last full report, to which load reports refer.
    :param last_contact_clock_s: when its last direct message arrived, in active time,
        without this process's pauses.
    :param changed_s: when the state last changed, in active time.
    :param direct: whether the process itself sends its reports to this one.
    :param listed: whether the last reading of the platform's list contained it.
    """

    identity: data.Identity
    state: data.MemberState = State.LIVE
    report: data.Report | None = None
    full_report: data.Report | None = msgspec.field(default=None, name="whole")
    last_contact_clock_s: float = msgspec.field(default=NEVER_S, name="clock_s")
    changed_s: float = 0.0
    refutation: int = 0
    leaving: bool = False
    listed: bool = False
    direct: bool = False

    @property
    def precedence(self) -> tuple[int, int, int]:
        """Return the sort key, to compare with that of an update."""
        return (
            self.identity.incarnation,
            self.refutation,
            messages.STATE_RANKS[self.state],
        )

    @property
    def is_alive(self) -> bool:
        """Return whether the process isn't marked dead."""
        return self.state is not State.DEAD


def make_member_update(member: Member) -> messages.Update:
    """Return an update with the known state of a member."""
    return messages.make_update(member.identity, member.state, member.refutation)


def make_own_update(node) -> messages.Update:
    """Return an update with the state of this process."""
    state = State.LEAVING if node.membership.leaving else State.LIVE
    return messages.make_update(node.identity, state, node.membership.refutation)


def record_contact(node, identity: data.Identity) -> Outputs:
    """Record that a message arrived directly from a process."""
    if identity.instance_id == node.identity.instance_id:
        return []
    members = node.membership.members
    member = members.get(identity.instance_id)
    outputs = _mark_address_predecessor_dead(node, identity)
    if member is None:
        member = Member(identity, changed_s=node.membership.active_clock_s)
        return outputs + _add_member(node, member) + _refresh_contact(node, member)
    if identity.incarnation < member.identity.incarnation:
        return []
    if identity.incarnation > member.identity.incarnation:
        return (
            outputs
            + _replace_incarnation(node, member, identity)
            + _refresh_contact(node, member)
        )
    outputs += _refresh_contact(node, member)
    if member.state is State.DEAD:
        outputs += _request_refutation(node, make_member_update(member))
    if member.state in (State.SUSPECT, State.DEAD):
        outputs += set_state(node, member, _get_alive_state(member))
    return outputs


def apply_update(node, update: messages.Update) -> Outputs:
    """Apply an update that another process disseminates."""
    if update.instance_id == node.identity.instance_id:
        return _apply_update_about_self(node, update)
    member = node.membership.members.get(update.instance_id)
    if member is None:
        return _apply_unknown_member(node, update)
    if update.precedence <= member.precedence:
        return []
    if update.incarnation > member.identity.incarnation:
        return _apply_newer_incarnation(node, member, update)
    reports_failure = update.state in (State.SUSPECT, State.DEAD)
    if (
        reports_failure
        and node.membership.active_clock_s - member.last_contact_clock_s
        < RECENT_CONTACT_S
    ):
        return _request_refutation(node, update)
    member.refutation = update.refutation
    if update.state is State.LEAVING:
        member.leaving = True
    state = update.state if reports_failure else _get_alive_state(member)
    return set_state(node, member, state) + _disseminate(node, member)


def apply_instance_list(node, event: events.InstanceListRead) -> Outputs:
    """Apply a reading of the platform's instance list.

    The list lags behind: it neither revives a process nor marks one dead.
    """
    outputs: Outputs = []
    members = node.membership.members
    leaving = set(event.leaving)
    listed_ids = set()
    for identity in event.instances:
        listed_ids.add(identity.instance_id)
        if identity.instance_id == node.identity.instance_id:
            outputs += _mark_self_leaving(node, identity.instance_id in leaving)
            continue
        member = members.get(identity.instance_id)
        if member is None:
            member = Member(identity, changed_s=node.membership.active_clock_s)
            outputs += _add_member(node, member)
        elif _has_moved(member, identity):
            member.identity = identity
            outputs += set_state(node, member, State.LIVE)
        member.listed = True
        if identity.instance_id in leaving and not member.leaving:
            outputs += mark_leaving(node, member)
    for member in list(members.values()):
        if member.identity.instance_id in listed_ids:
            continue
        member.listed = False
        if member.identity.incarnation == 0:
            outputs += _remove_member(node, member)
    return outputs


def mark_leaving(node, member: Member) -> Outputs:
    """Mark a process as leaving for the rest of its incarnation."""
    member.leaving = True
    if member.state is not State.LIVE:
        return []
    return set_state(node, member, State.LEAVING) + _disseminate(node, member)


def mark_suspect(node, member: Member) -> Outputs:
    """Mark a process suspect, because probes of it failed."""
    if member.state not in (State.LIVE, State.LEAVING):
        return []
    return set_state(node, member, State.SUSPECT) + _disseminate(node, member)


def clear_suspicion(node, member: Member) -> Outputs:
    """Clear a suspicion, because a helper reaches the process."""
    if member.state is not State.SUSPECT:
        return []
    return set_state(node, member, _get_alive_state(member))


def drop_report(node, member: Member) -> Outputs:
    """Drop the report of a process that now reports to other entries."""
    member.report = None
    member.full_report = None
    member.direct = False
    node.membership.reindex(member)
    return [events.ReportDropped(member.identity.instance_id)]


def expire_members(node) -> Outputs:
    """Mark suspects dead and remove dead members, each after its timeout."""
    state = node.membership
    outputs: Outputs = []
    for instance_id in list(state.suspect_ids):
        member = state.members[instance_id]
        if state.active_clock_s - member.changed_s >= compute_suspicion_timeout_s(
            node, member
        ):
            outputs += set_state(node, member, State.DEAD) + _disseminate(node, member)
    for instance_id in list(state.dead_ids):
        member = state.members[instance_id]
        if member.listed or state.active_clock_s - member.changed_s < DEAD_RETENTION_S:
            continue
        outputs += _remove_member(node, member)
    return outputs


def compute_suspicion_timeout_s(node, member: Member) -> float:
    """Return how long a process stays suspect before it is marked dead.

    The suspicion of an entry and its refutation spread over the fleet by gossip; an
    endpoint process answers the few entries to which it reports.
    """
    base_s = MIN_SUSPICION_S
    if member.identity.role is data.Role.ENTRY:
        doublings = math.log2(len(node.membership.entry_ids) + 1)
        base_s = max(base_s, SUSPICION_PER_DOUBLING_S * doublings)
    return base_s * node.membership.timeout_factor


def set_state(node, member: Member, state: data.MemberState) -> Outputs:
    """Set a member's state and return the event, log line and metric of the change."""
    if member.state is state:
        return []
    previous = member.state
    member.state = state
    member.changed_s = node.membership.active_clock_s
    node.membership.reindex(member)
    return [
        events.MemberChanged(member.identity, state),
        effects.Log(
            "member_changed",
            {
                "member": member.identity.instance_id,
                "incarnation": member.identity.incarnation,
                "before": previous.value,
                "state": state.value,
            },
        ),
        effects.Count("membership_changes", attributes={"state": state.value}),
    ]


def _mark_address_predecessor_dead(node, identity: data.Identity) -> Outputs:
    """Mark an instance dead if another one has taken over its address."""
    previous_id = node.membership.ids_by_address.get(identity.address)
    if previous_id in (None, identity.instance_id):
        return []
    member = node.membership.members[previous_id]
    node.membership.ids_by_address[identity.address] = identity.instance_id
    if identity.incarnation < member.identity.incarnation or not member.is_alive:
        return []
    return set_state(node, member, State.DEAD) + _disseminate(node, member)


def _refresh_contact(node, member: Member) -> Outputs:
    member.last_contact_clock_s = node.membership.active_clock_s
    return []


def _get_alive_state(member: Member) -> data.MemberState:
    return State.LEAVING if member.leaving else State.LIVE


def _add_member(node, member: Member) -> Outputs:
    member.state = _get_alive_state(member) if member.is_alive else State.DEAD
    node.membership.add(member)
    _disseminate(node, member)
    return [events.MemberChanged(member.identity, member.state)]


def _remove_member(node, member: Member) -> Outputs:
    node.membership.remove(member)
    if not member.is_alive:
        return []
    return [events.MemberChanged(member.identity, State.DEAD)]


def _replace_incarnation(node, member: Member, identity: data.Identity) -> Outputs:
    """Replace an incarnation of a member by a newer one."""
    invariants.check(
        identity.incarnation > member.identity.incarnation,
        invariants.Invariant.INCARNATION_NEVER_DECREASES,
        f"{identity.instance_id}: incarnation {identity.incarnation} is not newer",
    )
    outputs: Outputs = []
    was_only_listed = not member.identity.incarnation
    if member.is_alive and not was_only_listed:
        outputs.append(events.MemberChanged(member.identity, State.DEAD))
    member.identity = identity
    member.report = None
    member.full_report = None
    member.direct = False
    member.refutation = 0
    member.leaving = False
    member.state = State.LIVE
    member.changed_s = node.membership.active_clock_s
    node.membership.reindex(member)
    outputs.append(events.MemberChanged(identity, State.LIVE))
    return outputs + _disseminate(node, member, to_endpoints=not was_only_listed)


def _apply_newer_incarnation(node, member: Member, update: messages.Update) -> Outputs:
    outputs = _replace_incarnation(node, member, update.make_identity())
    member.refutation = update.refutation
    if update.state is State.LIVE:
        return outputs
    if update.state is State.LEAVING:
        member.leaving = True
    return outputs + set_state(node, member, update.state) + _disseminate(node, member)


def _apply_unknown_member(node, update: messages.Update) -> Outputs:
    if update.state is State.DEAD:
        return []
    member = Member(
        update.make_identity(),
        refutation=update.refutation,
        changed_s=node.membership.active_clock_s,
        leaving=update.state is State.LEAVING,
    )
    outputs = _add_member(node, member)
    if update.state is State.SUSPECT:
        outputs += set_state(node, member, State.SUSPECT)
    return outputs


def _apply_update_about_self(node, update: messages.Update) -> Outputs:
    state = node.membership
    if update.incarnation != node.identity.incarnation:
        return []
    if update.state is State.LEAVING and not state.leaving:
        return _mark_self_leaving(node, True)
    if update.state not in (State.SUSPECT, State.DEAD):
        return []
    if update.refutation < state.refutation:
        return []
    state.refutation = update.refutation + 1
    state.raise_timeout_factor()
    state.disseminate(make_own_update(node))
    return [effects.Count("membership_refutations")]


def _mark_self_leaving(node, leaving: bool) -> Outputs:
    if not leaving or node.membership.leaving:
        return []
    node.membership.leaving = True
    node.membership.disseminate(make_own_update(node))
    return [events.MemberChanged(node.identity, State.LEAVING)]


def _has_moved(member: Member, identity: data.Identity) -> bool:
    """Return whether the list shows a new address for a member never contacted."""
    if member.identity.address == identity.address:
        return False
    return member.identity.incarnation == 0


def _request_refutation(node, update: messages.Update) -> Outputs:
    """Send a process the update about it, so that it can refute it."""
    return [effects.Send(update.address, messages.Ping(0, (update,)))]


def _disseminate(node, member: Member, to_endpoints: bool = True) -> Outputs:
    """Disseminate a member's state; only entries do, and only what others need.

    The entries to which an endpoint process reports know directly that it is alive.
    Other entries need an update only if it is leaving or dead, or has refuted an
    earlier update.

    :param to_endpoints: whether endpoint processes need an update about an entry;
        False when the instance list shows it to them too.
    """
    if node.identity.role is not data.Role.ENTRY or not member.identity.incarnation:
        return []
    is_entry = member.identity.role is data.Role.ENTRY
    is_leaving_or_dead = member.state in (State.LEAVING, State.DEAD)
    if is_entry or is_leaving_or_dead or member.refutation:
        node.membership.disseminate(make_member_update(member), to_endpoints)
    return []
