"""Tests that all entries together stay within the limit on retries."""

import testtools

from toucanspread.core import data
from toucanspread.core.entry import retry_budget

SERVICE = data.ServiceName("s")


class RetryBudgetTest(testtools.TestCase):
    def test_retries_of_all_entries_stay_within_the_limit(self):
        entries = [retry_budget.RetryBudget(0.2, 200.0, 10.0) for _ in range(18)]
        acquired = 0
        for entry in entries:
            for number in range(50):
                entry.record_request(SERVICE, number * 0.1)
            while entry.acquire(SERVICE, 5.0, len(entries)):
                acquired += 1
        self.assertGreater(acquired, 50)
        self.assertLessEqual(acquired, 0.2 * 50 * 18 + 200)

    def test_allowance_is_available_again_after_the_window(self):
        budget = retry_budget.RetryBudget(0.0, 10.0, 10.0)
        while budget.acquire(SERVICE, 0.0, 1):
            pass
        self.assertFalse(budget.acquire(SERVICE, 9.0, 1))
        self.assertTrue(budget.acquire(SERVICE, 10.5, 1))
