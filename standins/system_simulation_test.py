"""Checks the guarantees of a whole system during the events that threaten them."""

import collections

import testtools

from standins import system_checks, system_machine
from toucanspread.core import data


def start_machine(seed=1):
    machine = system_machine.SystemMachine()
    machine.start(seed)
    return machine


def count_outcomes(machine):
    counts = collections.Counter()
    for sent in machine.system.sent_requests.values():
        for finish in sent.outcomes:
            counts[finish.outcome, finish.reason] += 1
    return counts


class RolloutTest(testtools.TestCase):
    def test_no_request_is_refused_during_a_rollout(self):
        machine = start_machine()
        for _ in range(4):
            machine.upgrade(0, 0)
            for _ in range(200):
                machine.request(machine.count % system_machine.ENTRY_COUNT, "pool", 1)
                machine.system.run(0.03)
        machine.system.run(10.0)
        done = (data.Outcome.DONE, data.Reason.NONE)
        self.assertEqual({done: machine.count}, dict(count_outcomes(machine)))
        system_checks.check_converged(machine.system)
