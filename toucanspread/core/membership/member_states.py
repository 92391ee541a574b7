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
FRESH_S = 2.0  # a process heard this recently isn't condemned on hearsay
FORGET_S = 600.0  # longer than any message is late
MIN_SUSPICION_S = 3.0
MAX_HEALTH = 4.0  # the factor on timeouts while this process itself seems slow
SUSPICION_S_PER_DOUBLING = 0.8  # news and its refutation cross by gossip

Items = list[data.Event | data.Effect]


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
    whole: data.Report | None = None
    heard_s: float = NEVER_S
    clock_s: float = NEVER_S
    changed_s: float = 0.0
    refutation: int = 0
    leaving: bool = False
    listed: bool = False
    direct: bool = False

    @property
    def order(self) -> tuple[int, int, int]:
        """Return the place of the belief among all about the process."""
        return (self.identity.incarnation, self.refutation, messages.RANKS[self.state])

    @property
    def alive(self) -> bool:
        """Return whether the process isn't believed dead."""
        return self.state is not State.DEAD


def update_of(member: Member) -> messages.Update:
    """Return the belief in the form in which it travels."""
    return messages.make_update(member.identity, member.state, member.refutation)


def own_update(node) -> messages.Update:
    """Return what this process says of itself."""
    state = State.LEAVING if node.membership.leaving else State.LIVE
    return messages.make_update(node.identity, state, node.membership.refutation)


def hear(node, identity: data.Identity) -> Items:
    """Take in that a message came straight from a process."""
    if identity.instance_id == node.identity.instance_id:
        return []
    table = node.membership.members
    member = table.get(identity.instance_id)
    found = _bury_predecessor(node, identity)
    if member is None:
        member = Member(identity, changed_s=node.membership.clock_s)
        return found + _enter(node, member) + _touch(node, member)
    if identity.incarnation < member.identity.incarnation:
        return []
    if identity.incarnation > member.identity.incarnation:
        return found + _replace(node, member, identity) + _touch(node, member)
    found += _touch(node, member)
    if member.state is State.DEAD:
        found += _challenge(node, update_of(member))
    if member.state in (State.SUSPECT, State.DEAD):
        found += change(node, member, _alive_state(member))
    return found


def take(node, update: messages.Update) -> Items:
    """Take in an update that another process passed on."""
    if update.instance_id == node.identity.instance_id:
        return _take_about_self(node, update)
    member = node.membership.members.get(update.instance_id)
    if member is None:
        return _take_unknown(node, update)
    if update.order <= member.order:
        return []
    if update.incarnation > member.identity.incarnation:
        return _take_newer(node, member, update)
    condemns = update.state in (State.SUSPECT, State.DEAD)
    if condemns and node.membership.clock_s - member.clock_s < FRESH_S:
        return _challenge(node, update)
    member.refutation = update.refutation
    if update.state is State.LEAVING:
        member.leaving = True
    state = update.state if condemns else _alive_state(member)
    return change(node, member, state) + _spread(node, member)


def take_list(node, event: events.InstanceListRead) -> Items:
    """Take in a reading of the platform's list.

    The list lags: it neither revives a process nor declares one dead.
    """
    found: Items = []
    table = node.membership.members
    leaving = set(event.leaving)
    shown = set()
    for identity in event.instances:
        shown.add(identity.instance_id)
        if identity.instance_id == node.identity.instance_id:
            found += _take_own_listing(node, identity.instance_id in leaving)
            continue
        member = table.get(identity.instance_id)
        if member is None:
            member = Member(identity, changed_s=node.membership.clock_s)
            found += _enter(node, member)
        elif _moved(member, identity):
            member.identity = identity
            found += change(node, member, State.LIVE)
        member.listed = True
        if identity.instance_id in leaving and not member.leaving:
            found += mark_leaving(node, member)
    for member in list(table.values()):
        if member.identity.instance_id in shown:
            continue
        member.listed = False
        if member.identity.incarnation == 0:
            found += _forget(node, member)
    return found


def mark_leaving(node, member: Member) -> Items:
    """Believe that a process is leaving; it stays so for its incarnation."""
    member.leaving = True
    if member.state is not State.LIVE:
        return []
    return change(node, member, State.LEAVING) + _spread(node, member)


def suspect(node, member: Member) -> Items:
    """Believe that a process may be dead, because probes of it failed."""
    if member.state not in (State.LIVE, State.LEAVING):
        return []
    return change(node, member, State.SUSPECT) + _spread(node, member)


def vouch(node, member: Member) -> Items:
    """Take in that helpers reach a process that this one doesn't."""
    if member.state is not State.SUSPECT:
        return []
    return change(node, member, _alive_state(member))


def lose_report(node, member: Member) -> Items:
    """Drop the report of a process that now reports to others."""
    member.report = None
    member.whole = None
    member.direct = False
    node.membership.index(member)
    return [events.ReportLost(member.identity.instance_id)]


def expire(node) -> Items:
    """Declare suspects dead and forget the dead whose time has come."""
    state = node.membership
    found: Items = []
    for instance_id in list(state.suspects):
        member = state.members[instance_id]
        if state.clock_s - member.changed_s >= suspicion_s(node, member):
            found += change(node, member, State.DEAD) + _spread(node, member)
    for instance_id in list(state.dead):
        member = state.members[instance_id]
        if member.listed or state.clock_s - member.changed_s < FORGET_S:
            continue
        found += _forget(node, member)
    return found


def suspicion_s(node, member: Member) -> float:
    """Return how long a process stays a suspect before it counts as dead.

    An entry's suspicion and its refutation cross the fleet by gossip; an endpoint
    process answers the few entries to which it reports.
    """
    base_s = MIN_SUSPICION_S
    if member.identity.role is data.Role.ENTRY:
        doublings = math.log2(len(node.membership.entry_ids) + 1)
        base_s = max(base_s, SUSPICION_S_PER_DOUBLING * doublings)
    return base_s * node.membership.health


def change(node, member: Member, state: data.MemberState) -> Items:
    """Set a member's state and tell the other parts."""
    if member.state is state:
        return []
    before = member.state
    member.state = state
    member.changed_s = node.membership.clock_s
    node.membership.index(member)
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


def _bury_predecessor(node, identity: data.Identity) -> Items:
    """Declare another instance dead whose address this one has taken over."""
    before = node.membership.addresses.get(identity.address)
    if before in (None, identity.instance_id):
        return []
    member = node.membership.members[before]
    node.membership.addresses[identity.address] = identity.instance_id
    if identity.incarnation < member.identity.incarnation or not member.alive:
        return []
    return change(node, member, State.DEAD) + _spread(node, member)


def _touch(node, member: Member) -> Items:
    member.heard_s = node.now_s
    member.clock_s = node.membership.clock_s
    return []


def _alive_state(member: Member) -> data.MemberState:
    return State.LEAVING if member.leaving else State.LIVE


def _enter(node, member: Member) -> Items:
    member.state = _alive_state(member) if member.alive else State.DEAD
    node.membership.add(member)
    _spread(node, member)
    return [events.MemberChanged(member.identity, member.state)]


def _forget(node, member: Member) -> Items:
    node.membership.remove(member)
    if not member.alive:
        return []
    return [events.MemberChanged(member.identity, State.DEAD)]


def _replace(node, member: Member, identity: data.Identity) -> Items:
    """Put a new incarnation in the place of an old one."""
    invariants.check(
        identity.incarnation > member.identity.incarnation,
        invariants.Invariant.INCARNATION_NEVER_DECREASES,
        f"{identity.instance_id}: {identity.incarnation}",
    )
    found: Items = []
    was_listed = not member.identity.incarnation
    if member.alive and not was_listed:
        found.append(events.MemberChanged(member.identity, State.DEAD))
    member.identity = identity
    member.report = None
    member.whole = None
    member.direct = False
    member.refutation = 0
    member.leaving = False
    member.state = State.LIVE
    member.changed_s = node.membership.clock_s
    node.membership.index(member)
    found.append(events.MemberChanged(identity, State.LIVE))
    return found + _spread(node, member, to_endpoints=not was_listed)


def _take_newer(node, member: Member, update: messages.Update) -> Items:
    found = _replace(node, member, update.identity())
    member.refutation = update.refutation
    if update.state is State.LIVE:
        return found
    if update.state is State.LEAVING:
        member.leaving = True
    return found + change(node, member, update.state) + _spread(node, member)


def _take_unknown(node, update: messages.Update) -> Items:
    if update.state is State.DEAD:
        return []
    member = Member(
        update.identity(),
        refutation=update.refutation,
        changed_s=node.membership.clock_s,
        leaving=update.state is State.LEAVING,
    )
    found = _enter(node, member)
    if update.state is State.SUSPECT:
        found += change(node, member, State.SUSPECT)
    return found


def _take_about_self(node, update: messages.Update) -> Items:
    state = node.membership
    if update.incarnation != node.identity.incarnation:
        return []
    if update.state is State.LEAVING and not state.leaving:
        return _take_own_listing(node, True)
    if update.state not in (State.SUSPECT, State.DEAD):
        return []
    if update.refutation < state.refutation:
        return []
    state.refutation = update.refutation + 1
    state.worsen()
    state.pass_on(own_update(node))
    return [effects.Count("membership_refutations")]


def _take_own_listing(node, leaving: bool) -> Items:
    if not leaving or node.membership.leaving:
        return []
    node.membership.leaving = True
    node.membership.pass_on(own_update(node))
    return [events.MemberChanged(node.identity, State.LEAVING)]


def _moved(member: Member, identity: data.Identity) -> bool:
    """Return whether the list shows a dead or unheard process at another address."""
    if member.identity.address == identity.address:
        return False
    return member.identity.incarnation == 0


def _challenge(node, update: messages.Update) -> Items:
    """Tell a process what is said of it, so that it can refute it."""
    return [effects.Send(update.address, messages.Ping(0, (update,)))]


def _spread(node, member: Member, to_endpoints: bool = True) -> Items:
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
        node.membership.pass_on(update_of(member), to_endpoints)
    return []
