"""Runs entries as processes while a zone is evacuated, and with allowed regions."""

import asyncio
import time

from standins import platform_deployment, platform_programs_test

EVACUATION_S = 5.0  # until nothing reaches the zone any more
WATCHED_S = 2.0
REQUEST_INTERVAL_S = 0.05
STORE_FAILURE = 503
ZONE = platform_deployment.ZONE


class EvacuationTestCase(platform_programs_test.ProgramsTestCase):
    """One entry, an engine in its zone and another one in another region."""

    @classmethod
    def start_programs(cls):
        other_zone = platform_deployment.OTHER_ZONE
        cls.near_engine = cls.deployment.plain_engine
        cls.far_engine = cls.deployment.add_plain_engine("i-far", other_zone)
        region = platform_deployment.OTHER_REGION
        cls.deployment.allowed_regions["/restricted/"] = [region]
        cls.deployment.write_configuration(3, "/a/", "/restricted/")
        cls.start_entry()

    @classmethod
    def start_entry(cls):
        cls.entry = cls.deployment.start_entry("entry-1")
        cls.wait_until(cls.is_ready)

    @classmethod
    async def is_ready(cls):
        return await platform_programs_test.have_readiness([cls.entry], 200)

    @classmethod
    async def send(cls, target="/a/x"):
        return await platform_programs_test.send_request(cls.entry, target)

    async def is_near_engine_used(self):
        count = len(self.near_engine.requests)
        await self.send()
        return len(self.near_engine.requests) > count

    def send_for(self, duration_s, target="/a/x"):
        """Send requests for a while; return the statuses of the answers."""

        async def send_all():
            end_s = time.monotonic() + duration_s
            while time.monotonic() < end_s:
                statuses.append((await self.send(target)).status)
                await asyncio.sleep(REQUEST_INTERVAL_S)

        statuses = []
        platform_programs_test.run(send_all())
        return statuses


class EvacuationTest(EvacuationTestCase):
    def test_an_evacuated_zone_gets_nothing_until_it_is_taken_back(self):
        self.wait_until(self.is_near_engine_used)
        self.deployment.evacuate(ZONE)
        self.send_for(EVACUATION_S)
        self.assert_only_far_engine_is_used()

        # The evacuation is read from the store again, not from the process's memory.
        self.restart_entry()
        self.wait_until(self.is_ready)
        self.assert_only_far_engine_is_used()

        # The last copy counts; an error is no sign that the key was deleted.
        self.deployment.fail_store(STORE_FAILURE)
        self.assert_only_far_engine_is_used()

        # An entry without a copy of the store sends to no engine.
        self.restart_entry()
        near, far = len(self.near_engine.requests), len(self.far_engine.requests)
        self.assertNotIn(200, self.send_for(WATCHED_S))
        self.assertEqual(near, len(self.near_engine.requests))
        self.assertEqual(far, len(self.far_engine.requests))

        self.deployment.store.failure_status = None
        self.wait_until(self.is_ready)
        self.assert_only_far_engine_is_used()
        self.deployment.take_back(ZONE)
        self.wait_until(self.is_near_engine_used)

    def restart_entry(self):
        self.deployment.kill(self.entry)
        type(self).entry = self.deployment.start_entry("entry-1")

    def assert_only_far_engine_is_used(self):
        near, far = len(self.near_engine.requests), len(self.far_engine.requests)
        statuses = self.send_for(WATCHED_S)
        self.assertEqual({200}, set(statuses))
        self.assertEqual(near, len(self.near_engine.requests))
        self.assertEqual(far + len(statuses), len(self.far_engine.requests))


class AllowedRegionsTest(EvacuationTestCase):
    async def is_served(self):
        return (await self.send("/restricted/x")).status == 200

    def test_a_route_with_allowed_regions_reaches_only_engines_there(self):
        self.wait_until(self.is_near_engine_used)
        self.wait_until(self.is_served)
        near, far = len(self.near_engine.requests), len(self.far_engine.requests)
        statuses = self.send_for(WATCHED_S, "/restricted/x")
        self.assertEqual({200}, set(statuses))
        self.assertEqual(near, len(self.near_engine.requests))
        self.assertEqual(far + len(statuses), len(self.far_engine.requests))

    def test_a_request_is_refused_while_its_allowed_regions_are_evacuated(self):
        async def is_refused():
            return (await self.send("/restricted/x")).status == 503

        other_zone = platform_deployment.OTHER_ZONE
        self.deployment.evacuate(other_zone)
        self.addCleanup(self.deployment.take_back, other_zone)
        self.wait_until(is_refused)
        near, far = len(self.near_engine.requests), len(self.far_engine.requests)
        self.assertEqual({503}, set(self.send_for(WATCHED_S, "/restricted/x")))
        answer = platform_programs_test.run(self.send("/restricted/x"))
        self.assertTrue(answer.headers["Retry-After"])
        self.assertEqual(near, len(self.near_engine.requests))
        self.assertEqual(far, len(self.far_engine.requests))
