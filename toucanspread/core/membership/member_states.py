"""What a process believes of the others, and the rules by which beliefs change.

Three kinds of evidence meet here: a message straight from a process, an update that
others pass on, and the platform's lagging list. An update is ordered by incarnation,
then by refutation, then by state; a process answers a wrong belief about itself with
a higher refutation, so that an old rumour can't win. LEAVING stays for an incarnation.

The functions work on ``node.membership`` and return events and effects.
"""

import math

import msgspec

from toucanspread.core import data, effects, events, invariants
from toucanspread.core.membership import membership_messages as messages

State = data.MemberState

NEVER_S = -math.inf
RECENT_CONTACT_S = 2.0  # a process heard this recently isn't condemned on hearsay
DEAD_RETENTION_S = 600.0  # longer than any message is late
MIN_SUSPICION_S = 3.0
MAX_TIMEOUT_FACTOR = 4.0  # the factor on timeouts while this process itself seems slow
SUSPICION_PER_DOUBLING_S = 0.8  # news and its refutation cross by gossip

Outputs = list[data.Event | data.Effect]


class Member(msgspec.Struct):
    """What is believed of one process.

    :param whole: the last report that came whole, to which load reports refer.
    :param heard_s: when a message last came straight from it, by ``node.now_s``.
    :param clock_s: the same by the time in which this process was awake.
    :param changed_s: when the state last changed, in awake time.
    :param direct: whether the report came straight from the process.
    :param listed: whether the platform's list showed it at the last reading.
    """

    identity: data.Identity
    state: data.MemberState = State.LIVE
    report: data.Report | None = None
    full_report: data.Report | None = msgspec.field(default=None, name="whole")
    last_contact_s: float = msgspec.field(default=NEVER_S, name="heard_s")
    last_contact_clock_s: float = msgspec.field(default=NEVER_S, name="clock_s")
    changed_s: float = 0.0
    refutation: int = 0
    leaving: bool = False
    listed: bool = False
    direct: bool = False

    @property
    def precedence(self) -> tuple[int, int, int]:
        """Return the place of the belief among all about the process."""
        return (
            self.identity.incarnation,
            self.refutation,
            messages.STATE_RANKS[self.state],
        )

    @property
    def alive(self) -> bool:
        """Return whether the process isn't believed dead."""
        return self.state is not State.DEAD


def make_member_update(member: Member) -> messages.Update:
    """Return the belief in the form in which it travels."""
    return messages.make_update(member.identity, member.state, member.refutation)


def make_own_update(node) -> messages.Update:
    """Return what this process says of itself."""
    state = State.LEAVING if node.membership.leaving else State.LIVE
    return messages.make_update(node.identity, state, node.membership.refutation)


def record_contact(node, identity: data.Identity) -> Outputs:
    """Take in that a message came straight from a process."""
    if identity.instance_id == node.identity.instance_id:
        return []
    table = node.membership.members
    member = table.get(identity.instance_id)
    found = _mark_address_predecessor_dead(node, identity)
    if member is None:
        member = Member(identity, changed_s=node.membership.active_clock_s)
        return found + _add_member(node, member) + _refresh_contact(node, member)
    if identity.incarnation < member.identity.incarnation:
        return []
    if identity.incarnation > member.identity.incarnation:
        return (
            found
            + _replace_incarnation(node, member, identity)
            + _refresh_contact(node, member)
        )
    found += _refresh_contact(node, member)
    if member.state is State.DEAD:
        found += _request_refutation(node, make_member_update(member))
    if member.state in (State.SUSPECT, State.DEAD):
        found += set_state(node, member, _get_alive_state(member))
    return found


def apply_update(node, update: messages.Update) -> Outputs:
    """Take in an update that another process passed on."""
    if update.instance_id == node.identity.instance_id:
        return _apply_update_about_self(node, update)
    member = node.membership.members.get(update.instance_id)
    if member is None:
        return _apply_unknown_member(node, update)
    if update.precedence <= member.precedence:
        return []
    if update.incarnation > member.identity.incarnation:
        return _apply_newer_incarnation(node, member, update)
    condemns = update.state in (State.SUSPECT, State.DEAD)
    if (
        condemns
        and node.membership.active_clock_s - member.last_contact_clock_s
        < RECENT_CONTACT_S
    ):
        return _request_refutation(node, update)
    member.refutation = update.refutation
    if update.state is State.LEAVING:
        member.leaving = True
    state = update.state if condemns else _get_alive_state(member)
    return set_state(node, member, state) + _disseminate(node, member)


def apply_instance_list(node, event: events.InstanceListRead) -> Outputs:
    """Take in a reading of the platform's list.

    The list lags: it neither revives a process nor declares one dead.
    """
    found: Outputs = []
    table = node.membership.members
    leaving = set(event.leaving)
    shown = set()
    for identity in event.instances:
        shown.add(identity.instance_id)
        if identity.instance_id == node.identity.instance_id:
            found += _mark_self_leaving(node, identity.instance_id in leaving)
            continue
        member = table.get(identity.instance_id)
        if member is None:
            member = Member(identity, changed_s=node.membership.active_clock_s)
            found += _add_member(node, member)
        elif _has_moved(member, identity):
            member.identity = identity
            found += set_state(node, member, State.LIVE)
        member.listed = True
        if identity.instance_id in leaving and not member.leaving:
            found += mark_leaving(node, member)
    for member in list(table.values()):
        if member.identity.instance_id in shown:
            continue
        member.listed = False
        if member.identity.incarnation == 0:
            found += _remove_member(node, member)
    return found


def mark_leaving(node, member: Member) -> Outputs:
    """Believe that a process is leaving; it stays so for its incarnation."""
    member.leaving = True
    if member.state is not State.LIVE:
        return []
    return set_state(node, member, State.LEAVING) + _disseminate(node, member)


def mark_suspect(node, member: Member) -> Outputs:
    """Believe that a process may be dead, because probes of it failed."""
    if member.state not in (State.LIVE, State.LEAVING):
        return []
    return set_state(node, member, State.SUSPECT) + _disseminate(node, member)


def clear_suspicion(node, member: Member) -> Outputs:
    """Take in that helpers reach a process that this one doesn't."""
    if member.state is not State.SUSPECT:
        return []
    return set_state(node, member, _get_alive_state(member))


def drop_report(node, member: Member) -> Outputs:
    """Drop the report of a process that now reports to others."""
    member.report = None
    member.full_report = None
    member.direct = False
    node.membership.reindex(member)
    return [events.ReportLost(member.identity.instance_id)]


def expire_members(node) -> Outputs:
    """Declare suspects dead and forget the dead whose time has come."""
    state = node.membership
    found: Outputs = []
    for instance_id in list(state.suspect_ids):
        member = state.members[instance_id]
        if state.active_clock_s - member.changed_s >= compute_suspicion_timeout_s(
            node, member
        ):
            found += set_state(node, member, State.DEAD) + _disseminate(node, member)
    for instance_id in list(state.dead_ids):
        member = state.members[instance_id]
        if member.listed or state.active_clock_s - member.changed_s < DEAD_RETENTION_S:
            continue
        found += _remove_member(node, member)
    return found


def compute_suspicion_timeout_s(node, member: Member) -> float:
    """Return how long a process stays a suspect before it counts as dead.

    An entry's suspicion and its refutation cross the fleet by gossip; an endpoint
    process answers the few entries to which it reports.
    """
    base_s = MIN_SUSPICION_S
    if member.identity.role is data.Role.ENTRY:
        doublings = math.log2(len(node.membership.entry_ids) + 1)
        base_s = max(base_s, SUSPICION_PER_DOUBLING_S * doublings)
    return base_s * node.membership.timeout_factor


def set_state(node, member: Member, state: data.MemberState) -> Outputs:
    """Set a member's state and tell the other parts."""
    if member.state is state:
        return []
    before = member.state
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
                "before": before.value,
                "state": state.value,
            },
        ),
        effects.Count("membership_changes", attributes={"state": state.value}),
    ]


def _mark_address_predecessor_dead(node, identity: data.Identity) -> Outputs:
    """Declare another instance dead whose address this one has taken over."""
    before = node.membership.ids_by_address.get(identity.address)
    if before in (None, identity.instance_id):
        return []
    member = node.membership.members[before]
    node.membership.ids_by_address[identity.address] = identity.instance_id
    if identity.incarnation < member.identity.incarnation or not member.alive:
        return []
    return set_state(node, member, State.DEAD) + _disseminate(node, member)


def _refresh_contact(node, member: Member) -> Outputs:
    member.last_contact_s = node.now_s
    member.last_contact_clock_s = node.membership.active_clock_s
    return []


def _get_alive_state(member: Member) -> data.MemberState:
    return State.LEAVING if member.leaving else State.LIVE


def _add_member(node, member: Member) -> Outputs:
    member.state = _get_alive_state(member) if member.alive else State.DEAD
    node.membership.add(member)
    _disseminate(node, member)
    return [events.MemberChanged(member.identity, member.state)]


def _remove_member(node, member: Member) -> Outputs:
    node.membership.remove(member)
    if not member.alive:
        return []
    return [events.MemberChanged(member.identity, State.DEAD)]


def _replace_incarnation(node, member: Member, identity: data.Identity) -> Outputs:
    """Put a new incarnation in the place of an old one."""
    invariants.check(
        identity.incarnation > member.identity.incarnation,
        invariants.Invariant.INCARNATION_NEVER_DECREASES,
        f"{identity.instance_id}: {identity.incarnation}",
    )
    found: Outputs = []
    was_listed = not member.identity.incarnation
    if member.alive and not was_listed:
        found.append(events.MemberChanged(member.identity, State.DEAD))
    member.identity = identity
    member.report = None
    member.full_report = None
    member.direct = False
    member.refutation = 0
    member.leaving = False
    member.state = State.LIVE
    member.changed_s = node.membership.active_clock_s
    node.membership.reindex(member)
    found.append(events.MemberChanged(identity, State.LIVE))
    return found + _disseminate(node, member, to_endpoints=not was_listed)


def _apply_newer_incarnation(node, member: Member, update: messages.Update) -> Outputs:
    found = _replace_incarnation(node, member, update.make_identity())
    member.refutation = update.refutation
    if update.state is State.LIVE:
        return found
    if update.state is State.LEAVING:
        member.leaving = True
    return found + set_state(node, member, update.state) + _disseminate(node, member)


def _apply_unknown_member(node, update: messages.Update) -> Outputs:
    if update.state is State.DEAD:
        return []
    member = Member(
        update.make_identity(),
        refutation=update.refutation,
        changed_s=node.membership.active_clock_s,
        leaving=update.state is State.LEAVING,
    )
    found = _add_member(node, member)
    if update.state is State.SUSPECT:
        found += set_state(node, member, State.SUSPECT)
    return found


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
    """Return whether the list shows a dead or unheard process at another address."""
    if member.identity.address == identity.address:
        return False
    return member.identity.incarnation == 0


def _request_refutation(node, update: messages.Update) -> Outputs:
    """Tell a process what is said of it, so that it can refute it."""
    return [effects.Send(update.address, messages.Ping(0, (update,)))]


def _disseminate(node, member: Member, to_endpoints: bool = True) -> Outputs:
    """Pass a belief on; only entries do, and only what others need.

    Of an endpoint process the entries to which it reports know first-hand that it
    lives; the others need to know of its end alone, or that the end was refuted.

    :param to_endpoints: whether endpoint processes need to know of an entry; not so
        when they have it from the list too.
    """
    if node.identity.role is not data.Role.ENTRY or not member.identity.incarnation:
        return []
    is_entry = member.identity.role is data.Role.ENTRY
    ends = member.state in (State.LEAVING, State.DEAD)
    if is_entry or ends or member.refutation:
        node.membership.disseminate(make_member_update(member), to_endpoints)
    return []
