"""The key-value service is restored to an older state at random moments.

A restore can come before a change is in force everywhere, so an accepted change can be
lost from the service. Each change declares a service of its own; every accepted one has
to be in force at the end.
"""

import random

import hypothesis
import testtools
from hypothesis import strategies as st

from toucanspread.core.agreement import confirmations
from toucanspread.core.agreement.agreement_test import confirmation, intent, make_fleet

STEPS = 25
ACTIONS = ("confirm", "confirm", "save", "restore", "cut", "split")


class RestoredServiceTest(testtools.TestCase):
    @hypothesis.settings(
        max_examples=25, derandomize=True, deadline=None, database=None
    )
    @hypothesis.given(seed=st.integers(0, 1 << 30))
    # A snapshot of another history was mixed with the present one.
    @hypothesis.example(seed=1006)
    def test_accepted_changes_survive_restores(self, seed):
        random_source = random.Random(seed)
        fleet = make_fleet(seed=seed)
        saved = fleet.kv.save()
        for number in range(STEPS):
            action = random_source.choice(ACTIONS)
            if action == "confirm":
                name = random_source.choice(
                    ("entry-0", "entry-1", "entry-2", "entry-3")
                )
                self.confirm(fleet, name, number)
            elif action == "split":
                self.split(fleet, number)
            elif action == "save":
                saved = fleet.kv.save()
            elif action == "restore":
                fleet.kv.values = dict(saved)
            else:
                self.cut(fleet, random_source)
            fleet.run(random_source.choice((0.01, 0.3, 2.0, 8.0)))
        fleet.partitions.clear()
        fleet.kv_cut_regions.clear()
        fleet.run(120.0)
        self.check(fleet)

    def confirm(self, fleet, name, number):
        base = fleet.nodes[name].config.revision
        wanted = intent(f"service-{number}", 0, 0)
        fleet.post(name, confirmation(base, wanted, operation=str(number)))

    def split(self, fleet, number):
        """Let each region accept a change at the same revision."""
        saved = fleet.kv.save()
        fleet.partitions.add(frozenset(("finistere", "morbihan")))
        fleet.kv_cut_regions = {"morbihan"}
        self.confirm(fleet, "entry-0", number)
        fleet.run(0.3)
        fleet.kv.values = saved
        fleet.kv_cut_regions = {"finistere"}
        self.confirm(fleet, "entry-1", number + STEPS)

    def cut(self, fleet, random_source):
        fleet.partitions.clear()
        fleet.kv_cut_regions.clear()
        if random_source.random() < 0.5:
            fleet.partitions.add(frozenset(("finistere", "morbihan")))
            fleet.kv_cut_regions.add(random_source.choice(("finistere", "morbihan")))

    def check(self, fleet):
        accepted = set()
        for answer in fleet.answers:
            if answer.verdict is confirmations.Verdict.ACCEPTED:
                accepted.add(f"service-{answer.operation_id}")
        in_force = {(n.config.revision, n.config.digest) for n in fleet.nodes.values()}
        self.assertEqual(1, len(in_force), in_force)
        for node in fleet.nodes.values():
            lost = accepted - set(node.config.intents)
            self.assertEqual(set(), lost)
