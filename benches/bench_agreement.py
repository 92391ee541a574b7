"""Measures the agreement against fleet size, with real reducers in virtual time.

Prints ``name=value`` lines. Times are virtual: message rounds, not processors, make
them. Processor time is that of the reducers alone, without transports and codecs.
"""

import collections
import sys
import time

import msgspec

from standins import agreement_simulation
from toucanspread.core import data, effects, events, rendezvous
from toucanspread.core.agreement import confirmations, plans, push_schedule

# Entries, endpoint processes, and the share of messages that is lost, late or doubled.
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
CHANGE_INTERVAL_S = 2.0  # 40,000 changes a day are one in 2.2 s
FINAL_SETTLE_S = 12.0
BURST_INTERVAL_S = 0.3
MAX_CONVERGENCE_S = 90.0
ENVELOPE_BYTES = 220  # identity and frame around each message

_encoder = msgspec.msgpack.Encoder()


class BenchFleet(agreement_simulation.Fleet):
    """A large fleet: processes share what their memberships know of the entries."""

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
        """Let each process know the entries, and each entry its endpoints."""
        known = {
            node.identity.instance_id: agreement_simulation.Member(node.identity)
            for node in self.list_entries()
        }
        for node in self.list_entries():
            name = node.identity.instance_id
            node.membership.members = {
                other: member for other, member in known.items() if other != name
            }
            node.membership.entry_ids = set(node.membership.members)
        for node in self.list_endpoints():
            node.membership.members = known
            node.membership.entry_ids = set(known)
            self._choose_report_targets(node)

    def _choose_report_targets(self, node) -> None:
        """Choose the entries that an endpoint process reports to."""
        same_zone = []
        other_zones = []
        for name in rendezvous.rank(node.identity.instance_id, self._entry_names()):
            zone = self.nodes[name].identity.zone
            (same_zone if zone == node.identity.zone else other_zones).append(name)
        chosen = same_zone[: push_schedule.ENTRIES_PER_ENDPOINT // 2]
        chosen += other_zones[: push_schedule.ENTRIES_PER_ENDPOINT - len(chosen)]
        self.report_targets[node.identity.instance_id] = chosen
        for name in chosen:
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
                found = (self.now_s, name, effect.fields["revision"])
                self.applied.append(found)
            return
        super()._carry_out(node, effect)

    def post(self, name: str, event: data.Event) -> None:
        """Feed one event and count the processor time of entries."""
        if self.nodes[name].identity.role is not data.Role.ENTRY:
            super().post(name, event)
            return
        start_s = time.perf_counter()
        super().post(name, event)
        self.entry_step_s += time.perf_counter() - start_s
        self.entry_step_count += 1

    def reset_counters(self) -> None:
        """Start the measurement anew."""
        self.bytes_sent.clear()
        self.messages.clear()
        self.applied.clear()
        self.kv.calls.clear()
        self.kv.read_bytes = 0
        self.entry_step_s = 0.0


def build_fleet(entries: int, endpoints: int) -> BenchFleet:
    """Return a fleet that has been running for a while."""
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
    """Return an intent of the usual size that needs no instance."""
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
    """Let an operator plan and confirm a change at some entry."""
    names = sorted(node.identity.instance_id for node in fleet.list_entries())
    name = names[number * 7 % len(names)]
    base = fleet.nodes[name].config.revision
    intents = (make_intent(number),)
    plan_id = plans.compute_plan_id(base, intents, ())
    request = confirmations.ConfirmRequested(f"op-{number}", base, intents, (), plan_id)
    fleet.post(name, request)


def get_quantile(values: list[float], fraction: float) -> float:
    """Return a quantile of sorted values."""
    return values[min(len(values) - 1, int(fraction * len(values)))]


def measure(entries: int, endpoints: int, loss: float) -> dict[str, float]:
    """Return the figures of one fleet size."""
    fleet = build_fleet(entries, endpoints)
    fleet.loss_ratio = loss
    for number in range(SERVICE_COUNT):
        submit_change(fleet, number)
        fleet.run(BURST_INTERVAL_S)
    burst_s = run_until_converged(fleet)
    fleet.run(FINAL_SETTLE_S)
    fleet.reset_counters()
    start_s = fleet.now_s
    accepted: dict[int, float] = {}
    for number in range(CHANGE_COUNT):
        submit_change(fleet, SERVICE_COUNT + number)
        fleet.run(CHANGE_INTERVAL_S)
    fleet.run(FINAL_SETTLE_S)
    lasted_s = fleet.now_s - start_s
    for at_s, _, revision in fleet.applied:
        accepted[revision] = min(accepted.get(revision, at_s), at_s)
    figures = compute_delays(fleet, accepted)
    figures["level_after_burst_s"] = burst_s
    figures["accepted"] = sum(
        answer.verdict is confirmations.Verdict.ACCEPTED
        for answer in fleet.answers[-CHANGE_COUNT:]
    )
    figures["behind"] = sum(
        node.config.revision != max(accepted) for node in fleet.nodes.values()
    )
    for kind, count in sorted(fleet.kv.calls.items()):
        figures[f"service_{kind}_per_s"] = count / lasted_s
    figures["service_calls_per_s"] = sum(fleet.kv.calls.values()) / lasted_s
    figures["service_read_bytes_per_s"] = fleet.kv.read_bytes / lasted_s
    for role, nodes in (
        ("entry", fleet.list_entries()),
        ("endpoint", fleet.list_endpoints()),
    ):
        names = [node.identity.instance_id for node in nodes]
        for what, counter in (
            ("bytes", fleet.bytes_sent),
            ("messages", fleet.messages),
        ):
            rates = sorted(counter[name] / lasted_s for name in names)
            figures[f"{role}_{what}_per_s_mean"] = sum(rates) / len(rates)
            figures[f"{role}_{what}_per_s_max"] = rates[-1]
    figures["entry_reducers_percent_of_core"] = (
        100 * fleet.entry_step_s / lasted_s / entries
    )
    return figures


def run_until_converged(fleet: BenchFleet) -> float:
    """Return how long it takes until all processes hold the same revision."""
    start_s = fleet.now_s
    while fleet.now_s - start_s < MAX_CONVERGENCE_S:
        if len({node.config.revision for node in fleet.nodes.values()}) == 1:
            break
        fleet.run(0.5)
    return fleet.now_s - start_s


def compute_delays(fleet: BenchFleet, accepted: dict[int, float]) -> dict[str, float]:
    """Return when each process had each revision or a higher one in force."""
    reached: dict[str, list[tuple[int, float]]] = {}
    for at_s, name, revision in fleet.applied:
        reached.setdefault(name, []).append((revision, at_s))
    figures = {}
    for role, nodes in (
        ("entry", fleet.list_entries()),
        ("endpoint", fleet.list_endpoints()),
    ):
        values = []
        for node in nodes:
            steps = iter(reached.get(node.identity.instance_id, []))
            in_force, at_s = next(steps, (0, 0.0))
            for revision in sorted(accepted):
                while in_force < revision:
                    in_force, at_s = next(steps, (sys.maxsize, float("inf")))
                values.append(at_s - accepted[revision])
        values.sort()
        figures[f"{role}_in_force_s_p50"] = get_quantile(values, 0.5)
        figures[f"{role}_in_force_s_p99"] = get_quantile(values, 0.99)
        figures[f"{role}_in_force_s_max"] = values[-1]
    return figures


def main() -> int:
    """Print the figures of every fleet size."""
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
