"""All entries together stay within the bound on further dispatches."""

import testtools

from toucanspread.core import data
from toucanspread.core.entry import retry_budget

SERVICE = data.ServiceName("s")


class SpendingTest(testtools.TestCase):
    def test_the_parts_of_all_entries_stay_within_the_bound(self):
        entries = [retry_budget.RetryBudget(0.2, 200.0, 10.0) for _ in range(18)]
        taken = 0
        for entry in entries:
            for number in range(50):
                entry.record_request(SERVICE, number * 0.1)
            while entry.acquire(SERVICE, 5.0, len(entries)):
                taken += 1
        self.assertGreater(taken, 50)
        self.assertLessEqual(taken, 0.2 * 50 * 18 + 200)

    def test_it_comes_back_with_the_window(self):
        spending = retry_budget.RetryBudget(0.0, 10.0, 10.0)
        while spending.acquire(SERVICE, 0.0, 1):
            pass
        self.assertFalse(spending.acquire(SERVICE, 9.0, 1))
        self.assertTrue(spending.acquire(SERVICE, 10.5, 1))
