"""Reports of an endpoint process to the entries that it chose.

Few entries are all told. Of many, a few are chosen by rendezvous hashing, some in
the own zone, so that each entry hears of about as many endpoint processes.

A whole report goes out when something other than the load has changed, and now and
then; in between, a short :class:`LoadReport` refers to it.
"""

import msgspec

from toucanspread.core import data, effects, events, rendezvous
from toucanspread.core.gate import admission
from toucanspread.core.membership import member_states

REPORT_INTERVAL_S = 1.0
FULL_REPORT_INTERVAL_S = 30.0
REPORT_TO_ALL_MAX_COUNT = 32  # up to this many entries, every one is told
SAME_ZONE_ENTRY_COUNT = 2
OTHER_ZONE_ENTRY_COUNT = 1
CHOICE_INTERVAL_S = 1.0


class LoadReport(data.Message, rename={"sequence": "s", "base": "b", "load": "l"}):
    """A report that differs from a whole one before it by its load alone.

    :param base: the sequence of that whole report.
    """

    sequence: int
    base: int
    load: tuple[int, int, float]

    def apply_to(self, whole: data.Report) -> data.Report:
        """Return the report that is meant."""
        running, queued, service_time_s = self.load
        load = data.Load(running, queued, whole.load.limit, service_time_s)
        return msgspec.structs.replace(whole, sequence=self.sequence, load=load)


class FullReportRequest(data.Message, tag="ReportWanted"):
    """Asks an endpoint process for a whole report."""


class State:
    """Whom to tell, and when next."""

    def __init__(self):
        self.chosen_entry_ids: tuple[data.InstanceId, ...] = ()
        self.sequence = 0
        self.next_report_s = 0.0
        self.next_choice_s = 0.0
        self.last_full_report: data.Report | None = None
        self.next_full_report_s = 0.0
        self.full_report_requesters: set[data.InstanceId] = set()
        self._ranked_from: frozenset[data.InstanceId] | None = None

    def is_choice_due(self, now_s: float, entry_ids: set[data.InstanceId]) -> bool:
        """Return whether the entries have changed since the last choice."""
        if now_s < self.next_choice_s:
            return False
        self.next_choice_s = now_s + CHOICE_INTERVAL_S
        if self._ranked_from == entry_ids:
            return False
        self._ranked_from = frozenset(entry_ids)
        return True


def choose_entries(node) -> tuple[data.InstanceId, ...]:
    """Return the entries to tell."""
    members = node.membership.members
    entry_ids = node.membership.entry_ids
    if len(entry_ids) <= REPORT_TO_ALL_MAX_COUNT:
        return tuple(sorted(entry_ids))
    ranked = rendezvous.rank(node.identity.instance_id, entry_ids)
    near = []
    far = []
    for instance_id in ranked:
        is_near = members[instance_id].identity.zone == node.identity.zone
        (near if is_near else far).append(instance_id)
    chosen = near[:SAME_ZONE_ENTRY_COUNT]
    chosen += far[: SAME_ZONE_ENTRY_COUNT + OTHER_ZONE_ENTRY_COUNT - len(chosen)]
    return tuple(chosen)


def make_report(node) -> data.Report:
    """Return the next report."""
    node.reporting.sequence += 1
    return data.Report(
        identity=node.identity,
        sequence=node.reporting.sequence,
        state=_get_own_state(node),
        relay=_choose_relay(node),
        **_make_serving_fields(node),
        **_make_progress_fields(node),
    )


def on_tick(node, event: events.Tick) -> member_states.Outputs:
    """Report when due; entries report nothing."""
    if node.identity.role is data.Role.ENTRY:
        return []
    state = node.reporting
    if state.is_choice_due(node.now_s, node.membership.entry_ids):
        before = state.chosen_entry_ids
        state.chosen_entry_ids = choose_entries(node)
        state.full_report_requesters.update(set(state.chosen_entry_ids) - set(before))
    if node.now_s < state.next_report_s:
        return []
    state.next_report_s = node.now_s + REPORT_INTERVAL_S
    return _send_report(node)


def on_change(node, event: data.Event) -> member_states.Outputs:
    """Report at once, because what this process serves has changed."""
    if node.identity.role is data.Role.ENTRY:
        return []
    return _send_report(node)


def on_message(node, event: events.MessageReceived) -> member_states.Outputs:
    """Note who wants a whole report."""
    if isinstance(event.message, FullReportRequest):
        node.reporting.full_report_requesters.add(event.sender.instance_id)
    return []


def _send_report(node) -> member_states.Outputs:
    state = node.reporting
    report = make_report(node)
    short = _make_load_report(state, report)
    if short is None or node.now_s >= state.next_full_report_s:
        short = None
        state.last_full_report = report
        state.next_full_report_s = node.now_s + FULL_REPORT_INTERVAL_S
    found: member_states.Outputs = []
    for instance_id in state.chosen_entry_ids:
        member = node.membership.members.get(instance_id)
        if member is None:
            continue
        message = short
        if short is None:
            message = report
        elif instance_id in state.full_report_requesters:
            message = state.last_full_report
        found.append(effects.Send(member.identity.address, message))
    state.full_report_requesters.clear()
    return found


def _make_load_report(state: State, report: data.Report) -> LoadReport | None:
    """Return the short form of a report, unless more than the load has changed."""
    whole = state.last_full_report
    if whole is None or report.load.limit != whole.load.limit:
        return None
    same = msgspec.structs.replace(report, sequence=whole.sequence, load=whole.load)
    if same != whole:
        return None
    load = (report.load.running, report.load.queued, report.load.service_time_s)
    return LoadReport(report.sequence, whole.sequence, load)


def _choose_relay(node) -> data.InstanceId:
    """Return which entry passes the reports on, when not all get them."""
    chosen = node.reporting.chosen_entry_ids
    if not chosen or len(node.membership.entry_ids) <= REPORT_TO_ALL_MAX_COUNT:
        return data.InstanceId("")
    return chosen[0]


def _get_own_state(node) -> data.MemberState:
    orders = getattr(node, "orders", None)
    draining = getattr(orders, "draining", False)
    if draining or node.membership.leaving:
        return data.MemberState.LEAVING
    return data.MemberState.LIVE


def _make_serving_fields(node) -> dict[str, object]:
    """Return the fields of a report that tell what is served."""
    found: dict[str, object] = {}
    if getattr(node, "admission", None) is not None:
        found["load"] = admission.current_load(node)
    config = getattr(node, "config", None)
    found["revision"] = getattr(config, "revision", data.Revision(0))
    orders = getattr(node, "orders", None)
    found["fence"] = getattr(orders, "fence", data.FencingNumber(0))
    found["kind"] = getattr(orders, "kind", data.ServiceKind.MODEL)
    found["offers"] = getattr(orders, "service", data.ServiceName(""))
    serving = getattr(orders, "serving", None)
    if serving is None:
        return found
    for name in ("service", "kind", "model", "version", "manifest_hash", "adapters"):
        found[name] = getattr(serving, name)
    return found


def _make_progress_fields(node) -> dict[str, object]:
    """Return the fields of a report that tell of a version being moved."""
    transfer = getattr(node, "transfer", None)
    if transfer is None:
        return {}
    return {
        "target_version": transfer.target_version,
        "staged_chunks": transfer.staged_chunks,
        "target_chunks": transfer.target_chunks,
    }


HANDLERS = {
    events.Tick: on_tick,
    events.MessageReceived: on_message,
    events.ServingChanged: on_change,
    events.DrainStarted: on_change,
}
