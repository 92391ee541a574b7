"""Runs an entry as a process beside an engine that answers with unknown statuses."""

import time

from standins import platform_engine, platform_programs_test

STATUSES = (104, 199, 600, 700, 999)
SOON_S = 1.5  # the callers' time limit is 3 s


class UnknownStatusTest(platform_programs_test.ProgramsTestCase):
    """Guards against callers that get such an answer, or wait for their time limit."""

    @classmethod
    def start_programs(cls):
        cls.deployment.kinds["/once/"] = "non_idempotent"
        cls.deployment.write_configuration(3, "/a/", "/once/")
        cls.entry = cls.deployment.start_entry("entry-1")
        cls.wait_until(cls.is_ready)

    @classmethod
    async def is_ready(cls):
        return await platform_programs_test.have_readiness([cls.entry], 200)

    def send(self, target, status):
        """Return the answer to a request that the engine answers with a status."""
        engine = self.deployment.plain_engine
        engine.rejection = platform_engine.Rejection(None, status, says_not_run=False)
        sent_s = time.monotonic()
        sending = platform_programs_test.send_request(self.entry, target)
        answer = platform_programs_test.run(sending)
        self.assertLess(time.monotonic() - sent_s, SOON_S, status)
        return answer

    def test_a_request_that_may_not_be_repeated_fails_at_once(self):
        for status in STATUSES:
            self.assertEqual(502, self.send("/once/x", status).status, status)

    def test_no_answer_with_an_unknown_status_reaches_a_caller(self):
        for status in STATUSES:
            self.assertEqual(502, self.send("/a/x", status).status, status)

    def test_the_programs_go_on_and_log_the_status(self):
        self.send("/once/x", 600)
        self.deployment.plain_engine.rejection = None

        async def is_served():
            answer = await platform_programs_test.send_request(self.entry, "/once/x")
            return answer.status == 200

        self.wait_until(is_served)
        self.assertRegex(
            self.entry.log, r"answer_rejected .*unknown status.*status=600"
        )
