"""Failures in any order, with the real reducers of a small fleet in virtual time.

``TOUCANSPREAD_EXAMPLES=500`` makes a longer run with new random choices.
"""

import os

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from standins import agreement_simulation
from toucanspread.core import data, effects
from toucanspread.core.agreement import change_log, confirmations
from toucanspread.core.agreement.agreement_test import confirmation, intent

EXAMPLES = int(os.environ.get("TOUCANSPREAD_EXAMPLES", "0"))
SERVICES = ("pool", "desk")
FLOOR = 1
ENTRIES = tuple(f"entry-{index}" for index in range(4))
ENGINES = tuple(f"engine-{index}" for index in range(5))
ZONES = (("brest-a", "finistere"), ("vannes-a", "morbihan"))
DETECTION_DELAY_S = 10.0  # the controller may not know of a more recent death


class RecordingKeyValue(agreement_simulation.FakeKeyValue):
    """A fake key-value service that records every accepted change."""

    def __init__(self):
        super().__init__()
        self.changes: dict[data.Revision, data.Change] = {}

    def _write(self, effect):
        answer = super()._write(effect)
        if effect.key == change_log.HEAD_KEY and answer.status is data.KvStatus.OK:
            head = change_log.decode_head(effect.value)
            for change in head.changes[-1:]:
                known = self.changes.setdefault(change.revision, change)
                assert known == change, f"two changes at {change.revision}"
        return answer


class Fleet(agreement_simulation.Fleet):
    """Checks revisions and floors at every step of every process."""

    def __init__(self, seed):
        super().__init__(seed)
        self.kv = RecordingKeyValue()
        self.highest_revisions: dict = {}
        self.dead_processes: list[tuple[float, str, str]] = []
        self.served: dict[str, str] = {}

    def post(self, name, event):
        super().post(name, event)
        node = self.nodes.get(name)
        if node is None:
            return
        key = (name, node.identity.incarnation)
        before = self.highest_revisions.get(key, 0)
        assert node.config.revision >= before, f"{name} went back from {before}"
        self.highest_revisions[key] = node.config.revision
        if node.identity.role is data.Role.ENDPOINT:
            self._check_floor(node)

    def _check_floor(self, node):
        name = node.identity.instance_id
        before = self.served.get(name, "")
        now = self._served_service(node)
        self.served[name] = now
        if before in ("", now) or self._is_leaving_for_a_window(node):
            return
        if before not in self._services_with_floor():
            return
        assert self._count_whole_replicas(before) >= FLOOR, (
            f"{before} is below its floor"
        )

    def _served_service(self, node):
        serving = node.orders.serving
        if serving is None or node.orders.draining:
            return ""
        return serving.service

    def _is_leaving_for_a_window(self, node):
        return any(
            departure.instance_id == node.identity.instance_id
            and self.now_s + agreement_simulation.WALL_START_S
            >= departure.window_start_s - 130.0
            for each in node.config.intents.values()
            for departure in each.departures
        )

    def _services_with_floor(self):
        """Return the services that every process has in force with a floor above 0."""
        services = set(SERVICES)
        for node in self.nodes.values():
            intents = node.config.intents
            services &= {name for name, each in intents.items() if each.floor}
        return services

    def _count_whole_replicas(self, service):
        count = sum(served == service for served in self.served.values())
        for died_s, _, served in self.dead_processes:
            if served == service and self.now_s - died_s < DETECTION_DELAY_S:
                count += 1
        return count

    def kill(self, name):
        served = self.served.pop(name, "")
        self.dead_processes.append((self.now_s, name, served))
        self.remove(name)


class AgreementMachine(stateful.RuleBasedStateMachine):
    """Operators, processes, links and the service, each failing at any time."""

    @stateful.initialize(seed=st.integers(0, 1 << 16))
    def start(self, seed):
        self.fleet = Fleet(seed)
        self.count = 0
        self.saved = None
        self.departed = set()
        for names, role in (
            (ENTRIES, data.Role.ENTRY),
            (ENGINES, data.Role.ENDPOINT),
        ):
            for index, name in enumerate(names):
                self.fleet.add(name, role, *ZONES[index % 2])
        self.fleet.run(3.0)

    @stateful.rule(
        entry=st.sampled_from(ENTRIES),
        other=st.none() | st.sampled_from(ENTRIES),
        service=st.sampled_from(SERVICES),
        replicas=st.integers(FLOOR, 3),
        digit=st.sampled_from("abc"),
        remove=st.integers(0, 7).map(lambda number: number == 0),
        leaves=st.integers(0, 3).map(lambda number: number == 0),
        lose=st.sampled_from((0, 0, 0, 1, 2)),
        drop=st.sampled_from((0, 0, 0, 1)),
        seconds=st.sampled_from((0.0, 1.0, 12.0)),
    )
    def operators_confirm(
        self,
        entry,
        other,
        service,
        replicas,
        digit,
        remove,
        leaves,
        lose,
        drop,
        seconds,
    ):
        departures = self.departures(service) if leaves else ()
        self.fleet.kv.lose_answers = lose
        self.fleet.kv.drop_writes = drop
        for name in (entry, other):
            if name not in self.fleet.nodes:
                continue
            self.count += 1
            base = self.fleet.nodes[name].config.revision
            operation = f"op-{self.count}"
            if remove:
                request = confirmation(base, removed=(service,), operation=operation)
            else:
                wanted = intent(
                    service, replicas, FLOOR, digit * 64, departures=departures
                )
                request = confirmation(base, wanted, operation=operation)
            self.fleet.post(name, request)
            replicas += 1
        self.fleet.run(seconds)

    def departures(self, service):
        """Return the departure of an instance that serves now, if there is one."""
        for name, served in sorted(self.fleet.served.items()):
            if served == service:
                self.departed.add(name)
                start_s = agreement_simulation.WALL_START_S + self.fleet.now_s + 400.0
                return (data.Departure(name, start_s, start_s + 1e6),)
        return ()

    @stateful.rule(seconds=st.sampled_from((0.1, 1.0, 5.0, 15.0, 30.0)))
    def time_passes(self, seconds):
        self.fleet.run(seconds)

    @stateful.rule(
        up=st.booleans(), delay_s=st.floats(0.002, 3.0), seconds=st.floats(0.0, 5.0)
    )
    def service_changes(self, up, delay_s, seconds):
        self.fleet.kv.is_up = up
        self.fleet.kv.delay_s = delay_s
        self.fleet.run(seconds)

    @stateful.rule(
        watches=st.booleans(),
        loss=st.sampled_from((0.0, 0.1, 0.4)),
        cut=st.booleans(),
        service_too=st.booleans(),
        seconds=st.floats(0.0, 20.0),
    )
    def links_fail(self, watches, loss, cut, service_too, seconds):
        fleet = self.fleet
        if watches:
            fleet.kv.watches.clear()
        fleet.loss_ratio = loss
        fleet.partitions.clear()
        fleet.kv_cut_regions.clear()
        if cut:
            fleet.partitions.add(frozenset(("finistere", "morbihan")))
        if service_too:
            fleet.kv_cut_regions.add("morbihan")
        fleet.run(seconds)

    @stateful.rule()
    def service_is_saved(self):
        self.saved = self.fleet.kv.save()

    @stateful.precondition(lambda self: self.saved is not None)
    @stateful.rule()
    def service_is_restored(self):
        # A restored service lacks later changes, and those that no process holds are
        # lost. A change needs seconds to be in force, so this waits until all hold it.
        self.repair_all()
        self.fleet.run(20.0)
        self.fleet.kv.values = self.saved
        self.saved = None

    @stateful.rule(
        name=st.sampled_from(ENTRIES + ENGINES),
        seconds=st.integers(0, 20),
        unfreezes=st.booleans(),
    )
    def process_freezes(self, name, seconds, unfreezes):
        self.fleet.frozen.add(name)
        self.fleet.run(seconds)
        if unfreezes:
            self.fleet.frozen.clear()

    @stateful.rule(name=st.sampled_from(ENTRIES + ENGINES), comes_back=st.booleans())
    def process_dies(self, name, comes_back):
        is_entry = name in ENTRIES and name in self.fleet.nodes
        if is_entry and not self.another_entry_has_the_newest_revision(name):
            return
        if comes_back:
            self.restart(name)
        elif name in self.fleet.nodes:
            self.fleet.kill(name)

    @stateful.rule(seconds=st.floats(0.0, 20.0))
    def all_faults_are_repaired(self, seconds):
        self.repair_all()
        for name in ENTRIES + ENGINES:
            if name not in self.fleet.nodes:
                self.restart(name)
        self.fleet.run(seconds)

    def another_entry_has_the_newest_revision(self, name):
        """Return whether another running entry holds the newest revision."""
        newest = max(node.config.revision for node in self.fleet.list_entries())
        for node in self.fleet.list_entries():
            identity = node.identity.instance_id
            if identity == name or identity in self.fleet.frozen:
                continue
            if node.config.revision == newest:
                return True
        return False

    def restart(self, name):
        if name in self.fleet.nodes:
            self.fleet.kill(name)
        names = ENTRIES if name in ENTRIES else ENGINES
        role = data.Role.ENTRY if name in ENTRIES else data.Role.ENDPOINT
        self.fleet.add(name, role, *ZONES[names.index(name) % 2])

    def repair_all(self):
        fleet = self.fleet
        fleet.kv.is_up = True
        fleet.kv.delay_s = 0.002
        fleet.kv.lose_answers = fleet.kv.drop_writes = 0
        fleet.loss_ratio = 0.0
        fleet.partitions.clear()
        fleet.kv_cut_regions.clear()
        fleet.frozen.clear()

    @stateful.invariant()
    def an_acceptance_is_proved(self):
        if not hasattr(self, "fleet"):
            return
        for answer in self.fleet.answers:
            if answer.verdict is not confirmations.Verdict.ACCEPTED:
                continue
            assert answer.revision in self.fleet.kv.changes

    def teardown(self):
        if not hasattr(self, "fleet"):
            return
        self.repair_all()
        for name in ENTRIES + ENGINES:
            if name not in self.fleet.nodes or name in self.departed:
                self.restart(name)
        self.fleet.run(60.0)
        self.check_configuration()
        self.check_verdicts()

    def check_configuration(self):
        expected = {}
        changes = self.fleet.kv.changes
        for revision in sorted(changes):
            for stamp in change_log.build_stamps(changes[revision]):
                expected[stamp.service] = stamp
        newest = max(changes, default=0)
        for node in self.fleet.nodes.values():
            state = node.config
            assert state.revision == newest, (node.identity, state.revision, newest)
            assert state.stamps == expected

    def check_verdicts(self):
        known = {change.operation_id for change in self.fleet.kv.changes.values()}
        plan_ids = {change.plan_id for change in self.fleet.kv.changes.values()}
        assert len(plan_ids) == len(known)
        for answer in self.fleet.answers:
            if isinstance(answer, effects.Send):
                continue
            if answer.verdict is confirmations.Verdict.NOT_ACCEPTED:
                assert answer.operation_id not in known
            if answer.verdict is confirmations.Verdict.CONFLICT:
                assert answer.operation_id not in known


AgreementTest = AgreementMachine.TestCase
AgreementTest.settings = hypothesis.settings(
    max_examples=EXAMPLES or 25,
    stateful_step_count=30,
    derandomize=not EXAMPLES,
    deadline=None,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
