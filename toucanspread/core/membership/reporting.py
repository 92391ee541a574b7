"""Reports of an endpoint process to the entries that it chooses.

A small number of entries all get the reports. Of a larger number, a few are
chosen by rendezvous hashing, some of them in the process's own zone, so that each
entry receives the reports of about the same number of endpoint processes.

A full report is sent when something other than the load has changed, and
periodically; in between, a short :class:`LoadReport` refers to it.
"""

import msgspec

from toucanspread.core import data, effects, events, rendezvous
from toucanspread.core.gate import admission
from toucanspread.core.membership import member_states

REPORT_INTERVAL_S = 1.0
FULL_REPORT_INTERVAL_S = 30.0
REPORT_TO_ALL_MAX_COUNT = 32  # up to this many entries, each gets all reports
SAME_ZONE_ENTRY_COUNT = 2
OTHER_ZONE_ENTRY_COUNT = 1
CHOICE_INTERVAL_S = 1.0


class LoadReport(data.Message, rename={"sequence": "s", "base": "b", "load": "l"}):
    """A report that differs from an earlier full report only in its load.

    :param base: the sequence number of that full report.
    :param load: running and queued requests, and the service time in seconds.
    """

    sequence: int
    base: int
    load: tuple[int, int, float]

    def apply_to(self, full_report: data.Report) -> data.Report:
        """Return the full report with this load and sequence number."""
        running, queued, service_time_s = self.load
        load = data.Load(running, queued, full_report.load.limit, service_time_s)
        return msgspec.structs.replace(full_report, sequence=self.sequence, load=load)


class FullReportRequest(data.Message, tag="ReportWanted"):
    """Requests a full report from an endpoint process."""


class State:
    """The entries to report to, and when the next report is due."""

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
        """Return whether to choose again, because the entries have changed."""
        if now_s < self.next_choice_s:
            return False
        self.next_choice_s = now_s + CHOICE_INTERVAL_S
        if self._ranked_from == entry_ids:
            return False
        self._ranked_from = frozenset(entry_ids)
        return True


def choose_entries(node) -> tuple[data.InstanceId, ...]:
    """Return the entries that get the reports of this process."""
    members = node.membership.members
    entry_ids = node.membership.entry_ids
    if len(entry_ids) <= REPORT_TO_ALL_MAX_COUNT:
        return tuple(sorted(entry_ids))
    ranked = rendezvous.rank(node.identity.instance_id, entry_ids)
    same_zone = []
    other_zones = []
    for instance_id in ranked:
        is_same_zone = members[instance_id].identity.zone == node.identity.zone
        (same_zone if is_same_zone else other_zones).append(instance_id)
    chosen = same_zone[:SAME_ZONE_ENTRY_COUNT]
    chosen += other_zones[
        : SAME_ZONE_ENTRY_COUNT + OTHER_ZONE_ENTRY_COUNT - len(chosen)
    ]
    return tuple(chosen)


def make_report(node) -> data.Report:
    """Return the next report of this process."""
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
    """Send a report when due; entries send none."""
    if node.identity.role is data.Role.ENTRY:
        return []
    state = node.reporting
    if state.is_choice_due(node.now_s, node.membership.entry_ids):
        previous = state.chosen_entry_ids
        state.chosen_entry_ids = choose_entries(node)
        state.full_report_requesters.update(set(state.chosen_entry_ids) - set(previous))
    if node.now_s < state.next_report_s:
        return []
    state.next_report_s = node.now_s + REPORT_INTERVAL_S
    return _send_report(node)


def on_change(node, event: data.Event) -> member_states.Outputs:
    """Send a report at once, because what this process serves has changed."""
    if node.identity.role is data.Role.ENTRY:
        return []
    return _send_report(node)


def on_message(node, event: events.MessageReceived) -> member_states.Outputs:
    """Record a request for a full report."""
    if isinstance(event.message, FullReportRequest):
        node.reporting.full_report_requesters.add(event.sender.instance_id)
    return []


def _send_report(node) -> member_states.Outputs:
    state = node.reporting
    report = make_report(node)
    load_report = _make_load_report(state, report)
    if load_report is None or node.now_s >= state.next_full_report_s:
        load_report = None
        state.last_full_report = report
        state.next_full_report_s = node.now_s + FULL_REPORT_INTERVAL_S
    outputs: member_states.Outputs = []
    for instance_id in state.chosen_entry_ids:
        member = node.membership.members.get(instance_id)
        if member is None:
            continue
        message = load_report
        if load_report is None:
            message = report
        elif instance_id in state.full_report_requesters:
            message = state.last_full_report
        outputs.append(effects.Send(member.identity.address, message))
    state.full_report_requesters.clear()
    return outputs


def _make_load_report(state: State, report: data.Report) -> LoadReport | None:
    """Return the load report, or None if more than the load has changed."""
    base = state.last_full_report
    if base is None or report.load.limit != base.load.limit:
        return None
    with_base_load = msgspec.structs.replace(
        report, sequence=base.sequence, load=base.load
    )
    if with_base_load != base:
        return None
    load = (report.load.running, report.load.queued, report.load.service_time_s)
    return LoadReport(report.sequence, base.sequence, load)


def _choose_relay(node) -> data.InstanceId:
    """Return the entry that relays the reports; empty when all entries get them."""
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
    """Return the fields of a report that describe what is served."""
    fields: dict[str, object] = {}
    if getattr(node, "admission", None) is not None:
        fields["load"] = admission.get_load(node)
    config = getattr(node, "config", None)
    fields["revision"] = getattr(config, "revision", data.Revision(0))
    orders = getattr(node, "orders", None)
    fields["fence"] = getattr(orders, "fence", data.FencingNumber(0))
    fields["kind"] = getattr(orders, "kind", data.ServiceKind.MODEL)
    fields["offers"] = getattr(orders, "service", data.ServiceName(""))
    serving = getattr(orders, "serving", None)
    if serving is None:
        return fields
    for name in ("service", "kind", "model", "version", "manifest_hash", "adapters"):
        fields[name] = getattr(serving, name)
    return fields


def _make_progress_fields(node) -> dict[str, object]:
    """Return the fields of a report that describe a version being transferred."""
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
