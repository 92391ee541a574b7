"""Measures the agreement by fleet size, with the real reducers in virtual time.

Prints ``name=value`` lines. Times are virtual: they depend on message rounds, not on
processor speed. Processor time is that of the reducers alone, without transports and
codecs.
"""

import collections
import sys
import time

import msgspec

from standins import agreement_simulation
from toucanspread.core import data, effects, events, rendezvous
from toucanspread.core.agreement import confirmations, plans, push_schedule

# Entries, endpoint processes, and the ratio of messages lost, delayed or duplicated.
FLEET_SIZES = (
    (20, 11, 0.0),
    (20, 400, 0.0),
    (100, 2000, 0.0),
    (100, 2000, 0.05),
    (350, 7500, 0.0),
)
REGIONS = ("gran-area", "caribe")
ZONE_COUNT = 5
SERVICE_COUNT = 40
SETTLE_S = 12.0
CHANGE_COUNT = 20
CHANGE_INTERVAL_S = 2.0  # 40,000 changes a day are one every 2.2 s
FINAL_SETTLE_S = 12.0
BURST_INTERVAL_S = 0.3
MAX_CONVERGENCE_S = 90.0
ENVELOPE_BYTES = 220  # identity and framing of each message

_encoder = msgspec.msgpack.Encoder()


class BenchFleet(agreement_simulation.Fleet):
    """A fleet that scales: all endpoint processes share one view of the entries."""

    def __init__(self, seed: int):
        super().__init__(seed)
        self.report_targets: dict[str, list] = {}
        self.bytes_sent: collections.Counter = collections.Counter()
        self.messages: collections.Counter = collections.Counter()
        self.entry_step_s = 0.0
        self.entry_step_count = 0
        self.applied: list[tuple[float, str, int]] = []

    def _update_memberships(self) -> None:
        return

    def connect(self) -> None:
        """Fill the memberships: entries everywhere, endpoints where they report."""
        entry_members = {
            node.identity.instance_id: agreement_simulation.Member(node.identity)
            for node in self.list_entries()
        }
        for node in self.list_entries():
            name = node.identity.instance_id
            node.membership.members = {
                other: member
                for other, member in entry_members.items()
                if other != name
            }
            node.membership.entry_ids = set(node.membership.members)
        for node in self.list_endpoints():
            node.membership.members = entry_members
            node.membership.entry_ids = set(entry_members)
            self._choose_report_targets(node)

    def _choose_report_targets(self, node) -> None:
        """Choose the entries to which an endpoint process reports.

        Up to half of them are in the endpoint's zone.
        """
        same_zone = []
        other_zones = []
        for name in rendezvous.rank(node.identity.instance_id, self._entry_names()):
            zone = self.nodes[name].identity.zone
            (same_zone if zone == node.identity.zone else other_zones).append(name)
        targets = same_zone[: push_schedule.ENTRIES_PER_ENDPOINT // 2]
        targets += other_zones[: push_schedule.ENTRIES_PER_ENDPOINT - len(targets)]
        self.report_targets[node.identity.instance_id] = targets
        for name in targets:
            member = agreement_simulation.Member(node.identity)
            members = self.nodes[name].membership.members
            members[node.identity.instance_id] = member

    def _entry_names(self) -> list:
        return [node.identity.instance_id for node in self.list_entries()]

    def _deliver_reports(self) -> None:
        for node in self.list_endpoints():
            report = self._make_report(node)
            event = events.ReportReceived(report)
            for name in self.report_targets[node.identity.instance_id]:
                members = self.nodes[name].membership.members
                members[node.identity.instance_id].report = report
                self._schedule_event(self.random.random(), name, event)

    def _send(self, node, effect: effects.Send) -> None:
        size = len(_encoder.encode(effect.message)) + ENVELOPE_BYTES
        for name in (node.identity.instance_id, effect.to):
            self.bytes_sent[name] += size
            self.messages[name] += 1
        super()._send(node, effect)

    def _carry_out(self, node, effect: data.Effect) -> None:
        if isinstance(effect, effects.Log):
            if effect.event == "config_applied":
                name = node.identity.instance_id
                applied_revision = (self.now_s, name, effect.fields["revision"])
                self.applied.append(applied_revision)
            return
        super()._carry_out(node, effect)

    def post(self, name: str, event: data.Event) -> None:
        """Apply one event to a process; entries are timed."""
        if self.nodes[name].identity.role is not data.Role.ENTRY:
            super().post(name, event)
            return
        start_s = time.perf_counter()
        super().post(name, event)
        self.entry_step_s += time.perf_counter() - start_s
        self.entry_step_count += 1

    def reset_counters(self) -> None:
        """Reset the counters at the start of a measurement."""
        self.bytes_sent.clear()
        self.messages.clear()
        self.applied.clear()
        self.kv.calls.clear()
        self.kv.read_bytes = 0
        self.entry_step_s = 0.0


def build_fleet(entries: int, endpoints: int) -> BenchFleet:
    """Return a fleet that has run for ``SETTLE_S``."""
    fleet = BenchFleet(7)
    for role, prefix, count in (
        (data.Role.ENTRY, "entry", entries),
        (data.Role.ENDPOINT, "engine", endpoints),
    ):
        for index in range(count):
            zone = index % ZONE_COUNT
            region = REGIONS[zone % len(REGIONS)]
            fleet.add(f"{prefix}-{index}", role, f"zone-{zone}", region)
    fleet.connect()
    fleet.run(SETTLE_S)
    return fleet


def make_intent(number: int) -> data.Intent:
    """Return an intent of typical size that requires no replicas."""
    teams = tuple(data.TeamShare(f"team-{each}", 1.0) for each in range(10))
    digits = f"{number:064x}"
    return data.Intent(
        f"service-{number % SERVICE_COUNT}",
        data.ServiceKind.MODEL,
        0,
        0,
        tuple(f"zone-{zone}" for zone in range(ZONE_COUNT)),
        model="redactor",
        version=f"2026-12-{number}",
        manifest_hash=digits,
        adapters=("cartas", "resumenes"),
        teams=teams,
    )


def submit_change(fleet: BenchFleet, number: int) -> None:
    """Plan and confirm a change as an operator does, at one of the entries."""
    names = sorted(node.identity.instance_id for node in fleet.list_entries())
    name = names[number * 7 % len(names)]
    base_revision = fleet.nodes[name].config.revision
    intents = (make_intent(number),)
    plan_id = plans.compute_plan_id(base_revision, intents, ())
    request = confirmations.ConfirmRequested(
        f"op-{number}", base_revision, intents, (), plan_id
    )
    fleet.post(name, request)


def get_quantile(values: list[float], fraction: float) -> float:
    """Return a quantile of values in ascending order."""
    return values[min(len(values) - 1, int(fraction * len(values)))]


def measure(entries: int, endpoints: int, loss: float) -> dict[str, float]:
    """Return the measurements of one fleet size."""
    fleet = build_fleet(entries, endpoints)
    fleet.loss_ratio = loss
    for number in range(SERVICE_COUNT):
        submit_change(fleet, number)
        fleet.run(BURST_INTERVAL_S)
    burst_s = run_until_converged(fleet)
    fleet.run(FINAL_SETTLE_S)
    fleet.reset_counters()
    start_s = fleet.now_s
    first_applied_s: dict[int, float] = {}
    for number in range(CHANGE_COUNT):
        submit_change(fleet, SERVICE_COUNT + number)
        fleet.run(CHANGE_INTERVAL_S)
    fleet.run(FINAL_SETTLE_S)
    elapsed_s = fleet.now_s - start_s
    for at_s, _, revision in fleet.applied:
        first_applied_s[revision] = min(first_applied_s.get(revision, at_s), at_s)
    figures = compute_delays(fleet, first_applied_s)
    figures["level_after_burst_s"] = burst_s
    figures["accepted"] = sum(
        answer.verdict is confirmations.Verdict.ACCEPTED
        for answer in fleet.answers[-CHANGE_COUNT:]
    )
    figures["behind"] = sum(
        node.config.revision != max(first_applied_s) for node in fleet.nodes.values()
    )
    for kind, count in sorted(fleet.kv.calls.items()):
        figures[f"service_{kind}_per_s"] = count / elapsed_s
    figures["service_calls_per_s"] = sum(fleet.kv.calls.values()) / elapsed_s
    figures["service_read_bytes_per_s"] = fleet.kv.read_bytes / elapsed_s
    for role, nodes in (
        ("entry", fleet.list_entries()),
        ("endpoint", fleet.list_endpoints()),
    ):
        names = [node.identity.instance_id for node in nodes]
        for quantity, counter in (
            ("bytes", fleet.bytes_sent),
            ("messages", fleet.messages),
        ):
            rates = sorted(counter[name] / elapsed_s for name in names)
            figures[f"{role}_{quantity}_per_s_mean"] = sum(rates) / len(rates)
            figures[f"{role}_{quantity}_per_s_max"] = rates[-1]
    figures["entry_reducers_percent_of_core"] = (
        100 * fleet.entry_step_s / elapsed_s / entries
    )
    return figures


def run_until_converged(fleet: BenchFleet) -> float:
    """Run until all processes have the same revision, at most ``MAX_CONVERGENCE_S``.

    :returns: the virtual seconds that this takes.
    """
    start_s = fleet.now_s
    while fleet.now_s - start_s < MAX_CONVERGENCE_S:
        if len({node.config.revision for node in fleet.nodes.values()}) == 1:
            break
        fleet.run(0.5)
    return fleet.now_s - start_s


def compute_delays(
    fleet: BenchFleet, first_applied_s: dict[int, float]
) -> dict[str, float]:
    """Return quantiles of the time until a revision or a later one is in force.

    :param accepted: the time at which each revision was first in force anywhere.
    """
    applied_by_process: dict[str, list[tuple[int, float]]] = {}
    for at_s, name, revision in fleet.applied:
        applied_by_process.setdefault(name, []).append((revision, at_s))
    figures = {}
    for role, nodes in (
        ("entry", fleet.list_entries()),
        ("endpoint", fleet.list_endpoints()),
    ):
        delays_s = []
        for node in nodes:
            applied_revisions = iter(
                applied_by_process.get(node.identity.instance_id, [])
            )
            in_force, at_s = next(applied_revisions, (0, 0.0))
            for revision in sorted(first_applied_s):
                while in_force < revision:
                    in_force, at_s = next(
                        applied_revisions, (sys.maxsize, float("inf"))
                    )
                delays_s.append(at_s - first_applied_s[revision])
        delays_s.sort()
        figures[f"{role}_in_force_s_p50"] = get_quantile(delays_s, 0.5)
        figures[f"{role}_in_force_s_p99"] = get_quantile(delays_s, 0.99)
        figures[f"{role}_in_force_s_max"] = delays_s[-1]
    return figures


def main() -> int:
    """Print the measurements of all fleet sizes."""
    for entries, endpoints, loss in FLEET_SIZES:
        prefix = f"{entries}_{endpoints}"
        if loss:
            prefix += f"_loss_{loss:g}"
        start_s = time.perf_counter()
        for name, value in measure(entries, endpoints, loss).items():
            print(f"{prefix}_{name}={value:.4g}", flush=True)
        took_s = time.perf_counter() - start_s
        print(f"{prefix}_run_s={took_s:.3g}", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
