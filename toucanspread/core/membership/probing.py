"""Failure detector: direct probes, and indirect probes through helpers.

When a probe gets no direct answer, a few other entries are asked to repeat it. The
target becomes suspect only if a helper answers that it doesn't reach it either. If
no helper answers, this process may itself be slow or cut off, and first lengthens
its timeouts.
"""

import msgspec

from toucanspread.core import data, effects
from toucanspread.core.membership import gossip, member_states
from toucanspread.core.membership import membership_messages as messages

PROBE_INTERVAL_S = 1.0
DIRECT_TIMEOUT_S = 0.5
INDIRECT_TIMEOUT_S = 1.5
HELPER_TIMEOUT_S = 0.8  # shorter than the indirect timeout of the requester
HELPER_COUNT = 3
ENDPOINT_SILENCE_S = 2.5  # reports arrive once a second; two in a row may be lost
ENTRY_SILENCE_S = 5.0  # acknowledgements arrive every other second
MAX_SILENT_PROBE_COUNT = 8  # per round
ROUNDS_PER_DEAD_PROBE = 5  # one dead process is probed in every fifth round
MAX_HELPER_PROBE_COUNT = 64
URGENT_FANOUT_COUNT = 2


class Probe(msgspec.Struct):
    """A pending probe; times are in active time.

    :param indirect: whether helpers have been asked.
    :param helpers: the number of helpers asked.
    :param refused: the number of helpers that didn't reach the target either.
    """

    target: data.InstanceId
    incarnation: data.Incarnation
    due_s: float
    indirect: bool = False
    helpers: int = 0
    refused: int = 0


class HelperProbe(msgspec.Struct):
    """A probe that this process sends as a helper for another process.

    :param asker: where to send the result.
    :param number: the number of the requester's own probe.
    """

    asker: data.Address
    number: int
    due_s: float


class ProbingState:
    """The pending probes, and the order in which members are probed."""

    def __init__(self):
        self.last_number = 0
        self.probes: dict[int, Probe] = {}
        self.helper_probes: dict[int, HelperProbe] = {}
        self.target_ids: set[data.InstanceId] = set()
        self.round_number = 0
        self.next_round_s = 0.0
        self.entry_rotation: list[data.InstanceId] = []
        self.endpoint_rotation: list[data.InstanceId] = []

    def next_number(self) -> int:
        """Return the number of a new probe."""
        self.last_number += 1
        return self.last_number


def run_probes(node) -> member_states.Outputs:
    """Time out pending probes, and start a round when due."""
    state = node.membership
    outputs: member_states.Outputs = []
    for number, probe in list(state.probing.probes.items()):
        if state.active_clock_s >= probe.due_s:
            outputs += _on_probe_timeout(node, number, probe)
    for number, helper_probe in list(state.probing.helper_probes.items()):
        if state.active_clock_s >= helper_probe.due_s:
            del state.probing.helper_probes[number]
            outputs.append(_make_indirect_ack(helper_probe, None))
    if state.active_clock_s >= state.probing.next_round_s:
        state.probing.next_round_s = state.active_clock_s + PROBE_INTERVAL_S
        outputs += _start_round(node)
    return outputs


def _start_round(node) -> member_states.Outputs:
    state = node.membership
    state.probing.round_number += 1
    outputs: member_states.Outputs = []
    for instance_id in _find_silent_members(node):
        outputs += _start_probe(node, instance_id)
    if state.probing.round_number % ROUNDS_PER_DEAD_PROBE == 0 and state.dead_ids:
        outputs += _start_probe(node, node.random.choice(sorted(state.dead_ids)))
    if not state.entry_ids:
        ping = messages.Ping(0)
        outputs += [effects.Send(seed, ping) for seed in state.seeds]
    if node.identity.role is data.Role.ENDPOINT:
        return outputs
    outputs += _send_urgent_updates(node)
    for rotation, candidates in (
        (state.probing.entry_rotation, state.entry_ids),
        (state.probing.endpoint_rotation, None),
    ):
        instance_id = _pop_next_target(node, rotation, candidates)
        if instance_id is not None:
            outputs += _start_probe(node, instance_id)
    return outputs


def _send_urgent_updates(node) -> member_states.Outputs:
    """Send urgent updates to more entries than the one that is probed anyway."""
    state = node.membership
    if not state.update_queue.has_urgent():
        return []
    entry_ids = sorted(state.entry_ids)
    outputs: member_states.Outputs = []
    for instance_id in node.random.sample(
        entry_ids, min(URGENT_FANOUT_COUNT, len(entry_ids))
    ):
        member = state.members[instance_id]
        ping = messages.Ping(0, *select_piggyback(node, member))
        outputs.append(effects.Send(member.identity.address, ping))
    return outputs


def _pop_next_target(node, rotation: list, candidates) -> data.InstanceId | None:
    """Return the next target; each candidate comes once per shuffled rotation.

    :param candidates: None for the endpoint processes that don't report here.
    """
    members = node.membership.members
    if not rotation:
        rotation.extend(
            _find_unreported_endpoints(node)
            if candidates is None
            else sorted(candidates)
        )
        node.random.shuffle(rotation)
    while rotation:
        member = members.get(rotation.pop())
        if member is not None and member.is_alive and not member.direct:
            return member.identity.instance_id
    return None


def _find_unreported_endpoints(node) -> list[data.InstanceId]:
    """Return the endpoint processes that are alive and don't report here."""
    endpoint_ids = []
    for instance_id, member in node.membership.members.items():
        is_endpoint = member.identity.role is data.Role.ENDPOINT
        if is_endpoint and member.is_alive and not member.direct:
            endpoint_ids.append(instance_id)
    return endpoint_ids


def _find_silent_members(node) -> list[data.InstanceId]:
    """Return the members whose messages are overdue, the longest silent first."""
    state = node.membership
    expected_ids, silence_s = state.reporter_ids, ENDPOINT_SILENCE_S
    if node.identity.role is data.Role.ENDPOINT:
        expected_ids, silence_s = set(node.reporting.chosen_entry_ids), ENTRY_SILENCE_S
    oldest_contact_s = state.active_clock_s - silence_s * state.timeout_factor
    silent = []
    for instance_id in expected_ids:
        member = state.members.get(instance_id)
        if (
            member is None
            or not member.is_alive
            or member.last_contact_clock_s > oldest_contact_s
        ):
            continue
        silent.append((member.last_contact_clock_s, instance_id))
    silent.sort()
    return [instance_id for _, instance_id in silent[:MAX_SILENT_PROBE_COUNT]]


def _start_probe(node, instance_id: data.InstanceId) -> member_states.Outputs:
    state = node.membership
    if instance_id in state.probing.target_ids:
        return []
    member = state.members[instance_id]
    number = state.probing.next_number()
    due_s = state.active_clock_s + DIRECT_TIMEOUT_S * state.timeout_factor
    state.probing.target_ids.add(instance_id)
    state.probing.probes[number] = Probe(
        instance_id, member.identity.incarnation, due_s
    )
    ping = messages.Ping(number, *select_piggyback(node, member))
    return [effects.Send(member.identity.address, ping)]


def select_piggyback(node, member: member_states.Member) -> tuple[tuple, tuple]:
    """Return the updates and rows to piggyback on a message to a member.

    A process that is marked suspect or dead gets the update about itself first. All
    other items go only from entry to entry.
    """
    state = node.membership
    updates: tuple[messages.Update, ...] = ()
    rows: tuple[messages.CapacityRow, ...] = ()
    room_bytes = gossip.MAX_PIGGYBACK_BYTES
    if member.state in (data.MemberState.SUSPECT, data.MemberState.DEAD):
        updates = (member_states.make_member_update(member),)
        room_bytes -= updates[0].size_bytes
    if member.identity.role is node.identity.role is data.Role.ENTRY:
        fleet_size = len(state.entry_ids)
        updates += state.update_queue.select_batch(fleet_size, room_bytes)
        room_bytes -= sum(update.size_bytes for update in updates)
        rows = state.capacity_gossip.queue.select_batch(fleet_size, room_bytes)
    return updates, rows


def _on_probe_timeout(node, number: int, probe: Probe) -> member_states.Outputs:
    state = node.membership
    member = state.members.get(probe.target)
    if member is None or member.identity.incarnation != probe.incarnation:
        _finish_probe(node, number)
        return []
    if not probe.indirect and member.is_alive:
        return _request_indirect_probes(node, number, probe, member)
    _finish_probe(node, number)
    if not member.is_alive:
        return []
    if probe.helpers and not probe.refused:
        state.raise_timeout_factor()
        if state.timeout_factor < member_states.MAX_TIMEOUT_FACTOR:
            return []
    return member_states.mark_suspect(node, member)


def _request_indirect_probes(
    node, number: int, probe: Probe, member
) -> member_states.Outputs:
    state = node.membership
    helpers = sorted(state.entry_ids - state.suspect_ids - {probe.target})
    helpers = node.random.sample(helpers, min(HELPER_COUNT, len(helpers)))
    probe.indirect = True
    probe.helpers = len(helpers)
    probe.due_s = state.active_clock_s + INDIRECT_TIMEOUT_S * state.timeout_factor
    request = messages.PingRequest(number, member.identity.address)
    ping = messages.Ping(number, *select_piggyback(node, member))
    outputs: member_states.Outputs = [effects.Send(member.identity.address, ping)]
    for instance_id in helpers:
        address = state.members[instance_id].identity.address
        outputs.append(effects.Send(address, request))
    return outputs


def _finish_probe(node, number: int) -> None:
    probe = node.membership.probing.probes.pop(number, None)
    if probe is not None:
        node.membership.probing.target_ids.discard(probe.target)


def on_ping(node, sender: data.Identity, ping: messages.Ping) -> member_states.Outputs:
    """Acknowledge a ping."""
    member = node.membership.members.get(sender.instance_id)
    updates, rows = ((), ()) if member is None else select_piggyback(node, member)
    if _mentions_own_process(node, ping):
        updates = (member_states.make_own_update(node), *updates)
    reports = False
    if node.identity.role is data.Role.ENDPOINT:
        reports = sender.instance_id in node.reporting.chosen_entry_ids
    return [
        effects.Send(sender.address, messages.Ack(ping.number, updates, rows, reports))
    ]


def _mentions_own_process(node, ping: messages.Ping) -> bool:
    """Return whether a ping carries an update about this process."""
    own_id = node.identity.instance_id
    return any(update.instance_id == own_id for update in ping.updates)


def on_ack(node, sender: data.Identity, ack: messages.Ack) -> member_states.Outputs:
    """Finish the probe that was acknowledged."""
    state = node.membership
    helper_probe = state.probing.helper_probes.pop(ack.number, None)
    if helper_probe is not None:
        return [_make_indirect_ack(helper_probe, sender)]
    probe = state.probing.probes.get(ack.number)
    if probe is None or probe.target != sender.instance_id:
        return []
    _finish_probe(node, ack.number)
    state.lower_timeout_factor()
    member = state.members[sender.instance_id]
    if member.direct and not ack.reports:
        return member_states.drop_report(node, member)
    return []


def on_ping_request(
    node, sender: data.Identity, request: messages.PingRequest
) -> member_states.Outputs:
    """Probe a process as a helper of the sender."""
    state = node.membership
    if len(state.probing.helper_probes) >= MAX_HELPER_PROBE_COUNT:
        return []
    number = state.probing.next_number()
    due_s = state.active_clock_s + HELPER_TIMEOUT_S
    state.probing.helper_probes[number] = HelperProbe(
        sender.address, request.number, due_s
    )
    return [effects.Send(request.target, messages.Ping(number))]


def _make_indirect_ack(
    helper_probe: HelperProbe, responder: data.Identity | None
) -> effects.Send:
    return effects.Send(
        helper_probe.asker, messages.IndirectAck(helper_probe.number, responder)
    )


def on_indirect_ack(
    node, sender: data.Identity, ack: messages.IndirectAck
) -> member_states.Outputs:
    """Apply the result of an indirect probe."""
    state = node.membership
    probe = state.probing.probes.get(ack.number)
    if probe is None:
        return []
    if ack.found is None:
        probe.refused += 1
        return []
    _finish_probe(node, ack.number)
    member = state.members.get(probe.target)
    if member is None:
        return []
    if ack.found == member.identity:
        return member_states.clear_suspicion(node, member)
    update = messages.make_update(ack.found, data.MemberState.LIVE, 0)
    return member_states.apply_update(node, update)


PIGGYBACK_HANDLERS = {
    messages.Ping: on_ping,
    messages.Ack: on_ack,
}
