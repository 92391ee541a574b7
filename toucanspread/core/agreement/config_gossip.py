"""Spreads the configuration between processes, without the key-value service.

An entry that applies a new revision pushes it to a few other entries at once. In
addition, each entry compares revisions with a random one every second (an endpoint
process every three), and the process with the lower revision is sent what it lacks.

Of the entries to which an endpoint process reports, the first by rendezvous hashing
pushes to it: in groups, of which one member forwards the changes to the others. Reports
contain the revision of their sender, so an endpoint process that still lags is sent the
changes again, by the first entry and then by the others.
"""

import msgspec

from toucanspread.core import data, effects, events, machine
from toucanspread.core.agreement import change_log, config, push_schedule

PUSH_FANOUT = 2
COMPARE_INTERVAL_S = 1.0
ENDPOINT_COMPARE_INTERVAL_S = 3.0
FORWARD_FANOUT = 4
DIGEST_REVISIONS = 12  # a delta has the digests of so many revisions at each end
SEND_RATE_BYTES_PER_S = 9_000.0
SEND_BURST_BYTES = 160_000.0  # enough for a burst of changes
LOG_INTERVAL_S = 5.0
NO_ADDRESS = data.Address("")
UNKNOWN_AGE_S = 1e9  # JSON has no infinity


class ConfigSummary(data.Message):
    """The revision and digest of the sender's configuration.

    :param answer: whether a receiver that is behind answers with its own summary.
    :param fence: the highest fencing number that the sender knows.
    :param controller: the address of the entry that holds this number, if known.
    :param service_age_s: how old the sender's evidence of the key-value service is.
    """

    revision: data.Revision
    digest: str
    answer: bool = True
    fence: data.FencingNumber = data.FencingNumber(0)
    controller: data.Address = data.Address("")
    service_answers: bool = False
    service_age_s: float = UNKNOWN_AGE_S


class ConfigDelta(data.Message):
    """All changes above ``base`` up to ``revision``; the whole history if it is 0.

    :param digests: the digests close to ``base`` and to ``revision``, which show the
        receiver whether the changes extend its own history.
    :param pass_on_to: addresses to which the receiver forwards the same changes.
    :param settled: false when the sender knows of a different history.
    """

    base: data.Revision
    revision: data.Revision
    digest: str
    stamps: tuple[change_log.Stamp, ...]
    digests: dict[data.Revision, str] = {}
    pass_on_to: tuple[data.Address, ...] = ()
    settled: bool = True


class State:
    """The state of the exchange with other processes.

    :ivar fence: the highest known fencing number. An endpoint process that was
        restarted gets it from other processes even if its engine stores none.
    """

    def __init__(self):
        self.fence = data.FencingNumber(0)
        self.controller = NO_ADDRESS
        self.next_compare_s = 0.0
        self.pushed_revision = data.Revision(0)
        self.push_schedule = push_schedule.Schedule()
        self.send_credit_bytes = SEND_BURST_BYTES
        self.send_credit_s = 0.0
        self.logged_s = float("-inf")
        self.service_answers = False
        self.service_checked_s = -UNKNOWN_AGE_S

    def record_fence(
        self, fence: data.FencingNumber, controller: data.Address = NO_ADDRESS
    ) -> None:
        """Record the highest fencing number and the address of its holder."""
        if fence > self.fence:
            self.fence = fence
            self.controller = controller
        if fence == self.fence and controller:
            self.controller = controller

    def record_service_status(self, checked_s: float, answers: bool) -> None:
        """Record the newest evidence of whether the key-value service answers."""
        if checked_s > self.service_checked_s:
            self.service_checked_s = checked_s
            self.service_answers = answers


def on_tick(node: machine.Node, event: events.Tick) -> list:
    """Push to endpoint processes; compare revisions with one process per interval."""
    state = node.config_gossip
    pushes = _push_to_endpoints(node)
    if node.now_s < state.next_compare_s:
        return pushes
    is_entry = node.identity.role is data.Role.ENTRY
    interval_s = COMPARE_INTERVAL_S if is_entry else ENDPOINT_COMPARE_INTERVAL_S
    state.next_compare_s = node.now_s + interval_s * (0.8 + 0.4 * node.random.random())
    state.push_schedule.prune(node.membership.members)
    partner = _choose_partner(node)
    if partner is None:
        return pushes
    return [*pushes, effects.Send(partner.address, _build_summary(node))]


def on_config_applied(node: machine.Node, event: events.ConfigApplied) -> list:
    """Push new changes to a few other entries."""
    state = node.config_gossip
    base = state.pushed_revision
    state.pushed_revision = node.config.revision
    if node.identity.role is not data.Role.ENTRY:
        return []
    state.push_schedule.is_due = True
    sends = []
    for peer in _choose_push_targets(node):
        sends.extend(_send_delta(node, peer.address, base))
    return sends


def on_kv_answered(node: machine.Node, event: events.KvAnswered) -> list:
    """Record whether the key-value service answers, whichever module called it."""
    answers = event.status not in (data.KvStatus.UNKNOWN, data.KvStatus.NOT_APPLIED)
    node.config_gossip.record_service_status(node.now_s, answers)
    return []


def on_message(node: machine.Node, event: events.MessageReceived) -> list:
    """Handle a summary or changes from another process."""
    if isinstance(event.message, ConfigSummary):
        return _on_summary(node, event.sender, event.message)
    if isinstance(event.message, ConfigDelta):
        return _on_delta(node, event.sender, event.message)
    return []


def on_report(node: machine.Node, event: events.ReportReceived) -> list:
    """Record whether an endpoint process lags; request changes if it is ahead."""
    state = node.config_gossip
    report = event.report
    state.record_fence(report.fence)
    state.push_schedule.record_report(report, node.config.revision, node.now_s)
    if report.revision > node.config.revision:
        return [effects.Send(report.identity.address, _build_summary(node))]
    return []


def _push_to_endpoints(node: machine.Node) -> list:
    """Push to the lagging endpoint processes to which this entry is due to push."""
    sends = []
    for group in push_schedule.select_due_groups(node):
        sent = _send_delta(node, group.addresses[0], group.base, group.addresses[1:])
        sends.extend(sent)
        if not isinstance(sent[0], effects.Send):
            break  # the limit on sent bytes is reached
        node.config_gossip.push_schedule.record_push(
            group, node.config.revision, node.now_s
        )
    return sends


def _on_summary(
    node: machine.Node, sender: data.Identity, summary: ConfigSummary
) -> list:
    state = node.config
    node.config_gossip.record_fence(summary.fence, summary.controller)
    if node.identity.role is data.Role.ENTRY:
        checked_s = node.now_s - summary.service_age_s
        node.config_gossip.record_service_status(checked_s, summary.service_answers)
    if summary.revision > state.revision:
        if not summary.answer:
            return []
        return [effects.Send(sender.address, _build_summary(node, answer=False))]
    if summary.revision < state.revision:
        return _send_delta(node, sender.address, summary.revision)
    if summary.digest == state.digest:
        if summary.answer and summary.fence < find_highest_fence(node):
            return [effects.Send(sender.address, _build_summary(node, answer=False))]
        return []
    return _on_diverged_history(node, sender, summary.revision)


def _on_diverged_history(
    node: machine.Node, sender: data.Identity, revision: data.Revision
) -> list:
    """Answer a process that holds the same revision with different changes.

    Between entries the key-value service decides which history stays; endpoint
    processes follow the entries.
    """
    state = node.config
    if node.identity.role is data.Role.ENTRY and sender.role is data.Role.ENDPOINT:
        if state.forked:
            return []
        return [effects.Send(sender.address, _build_summary(node, answer=False))]
    state.forked = True
    outputs = _log_limited(node, "config_fork", sender, revision)
    if node.identity.role is data.Role.ENDPOINT:
        outputs.append(effects.Send(sender.address, _build_summary(node)))
    return outputs


def _on_delta(node: machine.Node, sender: data.Identity, delta: ConfigDelta) -> list:
    forwards = []
    for index in range(FORWARD_FANOUT):
        addresses = delta.pass_on_to[index::FORWARD_FANOUT]
        if addresses:
            forwarded = msgspec.structs.replace(delta, pass_on_to=addresses[1:])
            forwards.append(effects.Send(addresses[0], forwarded))
    return [*forwards, *_apply_delta(node, sender, delta)]


def _apply_delta(node: machine.Node, sender: data.Identity, delta: ConfigDelta) -> list:
    state = node.config
    if delta.revision < state.revision:
        return _log_limited(node, "config_older_refused", sender, delta.revision)
    if delta.revision == state.revision and delta.digest == state.digest:
        state.forked = state.forked and not delta.settled
        return []
    must_follow = node.identity.role is data.Role.ENDPOINT and delta.settled
    if delta.revision == state.revision and not must_follow:
        return []
    if delta.base == 0:
        snapshot = change_log.Snapshot(delta.revision, delta.digest, delta.stamps)
        outputs = config.replace_history(node, snapshot)
        config.record_digests(node, delta.digests)
        return outputs
    if delta.revision == state.revision:
        return []
    expected = delta.digests.get(state.revision)
    if expected is None or state.forked:
        return [effects.Send(sender.address, _build_summary(node, answer=False))]
    if expected != state.digest:
        return _on_diverged_history(node, sender, state.revision)
    config.record_digests(node, delta.digests)
    return config.apply_stamps(node, delta.revision, delta.digest, delta.stamps)


def _build_summary(node: machine.Node, answer: bool = True) -> ConfigSummary:
    forked = node.config.forked
    return ConfigSummary(
        data.Revision(0) if forked else node.config.revision,
        "" if forked else node.config.digest,
        answer,
        find_highest_fence(node),
        _find_controller(node),
        node.config_gossip.service_answers,
        min(node.now_s - node.config_gossip.service_checked_s, UNKNOWN_AGE_S),
    )


def _find_controller(node: machine.Node) -> data.Address:
    is_entry = node.identity.role is data.Role.ENTRY
    if is_entry and node.leases.fence and node.leases.fence >= node.config_gossip.fence:
        return node.identity.address
    return node.config_gossip.controller


def find_highest_fence(node: machine.Node) -> data.FencingNumber:
    """Return the highest fencing number that this process knows of."""
    if node.identity.role is data.Role.ENTRY:
        return max(node.config_gossip.fence, node.leases.fence)
    return max(node.config_gossip.fence, node.orders.fence)


def _send_delta(
    node: machine.Node,
    address: data.Address,
    base: data.Revision,
    pass_on_to: tuple[data.Address, ...] = (),
) -> list:
    if node.config.forked and base > 0:
        return [effects.Count("config_delta_postponed")]
    if base not in node.config.digests:
        base = data.Revision(0)
    digests = _select_digests(node, base)
    delta = ConfigDelta(
        base,
        node.config.revision,
        node.config.digest,
        change_log.select_stamps_above(node.config.stamps, base),
        digests,
        pass_on_to,
        not node.config.forked,
    )
    if not _acquire_send_credit(node, delta):
        return [effects.Count("config_delta_postponed")]
    return [effects.Send(address, delta)]


def _select_digests(
    node: machine.Node, base: data.Revision
) -> dict[data.Revision, str]:
    known = node.config.digests
    newest = node.config.revision
    digests = {}
    for revision in range(base, newest):
        is_near = revision - base <= DIGEST_REVISIONS
        is_near = is_near or newest - revision <= DIGEST_REVISIONS
        if is_near and revision in known:
            digests[data.Revision(revision)] = known[revision]
    return digests


def _acquire_send_credit(node: machine.Node, delta: ConfigDelta) -> bool:
    """Limit the bytes sent per second; one large delta may overdraw the credit."""
    state = node.config_gossip
    earned = (node.now_s - state.send_credit_s) * SEND_RATE_BYTES_PER_S
    state.send_credit_s = node.now_s
    state.send_credit_bytes = min(state.send_credit_bytes + earned, SEND_BURST_BYTES)
    if state.send_credit_bytes <= 0:
        return False
    state.send_credit_bytes -= change_log.count_stamps_bytes(delta.stamps)
    return True


def _choose_push_targets(node: machine.Node) -> list[data.Identity]:
    """Return a random entry of this zone and one of another zone, if they exist."""
    same_zone = []
    other_zones = []
    for identity in list_others(node, data.Role.ENTRY):
        (same_zone if identity.zone == node.identity.zone else other_zones).append(
            identity
        )
    chosen = _sample(node, other_zones, 1)
    chosen += _sample(node, same_zone, PUSH_FANOUT - len(chosen))
    if len(chosen) < PUSH_FANOUT:
        rest = [identity for identity in other_zones if identity not in chosen]
        chosen += _sample(node, rest, PUSH_FANOUT - len(chosen))
    return chosen


def _choose_partner(node: machine.Node) -> data.Identity | None:
    """Return a random entry; an endpoint that knows none asks another endpoint."""
    candidates = list_others(node, data.Role.ENTRY)
    if not candidates and node.identity.role is data.Role.ENDPOINT:
        candidates = list_others(node, data.Role.ENDPOINT)
    if not candidates:
        return None
    return node.random.choice(candidates)


def list_others(node: machine.Node, role: data.Role) -> list[data.Identity]:
    """Return the other processes of a role that are not in state dead."""
    others = []
    for member in node.membership.members.values():
        if member.identity.role is not role:
            continue
        if member.state is data.MemberState.DEAD:
            continue
        if member.identity.instance_id == node.identity.instance_id:
            continue
        others.append(member.identity)
    return others


def _sample(node: machine.Node, identities: list, count: int) -> list:
    return node.random.sample(identities, max(0, min(count, len(identities))))


def _log_limited(
    node: machine.Node, event: str, sender: data.Identity, revision: data.Revision
) -> list:
    """Count always; log at most once per interval."""
    outputs: list = [effects.Count(event)]
    if node.now_s - node.config_gossip.logged_s < LOG_INTERVAL_S:
        return outputs
    node.config_gossip.logged_s = node.now_s
    fields = {
        "sender": sender.instance_id,
        "revision": revision,
        "in_force": node.config.revision,
    }
    return [*outputs, effects.Log(event, fields)]


HANDLERS = {
    events.Tick: on_tick,
    events.KvAnswered: on_kv_answered,
    events.ConfigApplied: on_config_applied,
    events.MessageReceived: on_message,
    events.ReportReceived: on_report,
}
