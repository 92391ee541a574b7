"""Direct probes of other processes, and indirect ones through helpers.

A probe that gets no direct answer is repeated by a few other entries. Only when
helpers answered that they don't reach the process either does it become a suspect;
when not even the helpers answer, this process first doubts itself and waits longer.
"""

import msgspec

from toucanspread.core import data, effects
from toucanspread.core.membership import gossip, member_states
from toucanspread.core.membership import membership_messages as messages

PROBE_INTERVAL_S = 1.0
DIRECT_TIMEOUT_S = 0.5
INDIRECT_TIMEOUT_S = 1.5
RELAY_TIMEOUT_S = 0.8  # a helper answers before its asker gives up
HELPERS = 3
SILENCE_S = 2.5  # reports come once a second; two in a row may be lost
ENTRY_SILENCE_S = 5.0  # acknowledgements come every other second
MAX_SILENT_PROBES = 8  # per round
DEAD_PROBE_ROUNDS = 5  # a dead process is tried in every fifth round
MAX_RELAYS = 64
NEWS_FANOUT = 2


class Probe(msgspec.Struct):
    """A probe without an answer so far; times are in awake time.

    :param helpers: how many helpers were asked.
    :param refused: how many of them didn't reach the process either.
    """

    target: data.InstanceId
    incarnation: data.Incarnation
    due_s: float
    indirect: bool = False
    helpers: int = 0
    refused: int = 0


class Relay(msgspec.Struct):
    """A probe that another process asked for."""

    asker: data.Address
    number: int
    due_s: float


class Table:
    """The probes in progress."""

    def __init__(self):
        self.number = 0
        self.probes: dict[int, Probe] = {}
        self.relays: dict[int, Relay] = {}
        self.targets: set[data.InstanceId] = set()
        self.round = 0
        self.next_round_s = 0.0
        self.rotation: list[data.InstanceId] = []
        self.endpoint_rotation: list[data.InstanceId] = []

    def next_number(self) -> int:
        """Return a number that names a new probe."""
        self.number += 1
        return self.number


def run(node) -> member_states.Items:
    """Follow the probes in progress and begin a round when due."""
    state = node.membership
    found: member_states.Items = []
    for number, probe in list(state.probing.probes.items()):
        if state.clock_s >= probe.due_s:
            found += _overdue(node, number, probe)
    for number, relay in list(state.probing.relays.items()):
        if state.clock_s >= relay.due_s:
            del state.probing.relays[number]
            found.append(_answer_relay(relay, None))
    if state.clock_s >= state.probing.next_round_s:
        state.probing.next_round_s = state.clock_s + PROBE_INTERVAL_S
        found += _begin_round(node)
    return found


def _begin_round(node) -> member_states.Items:
    state = node.membership
    state.probing.round += 1
    found: member_states.Items = []
    for instance_id in _silent(node):
        found += _begin(node, instance_id)
    if state.probing.round % DEAD_PROBE_ROUNDS == 0 and state.dead:
        found += _begin(node, node.random.choice(sorted(state.dead)))
    if not state.entry_ids:
        ping = messages.Ping(0)
        found += [effects.Send(seed, ping) for seed in state.seeds]
    if node.identity.role is data.Role.ENDPOINT:
        return found
    found += _tell_news(node)
    for rotation, candidates in (
        (state.probing.rotation, state.entry_ids),
        (state.probing.endpoint_rotation, None),
    ):
        instance_id = _next_in_rotation(node, rotation, candidates)
        if instance_id is not None:
            found += _begin(node, instance_id)
    return found


def _tell_news(node) -> member_states.Items:
    """Send urgent news to more entries than the one that is probed anyway."""
    state = node.membership
    if not state.gossip.has_urgent():
        return []
    entry_ids = sorted(state.entry_ids)
    found: member_states.Items = []
    for instance_id in node.random.sample(entry_ids, min(NEWS_FANOUT, len(entry_ids))):
        member = state.members[instance_id]
        ping = messages.Ping(0, *cargo_for(node, member))
        found.append(effects.Send(member.identity.address, ping))
    return found


def _next_in_rotation(node, rotation: list, candidates) -> data.InstanceId | None:
    """Return the next target; each comes once in a shuffled turn."""
    members = node.membership.members
    if not rotation:
        rotation.extend(_unreported(node) if candidates is None else sorted(candidates))
        node.random.shuffle(rotation)
    while rotation:
        member = members.get(rotation.pop())
        if member is not None and member.alive and not member.direct:
            return member.identity.instance_id
    return None


def _unreported(node) -> list[data.InstanceId]:
    """Return the live endpoint processes that don't report here."""
    found = []
    for instance_id, member in node.membership.members.items():
        is_endpoint = member.identity.role is data.Role.ENDPOINT
        if is_endpoint and member.alive and not member.direct:
            found.append(instance_id)
    return found


def _silent(node) -> list[data.InstanceId]:
    """Return who should have been heard of late, the longest silent first."""
    state = node.membership
    expected, silence_s = state.reporters, SILENCE_S
    if node.identity.role is data.Role.ENDPOINT:
        expected, silence_s = set(node.reporting.chosen_entry_ids), ENTRY_SILENCE_S
    limit_s = state.clock_s - silence_s * state.health
    silent = []
    for instance_id in expected:
        member = state.members.get(instance_id)
        if member is None or not member.alive or member.clock_s > limit_s:
            continue
        silent.append((member.clock_s, instance_id))
    silent.sort()
    return [instance_id for _, instance_id in silent[:MAX_SILENT_PROBES]]


def _begin(node, instance_id: data.InstanceId) -> member_states.Items:
    state = node.membership
    if instance_id in state.probing.targets:
        return []
    member = state.members[instance_id]
    number = state.probing.next_number()
    due_s = state.clock_s + DIRECT_TIMEOUT_S * state.health
    state.probing.targets.add(instance_id)
    state.probing.probes[number] = Probe(
        instance_id, member.identity.incarnation, due_s
    )
    ping = messages.Ping(number, *cargo_for(node, member))
    return [effects.Send(member.identity.address, ping)]


def cargo_for(node, member: member_states.Member) -> tuple[tuple, tuple]:
    """Return the updates and rows that ride on a message.

    A condemned process learns of it first; all else is for entries alone.
    """
    state = node.membership
    updates: tuple[messages.Update, ...] = ()
    rows: tuple[messages.Row, ...] = ()
    room_bytes = gossip.MAX_BYTES
    if member.state in (data.MemberState.SUSPECT, data.MemberState.DEAD):
        updates = (member_states.update_of(member),)
        room_bytes -= updates[0].size_bytes
    if member.identity.role is node.identity.role is data.Role.ENTRY:
        fleet = len(state.entry_ids)
        updates += state.gossip.take(fleet, room_bytes)
        room_bytes -= sum(update.size_bytes for update in updates)
        rows = state.capacities.queue.take(fleet, room_bytes)
    return updates, rows


def _overdue(node, number: int, probe: Probe) -> member_states.Items:
    state = node.membership
    member = state.members.get(probe.target)
    if member is None or member.identity.incarnation != probe.incarnation:
        _end(node, number)
        return []
    if not probe.indirect and member.alive:
        return _ask_helpers(node, number, probe, member)
    _end(node, number)
    if not member.alive:
        return []
    if probe.helpers and not probe.refused:
        state.worsen()
        if state.health < member_states.MAX_HEALTH:
            return []
    return member_states.suspect(node, member)


def _ask_helpers(node, number: int, probe: Probe, member) -> member_states.Items:
    state = node.membership
    helpers = sorted(state.entry_ids - state.suspects - {probe.target})
    helpers = node.random.sample(helpers, min(HELPERS, len(helpers)))
    probe.indirect = True
    probe.helpers = len(helpers)
    probe.due_s = state.clock_s + INDIRECT_TIMEOUT_S * state.health
    request = messages.PingRequest(number, member.identity.address)
    again = messages.Ping(number, *cargo_for(node, member))
    found: member_states.Items = [effects.Send(member.identity.address, again)]
    for instance_id in helpers:
        address = state.members[instance_id].identity.address
        found.append(effects.Send(address, request))
    return found


def _end(node, number: int) -> None:
    probe = node.membership.probing.probes.pop(number, None)
    if probe is not None:
        node.membership.probing.targets.discard(probe.target)


def on_ping(node, sender: data.Identity, ping: messages.Ping) -> member_states.Items:
    """Answer a probe."""
    member = node.membership.members.get(sender.instance_id)
    updates, rows = ((), ()) if member is None else cargo_for(node, member)
    if _was_condemned(node, ping):
        updates = (member_states.own_update(node), *updates)
    reports = False
    if node.identity.role is data.Role.ENDPOINT:
        reports = sender.instance_id in node.reporting.chosen_entry_ids
    return [
        effects.Send(sender.address, messages.Ack(ping.number, updates, rows, reports))
    ]


def _was_condemned(node, ping: messages.Ping) -> bool:
    """Return whether a ping brought a wrong belief about this process."""
    own_id = node.identity.instance_id
    return any(update.instance_id == own_id for update in ping.updates)


def on_ack(node, sender: data.Identity, ack: messages.Ack) -> member_states.Items:
    """End the probe that was answered."""
    state = node.membership
    relay = state.probing.relays.pop(ack.number, None)
    if relay is not None:
        return [_answer_relay(relay, sender)]
    probe = state.probing.probes.get(ack.number)
    if probe is None or probe.target != sender.instance_id:
        return []
    _end(node, ack.number)
    state.improve()
    member = state.members[sender.instance_id]
    if member.direct and not ack.reports:
        return member_states.lose_report(node, member)
    return []


def on_request(
    node, sender: data.Identity, request: messages.PingRequest
) -> member_states.Items:
    """Probe a process in place of another."""
    state = node.membership
    if len(state.probing.relays) >= MAX_RELAYS:
        return []
    number = state.probing.next_number()
    due_s = state.clock_s + RELAY_TIMEOUT_S
    state.probing.relays[number] = Relay(sender.address, request.number, due_s)
    return [effects.Send(request.target, messages.Ping(number))]


def _answer_relay(relay: Relay, found: data.Identity | None) -> effects.Send:
    return effects.Send(relay.asker, messages.IndirectAck(relay.number, found))


def on_indirect(
    node, sender: data.Identity, answer: messages.IndirectAck
) -> member_states.Items:
    """Take in what a helper found."""
    state = node.membership
    probe = state.probing.probes.get(answer.number)
    if probe is None:
        return []
    if answer.found is None:
        probe.refused += 1
        return []
    _end(node, answer.number)
    member = state.members.get(probe.target)
    if member is None:
        return []
    if answer.found == member.identity:
        return member_states.vouch(node, member)
    update = messages.make_update(answer.found, data.MemberState.LIVE, 0)
    return member_states.take(node, update)


CARRIER_HANDLERS = {
    messages.Ping: on_ping,
    messages.Ack: on_ack,
}
