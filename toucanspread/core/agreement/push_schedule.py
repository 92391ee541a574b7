"""Which endpoint processes an entry pushes the configuration to, and when.

Of the entries to which an endpoint process reports, the first by rendezvous hashing
pushes at once, and each further one only after the endpoint process has stayed at its
revision for longer. A pushed revision counts as received for a while, so that a burst
of changes is sent once; the next report shows whether it arrived.
"""

from collections.abc import Container

from toucanspread.core import data, machine, rendezvous

ENTRIES_PER_ENDPOINT = 4  # entries ranked for an endpoint process; all if fewer
MAX_RANK = 3  # of the last ranked entry, and of all others
DELAY_PER_RANK_S = 2.2  # a push and the next report take up to two seconds
PUSH_INTERVAL_S = 1.0
RESEND_DELAY_S = 2.5
MAX_GROUP_SIZE = 24  # endpoint processes that one push reaches
MAX_GROUP_REVISION_SPAN = 8  # between the lowest and the highest of a group


class Group:
    """Endpoint processes of one zone that lack nearly the same changes.

    :ivar base: the lowest of their revisions.
    """

    def __init__(self):
        self.members: list[data.Identity] = []
        self.base = data.Revision(0)
        self.highest = data.Revision(0)

    @property
    def addresses(self) -> tuple[data.Address, ...]:
        """The addresses, the first of which forwards the changes to the others."""
        return tuple(identity.address for identity in self.members)


class Schedule:
    """What was pushed to each endpoint process, and since when it lags.

    :ivar is_due: whether an endpoint process may lag.
    :ivar lagging: per endpoint process that lags, its revision and since when.
    :ivar pushed: per endpoint process, the revision last pushed and when.
    :ivar ranks: per endpoint process, the rank of this entry; see :func:`find_rank`.
    :ivar ranked_entry_ids: the other entries for which ``ranks`` was computed.
    """

    def __init__(self):
        self.is_due = False
        self.last_push_s = float("-inf")
        self.lagging: dict[data.InstanceId, tuple[data.Revision, float]] = {}
        self.pushed: dict[data.InstanceId, tuple[data.Revision, float]] = {}
        self.ranks: dict[data.InstanceId, int] = {}
        self.ranked_entry_ids: frozenset[data.InstanceId] = frozenset()

    def record_report(
        self, report: data.Report, revision: data.Revision, now_s: float
    ) -> None:
        """Record the revision of a report; ``revision`` is in force here."""
        endpoint = report.identity.instance_id
        if report.revision >= revision:
            self.lagging.pop(endpoint, None)
            return
        self.is_due = True
        known = self.lagging.get(endpoint)
        if known is None or known[0] != report.revision:
            self.lagging[endpoint] = (report.revision, now_s)

    def record_push(self, group: Group, revision: data.Revision, now_s: float) -> None:
        """Count a revision as received by a group."""
        for identity in group.members:
            self.pushed[identity.instance_id] = (revision, now_s)

    def estimate_revision(self, report: data.Report, now_s: float) -> data.Revision:
        """Return the revision that an endpoint process is assumed to have."""
        revision, sent_s = self.pushed.get(report.identity.instance_id, (0, 0.0))
        if now_s - sent_s >= RESEND_DELAY_S:
            return report.revision
        return max(report.revision, revision)

    def prune(self, members: Container[data.InstanceId]) -> None:
        """Drop the state of endpoint processes that are not in ``members``."""
        for per_endpoint in (self.lagging, self.pushed, self.ranks):
            for endpoint in [*per_endpoint]:
                if endpoint not in members:
                    del per_endpoint[endpoint]


def select_due_groups(node: machine.Node) -> list[Group]:
    """Return the groups to push to now, each in random order."""
    schedule = node.config_gossip.push_schedule
    if not schedule.is_due or node.now_s - schedule.last_push_s < PUSH_INTERVAL_S:
        return []
    schedule.last_push_s = node.now_s
    schedule.is_due = False
    lagging = []
    for member in node.membership.members.values():
        report = member.report
        if report is None or report.revision >= node.config.revision:
            continue
        if member.state is data.MemberState.DEAD:
            continue
        schedule.is_due = True
        revision = schedule.estimate_revision(report, node.now_s)
        if revision < node.config.revision and _is_delay_over(node, report):
            lagging.append((revision, report.identity))
    return _build_groups(node, lagging)


def _is_delay_over(node: machine.Node, report: data.Report) -> bool:
    """Return whether the entries that rank before this one have had time to push."""
    rank = find_rank(node, report.identity)
    if rank == 0:
        return True
    schedule = node.config_gossip.push_schedule
    initial = (report.revision, node.now_s)
    _, since_s = schedule.lagging.setdefault(report.identity.instance_id, initial)
    return node.now_s - since_s >= rank * DELAY_PER_RANK_S


def _build_groups(
    node: machine.Node, lagging: list[tuple[data.Revision, data.Identity]]
) -> list[Group]:
    lagging.sort(key=lambda each: (each[1].zone, -each[0], each[1].instance_id))
    groups: list[Group] = []
    for revision, identity in lagging:
        if not groups or not _can_join(groups[-1], revision, identity):
            groups.append(Group())
            groups[-1].highest = revision
        groups[-1].members.append(identity)
        groups[-1].base = revision
    for group in groups:
        node.random.shuffle(group.members)
    node.random.shuffle(groups)
    return groups


def _can_join(group: Group, revision: data.Revision, identity: data.Identity) -> bool:
    return (
        len(group.members) < MAX_GROUP_SIZE
        and group.members[0].zone == identity.zone
        and group.highest - revision <= MAX_GROUP_REVISION_SPAN
    )


def find_rank(node: machine.Node, endpoint: data.Identity) -> int:
    """Return how many entries push to an endpoint process before this one."""
    schedule = node.config_gossip.push_schedule
    entry_ids = node.membership.entry_ids
    if schedule.ranked_entry_ids != entry_ids:
        schedule.ranked_entry_ids = frozenset(entry_ids)
        schedule.ranks.clear()
    if endpoint.instance_id not in schedule.ranks:
        schedule.ranks[endpoint.instance_id] = _compute_rank(node, endpoint)
    return schedule.ranks[endpoint.instance_id]


def _compute_rank(node: machine.Node, endpoint: data.Identity) -> int:
    own = node.identity
    members = node.membership.members
    ranked = rendezvous.rank(
        endpoint.instance_id, {*node.membership.entry_ids, own.instance_id}
    )
    same_zone = []
    other_zones = []
    for entry_id in ranked:
        zone = (
            own.zone if entry_id == own.instance_id else members[entry_id].identity.zone
        )
        (same_zone if zone == endpoint.zone else other_zones).append(entry_id)
    pushers = same_zone[: ENTRIES_PER_ENDPOINT // 2]
    pushers += other_zones[: ENTRIES_PER_ENDPOINT - len(pushers)]
    if own.instance_id not in pushers:
        return MAX_RANK
    return min(pushers.index(own.instance_id), MAX_RANK)
