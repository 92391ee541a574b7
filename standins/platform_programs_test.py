"""Runs the platform's programs as processes against stand-ins of what they call."""

import asyncio
import http.client
import itertools
import json
import time
from typing import NamedTuple

import testtools

from standins import crash_check, platform_deployment, platform_engine
from toucanspread.ops import loop

ATTEMPT_ID = "9c41d07be2a35f68"
CALL_TIMEOUT_S = 5.0
CRASHING_PART = "c0de"
SOUND_PART = "50fa"
OTHER_CRASHING_PART = "c1de"
OTHER_SOUND_PART = "51fa"
CRASH_REQUEST_INTERVAL_S = 0.3  # for each entry
CRASHING_S = 7.0
LIMIT_SPAN_S = 4.0  # in which the platform counts the requests under a limit


class Answer(NamedTuple):
    status: int
    headers: http.client.HTTPMessage
    body: bytes


NO_ANSWER = Answer(0, http.client.HTTPMessage(), b"")


def run(coroutine):
    """Run a coroutine on the loop that also serves the stand-ins."""
    return loop.EVENT_LOOP.run_until_complete(coroutine)


def send_blocking(address, method, target, body, headers):
    connection = http.client.HTTPConnection(address, timeout=CALL_TIMEOUT_S)
    try:
        connection.request(method, target, body, headers)
        response = connection.getresponse()
        return Answer(response.status, response.headers, response.read())
    except (OSError, http.client.HTTPException):
        return NO_ANSWER
    finally:
        connection.close()


async def get(address, target):
    return await asyncio.to_thread(send_blocking, address, "GET", target, None, {})


async def send_request(
    entry,
    target,
    key=platform_deployment.KEY,
    attempt_id=ATTEMPT_ID,
    parts=(),
    body=b"question",
    usage="",
):
    """Send a caller's request to an entry."""
    headers = {
        "Host": platform_deployment.HOST,
        "X-Attempt-Id": attempt_id,
        "X-Timeout-Ms": "3000",
        "X-Tenant": "forged",
        "Api-Key": key,
    }
    if usage:
        headers["X-Token-Usage"] = usage
    if parts:
        ids = [*parts, attempt_id]
        headers["X-Prompt-Prefix"] = ",".join(f"{part}:100" for part in ids)
    address = entry.get_address("front")
    return await asyncio.to_thread(
        send_blocking, address, "POST", target, body, headers
    )


async def have_readiness(entries, status):
    """Return whether readiness checks of all entries get a status."""
    addresses = [entry.get_address("readiness") for entry in entries]
    answers = [await get(address, "/-/readyz") for address in addresses]
    return all(answer.status == status for answer in answers)


class ProgramsTestCase(testtools.TestCase):
    """Starts one deployment for all tests of a class."""

    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        cls.deployment = platform_deployment.Deployment()
        cls.addClassCleanup(lambda: run(cls.deployment.close()))
        cls.start_programs()

    def tearDown(self):
        super().tearDown()
        # Fallbacks of the programs hide exceptions from callers.
        self.assertEqual([], self.deployment.list_faults())

    @classmethod
    def wait_until(cls, probe):
        run(cls.deployment.wait_until(probe))


class RunningProgramsTest(ProgramsTestCase):
    @classmethod
    def start_programs(cls):
        cls.entries = [cls.deployment.start_entry(f"entry-{n}") for n in (1, 2)]
        cls.sidecar = cls.deployment.start_sidecar("side-1")
        cls.wait_until(cls.are_not_ready)
        cls.deployment.write_configuration(3, "/a/", "/old/")
        cls.wait_until(cls.are_ready)

    @classmethod
    async def are_not_ready(cls):
        return await have_readiness(cls.entries, 503)

    @classmethod
    async def are_ready(cls):
        # A sidecar that still starts would read settings that a test has changed.
        has_sidecar_started = cls.deployment.model_engine.report_count > 0
        return has_sidecar_started and await have_readiness(cls.entries, 200)

    def test_entries_are_ready_only_with_a_configuration(self):
        self.assertTrue(run(self.are_ready()))

    def test_both_entries_name_the_addresses_of_both(self):
        async def name_both():
            for entry in self.entries:
                answer = await get(entry.get_address("directory"), target)
                if answer.status != 200:
                    return False
                if sorted(json.loads(answer.body)["addresses"]) != expected:
                    return False
            return True

        target = "/-/resolve?name=jepu9.example&region=gran-area&zone=heredia-a"
        expected = sorted(entry.get_address("front") for entry in self.entries)
        self.wait_until(name_both)

    def test_the_sealed_answer_of_the_engine_is_passed_on_unchanged(self):
        for entry in self.entries:
            answer = run(send_request(entry, "/a/b"))
            self.assertEqual(200, answer.status)
            self.assertEqual(platform_engine.ANSWER_BODY, answer.body)
            self.assertEqual(platform_engine.SEAL, answer.headers["X-Response-Seal"])
            self.assertEqual(ATTEMPT_ID, answer.headers["X-Attempt-Id"])
            self.assertEqual("application/x-own", answer.headers["Content-Type"])

    def test_the_engine_gets_the_request_with_the_team_instead_of_the_key(self):
        for entry in self.entries:
            run(send_request(entry, "/a/b?c=d"))
            received = self.deployment.plain_engine.requests[-1]
            self.assertEqual(("POST", "/a/b?c=d"), (received.method, received.target))
            self.assertEqual(b"question", received.body)
            self.assertEqual(platform_deployment.TENANT, received.headers["x-tenant"])
            self.assertEqual("i-plain", received.headers["x-expect-instance"])
            self.assertNotIn("api-key", received.headers)

    def test_unknown_routes_and_keys_are_refused_without_an_engine(self):
        received_count = len(self.deployment.plain_engine.requests)
        for entry in self.entries:
            self.assertEqual(404, run(send_request(entry, "/none/x")).status)
            self.assertEqual(401, run(send_request(entry, "/a/x", "other")).status)
        self.assertEqual(received_count, len(self.deployment.plain_engine.requests))

    def test_entries_together_keep_to_the_limit_that_an_engine_names(self):
        async def send_to_each():
            return [await send_request(e, "/a/x") for e in self.entries]

        async def is_limit_over():
            engine.limit_per_s = None
            answers = [answer for _ in range(4) for answer in await send_to_each()]
            return all(answer.status == 200 for answer in answers)

        engine = self.deployment.plain_engine
        engine.limit_per_s = 2.0
        run(send_to_each())
        received_count = len(engine.requests)
        end_s = time.monotonic() + LIMIT_SPAN_S
        answers = []
        while time.monotonic() < end_s:
            answers += run(send_to_each())
        received_count = len(engine.requests) - received_count
        self.assertLessEqual(received_count, 1.5 * 2.0 * LIMIT_SPAN_S + 5)
        self.assertGreaterEqual(received_count, 0.5 * 2.0 * LIMIT_SPAN_S)
        rejected = [answer for answer in answers if answer.status != 200]
        self.assertEqual({503}, {answer.status for answer in rejected})
        self.assertTrue(all(answer.headers["Retry-After"] for answer in rejected))
        self.wait_until(is_limit_over)

    def test_entries_are_listed_again_after_the_store_returned_from_a_copy(self):
        async def are_listed_and_serving():
            keys = [f"entries/{entry.name}" for entry in self.entries]
            if None in [state.get(key) for key in keys]:
                return False
            if not all("event=store_returned" in p.log for p in programs):
                return False
            answers = [await send_request(e, "/returned/x") for e in self.entries]
            return all(answer.status == 200 for answer in answers)

        programs = [*self.entries, self.sidecar]
        state = self.deployment.state
        state.return_from_copy(5.0)
        self.deployment.write_configuration(12, "/a/", "/old/", "/returned/")
        self.wait_until(are_listed_and_serving)

    def test_bad_values_in_the_store_do_not_end_the_synchronization(self):
        async def is_new_route_in_force():
            answers = [await send_request(e, "/later/x") for e in self.entries]
            return all(answer.status == 200 for answer in answers)

        state = self.deployment.state
        state.write_unchecked("op/config", b"{}")
        state.write_unchecked("op/version/x", b"\xff")
        state.write_unchecked("servers/i-other", b"[]")
        state.write_unchecked("entries/other", b"")
        for entry in self.entries:
            self.assertEqual(200, run(send_request(entry, "/a/x")).status)
        self.deployment.write_configuration(11, "/a/", "/old/", "/later/")
        self.wait_until(is_new_route_in_force)

    def test_a_new_configuration_comes_into_force_at_both_entries(self):
        async def is_in_force():
            for entry in self.entries:
                added = await send_request(entry, "/new/x")
                removed = await send_request(entry, "/old/x")
                if (added.status, removed.status) != (200, 404):
                    return False
            return True

        for entry in self.entries:
            self.assertEqual(200, run(send_request(entry, "/old/x")).status)
            self.assertEqual(404, run(send_request(entry, "/new/x")).status)
        self.deployment.write_configuration(9, "/a/", "/new/")
        self.wait_until(is_in_force)

    def test_the_sidecar_stays_alive_and_reports_its_engine_to_both_entries(self):
        async def has_read_more_reports():
            return engine.report_count >= report_count + 3

        async def is_engine_used():
            answers = [await send_request(e, "/model/x") for e in self.entries]
            return all(answer.status == 200 for answer in answers)

        engine = self.deployment.model_engine
        report_count = engine.report_count
        self.wait_until(has_read_more_reports)
        self.wait_until(is_engine_used)
        self.assertIsNone(self.sidecar.exit_code, self.sidecar.describe())

    def test_a_named_version_is_staged_from_the_origin_and_ordered(self):
        async def has_switched():
            return engine.version == 2

        engine = self.deployment.model_engine
        self.deployment.name_version(2)
        self.wait_until(has_switched)
        staged = [engine.pieces[number] for number in sorted(engine.pieces)]
        self.assertEqual(platform_deployment.PIECES, staged)
        self.assertEqual(["start"], [order["operation"] for order in engine.orders])

    def test_a_changed_settings_file_is_read_again_by_every_program(self):
        async def have_reloaded():
            return all(f"{seed}," in program.log for program in programs)

        seed = "10.1.0.40:8000"
        programs = [*self.entries, self.sidecar]
        for program in programs:
            program.change_settings(seeds=[seed, "10.2.0.37:8000"])
        self.wait_until(have_reloaded)

    def test_every_program_serves_its_metrics(self):
        for program in [*self.entries, self.sidecar]:
            answer = run(get(program.metrics_address, "/metrics"))
            self.assertEqual(200, answer.status, program.describe())


class CrashingTestCase(ProgramsTestCase):
    """Two entries, and an engine that crashes on some requests."""

    @classmethod
    def start_programs(cls):
        cls.entries = [cls.deployment.start_entry(f"entry-{n}") for n in (1, 2)]
        cls.numbers = itertools.count(1)
        cls.deployment.write_configuration(3, "/a/")
        cls.wait_until(cls.are_ready)

    @classmethod
    async def are_ready(cls):
        if not await have_readiness(cls.entries, 200):
            return False
        answers = [await cls.send(entry, SOUND_PART) for entry in cls.entries]
        return all(answer.status == 200 for answer in answers)

    @classmethod
    async def send(cls, entry, *parts, body=b"question"):
        attempt_id = f"{next(cls.numbers):016x}"
        return await send_request(
            entry, "/a/x", attempt_id=attempt_id, parts=parts, body=body
        )


class CrashingPartTest(CrashingTestCase):
    async def send_for_a_while(self, *parts):
        """Send requests with some parts to all entries, and return the answers."""
        end_s = time.monotonic() + CRASHING_S
        answers = []
        while time.monotonic() < end_s:
            answers += [await self.send(entry, *parts) for entry in self.entries]
            await asyncio.sleep(CRASH_REQUEST_INTERVAL_S)
        return answers

    def test_both_entries_refuse_a_part_that_crashes_the_engine(self):
        engine = self.deployment.plain_engine
        engine.crashing_part = CRASHING_PART
        engine.crashes_s.clear()
        run(self.send_for_a_while(SOUND_PART, CRASHING_PART))
        crashes_s = list(engine.crashes_s)
        self.assertGreater(len(crashes_s), 0)
        known_s = crashes_s[: crash_check.KNOWN_AFTER_CRASH_COUNT][-1]
        later_s = [at_s for at_s in crashes_s if at_s > known_s + crash_check.STABLE_S]
        self.assertEqual([], later_s)
        answers = run(self.send_for_a_while(SOUND_PART, CRASHING_PART))
        self.assertEqual(crashes_s, engine.crashes_s)
        self.assertEqual({503}, {answer.status for answer in answers})

    def test_a_sound_part_that_was_answered_just_before_the_crashes_is_served(self):
        engine = self.deployment.plain_engine
        engine.crashing_part = OTHER_CRASHING_PART
        before = [run(self.send(e, OTHER_SOUND_PART)) for e in self.entries]
        self.assertEqual([200, 200], [answer.status for answer in before])
        run(self.send_for_a_while(OTHER_SOUND_PART, OTHER_CRASHING_PART))
        after = [run(self.send(e, OTHER_SOUND_PART)) for e in self.entries]
        self.assertEqual([200, 200], [answer.status for answer in after])


class CrashingRequestTest(CrashingTestCase):
    async def send_for_a_while(self, body, *parts):
        """Send one request again and again, and sound ones beside it.

        :return: the answers to both.
        """
        end_s = time.monotonic() + CRASHING_S
        crashing, sound = [], []
        while time.monotonic() < end_s:
            for entry in self.entries:
                crashing.append(await self.send(entry, *parts, body=body))
                other_body = b"other %d" % len(sound)
                sound.append(await self.send(entry, *parts, body=other_body))
            await asyncio.sleep(CRASH_REQUEST_INTERVAL_S)
        return crashing, sound

    def check(self, body, *parts):
        engine = self.deployment.plain_engine
        engine.crashing_request = ("/a/x", body)
        engine.crashes_s.clear()
        run(self.send_for_a_while(body, *parts))
        crashes_s = list(engine.crashes_s)
        self.assertGreater(len(crashes_s), 0)
        known_s = crashes_s[: crash_check.REQUEST_KNOWN_AFTER_CRASH_COUNT][-1]
        later_s = [at_s for at_s in crashes_s if at_s > known_s + crash_check.STABLE_S]
        self.assertLessEqual(len(later_s), crash_check.ALLOWED_REQUEST_COUNT)
        crashing, sound = run(self.send_for_a_while(body, *parts))
        self.assertEqual({503}, {answer.status for answer in crashing})
        self.assertEqual({200}, {answer.status for answer in sound})

    def test_both_entries_refuse_a_request_without_parts_that_crashes_the_engine(self):
        self.check(b"crash")

    def test_both_entries_refuse_a_request_of_sound_parts_that_crashes_the_engine(self):
        self.check(b"crash on parts", SOUND_PART)


class EndingProgramsTest(ProgramsTestCase):
    @classmethod
    def start_programs(cls):
        cls.entry = cls.deployment.start_entry("entry-1")
        cls.sidecar = cls.deployment.start_sidecar("side-1")
        cls.deployment.write_configuration(3, "/a/")
        cls.wait_until(cls.are_running)

    @classmethod
    async def are_running(cls):
        has_reports = cls.deployment.model_engine.report_count > 0
        return (
            has_reports and cls.is_listed() and await have_readiness([cls.entry], 200)
        )

    @classmethod
    def is_listed(cls):
        return cls.deployment.state.get("entries/entry-1") is not None

    def check_end(self, program):
        async def has_ended():
            return program.exit_code is not None

        program.terminate()
        self.wait_until(has_ended)
        self.assertEqual(0, program.exit_code, program.describe())

    def test_an_entry_ends_by_itself_on_sigterm_and_is_no_longer_listed(self):
        self.check_end(self.entry)
        self.assertFalse(self.is_listed())

    def test_a_sidecar_ends_by_itself_on_sigterm(self):
        self.check_end(self.sidecar)
