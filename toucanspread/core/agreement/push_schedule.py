"""Which endpoint processes an entry pushes the configuration to, and when.

Of the entries that hear an endpoint process, the first by rendezvous hashing pushes at
once and each further one only after the endpoint process has stood still for longer.
What was sent counts as received for a while, so that a burst of changes is sent once;
the next report tells whether it was.
"""

from collections.abc import Container

from toucanspread.core import data, machine, rendezvous

ENTRIES_PER_ENDPOINT = 4  # endpoint processes report to this many, or to all of a few
MAX_DELAYS = 3
DELAY_S = 2.2  # a push and the next report take up to two seconds
INTERVAL_S = 1.0
RESEND_S = 2.5
GROUP_SIZE = 24  # endpoint processes that one push reaches
GROUP_REVISIONS = 8  # between the lowest and the highest of a group


class Group:
    """Endpoint processes of one zone that lack much the same changes.

    :ivar base: the lowest of their revisions.
    """

    def __init__(self):
        self.members: list[data.Identity] = []
        self.base = data.Revision(0)
        self.highest = data.Revision(0)

    @property
    def addresses(self) -> tuple[data.Address, ...]:
        """The addresses, the first of which passes the changes on."""
        return tuple(identity.address for identity in self.members)


class Table:
    """What each endpoint process was sent, and since when it stands still."""

    def __init__(self):
        self.due = False
        self.pushed_s = float("-inf")
        self.still: dict[data.InstanceId, tuple[data.Revision, float]] = {}
        self.received: dict[data.InstanceId, tuple[data.Revision, float]] = {}
        self.delays: dict[data.InstanceId, int] = {}
        self.delays_from: frozenset[data.InstanceId] = frozenset()

    def note(self, report: data.Report, revision: data.Revision, now_s: float) -> None:
        """Take in the revision of a report; ``revision`` is in force here."""
        endpoint = report.identity.instance_id
        if report.revision >= revision:
            self.still.pop(endpoint, None)
            return
        self.due = True
        known = self.still.get(endpoint)
        if known is None or known[0] != report.revision:
            self.still[endpoint] = (report.revision, now_s)

    def sent(self, group: Group, revision: data.Revision, now_s: float) -> None:
        """Count a revision as received by a group."""
        for identity in group.members:
            self.received[identity.instance_id] = (revision, now_s)

    def revision_of(self, report: data.Report, now_s: float) -> data.Revision:
        """Return the revision that an endpoint process has, as far as is known."""
        revision, sent_s = self.received.get(report.identity.instance_id, (0, 0.0))
        if now_s - sent_s >= RESEND_S:
            return report.revision
        return max(report.revision, revision)

    def forget(self, members: Container[data.InstanceId]) -> None:
        """Drop what is remembered of processes that are gone."""
        for remembered in (self.still, self.received, self.delays):
            for endpoint in [*remembered]:
                if endpoint not in members:
                    del remembered[endpoint]


def groups(node: machine.Node) -> list[Group]:
    """Return whom to push to now, in random order within each group."""
    table = node.config_gossip.push_schedule
    if not table.due or node.now_s - table.pushed_s < INTERVAL_S:
        return []
    table.pushed_s = node.now_s
    table.due = False
    lagging = []
    for member in node.membership.members.values():
        report = member.report
        if report is None or report.revision >= node.config.revision:
            continue
        if member.state is data.MemberState.DEAD:
            continue
        table.due = True
        revision = table.revision_of(report, node.now_s)
        if revision < node.config.revision and _is_turn(node, report):
            lagging.append((revision, report.identity))
    return _grouped(node, lagging)


def _is_turn(node: machine.Node, report: data.Report) -> bool:
    """Return whether the entries before this one have had their time."""
    delays = entries_before(node, report.identity)
    if delays == 0:
        return True
    table = node.config_gossip.push_schedule
    first = (report.revision, node.now_s)
    _, since_s = table.still.setdefault(report.identity.instance_id, first)
    return node.now_s - since_s >= delays * DELAY_S


def _grouped(
    node: machine.Node, lagging: list[tuple[data.Revision, data.Identity]]
) -> list[Group]:
    lagging.sort(key=lambda each: (each[1].zone, -each[0], each[1].instance_id))
    found: list[Group] = []
    for revision, identity in lagging:
        if not found or not _may_join(found[-1], revision, identity):
            found.append(Group())
            found[-1].highest = revision
        found[-1].members.append(identity)
        found[-1].base = revision
    for group in found:
        node.random.shuffle(group.members)
    node.random.shuffle(found)
    return found


def _may_join(group: Group, revision: data.Revision, identity: data.Identity) -> bool:
    return (
        len(group.members) < GROUP_SIZE
        and group.members[0].zone == identity.zone
        and group.highest - revision <= GROUP_REVISIONS
    )


def entries_before(node: machine.Node, endpoint: data.Identity) -> int:
    """Return how many entries are to push to an endpoint process before this one."""
    table = node.config_gossip.push_schedule
    entry_ids = node.membership.entry_ids
    if table.delays_from != entry_ids:
        table.delays_from = frozenset(entry_ids)
        table.delays.clear()
    if endpoint.instance_id not in table.delays:
        table.delays[endpoint.instance_id] = _rank_among_entries(node, endpoint)
    return table.delays[endpoint.instance_id]


def _rank_among_entries(node: machine.Node, endpoint: data.Identity) -> int:
    own = node.identity
    members = node.membership.members
    ranked = rendezvous.rank(
        endpoint.instance_id, {*node.membership.entry_ids, own.instance_id}
    )
    near = []
    far = []
    for name in ranked:
        zone = own.zone if name == own.instance_id else members[name].identity.zone
        (near if zone == endpoint.zone else far).append(name)
    order = near[: ENTRIES_PER_ENDPOINT // 2]
    order += far[: ENTRIES_PER_ENDPOINT - len(order)]
    if own.instance_id not in order:
        return MAX_DELAYS
    return min(order.index(own.instance_id), MAX_DELAYS)
