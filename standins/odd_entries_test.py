"""Tests that the platform's programs go on beside odd values of other writers."""

import asyncio
import itertools
import json

from standins import platform_deployment, platform_programs_test

SEEN_AFTER_S = 0.5
REQUEST_COUNT = 10
LONG_NUMBER = int("9" * 310)  # beyond the range of a float
LONG_PROMPT = "10000000,5"  # the most tokens that are accepted of a request
LEVEL_COUNT = 100_000
DEEP_LIST = b"[" * LEVEL_COUNT + b"]" * LEVEL_COUNT
run = platform_programs_test.run


def encode_entry(**changed):
    """Return an entry of the service without a model, with some fields changed."""
    entry = {
        "service": "plain",
        "address": "127.0.0.1:9",
        "zone": platform_deployment.ZONE,
        "version": "v1",
        "slots": 16,
        "state": "ready",
        "cold_left_ms": 0,
        "born": 1_771_433_930_076,
        "sequence": 0,
    }
    return json.dumps({**entry, **changed}).encode()


def encode_record(**changed):
    """Return the record of an entry that no other process can reach."""
    record = {
        "name": "odd",
        "zone": platform_deployment.ZONE,
        "region": platform_deployment.REGION,
        "address": "127.0.0.1:9",
        "control": "127.0.0.1:9",
        "reports": "127.0.0.1:9",
    }
    return json.dumps({**record, **changed}).encode()


def nest(value):
    """Return a JSON object with one more field that is deeply nested."""
    return value[:-1] + b', "odd": ' + DEEP_LIST + b"}"


class OddEntriesCase(platform_programs_test.ProgramsTestCase):
    """Two entries and a sidecar that follow a store with odd values."""

    @classmethod
    def start_programs(cls):
        cls.entries = [cls.deployment.start_entry(f"entry-{n}") for n in (1, 2)]
        cls.versions = itertools.count(11)
        cls.sidecar = cls.deployment.start_sidecar("side-1")
        cls.deployment.write_configuration(3, "/a/")
        cls.wait_until(cls.are_serving)

    @classmethod
    async def are_serving(cls):
        return await cls.serve("/a/x") and await cls.serve("/model/x")

    @classmethod
    async def serve(cls, target):
        answers = [
            await platform_programs_test.send_request(e, target) for e in cls.entries
        ]
        return all(answer.status == 200 for answer in answers)

    def check_programs_go_on(self, **values):
        """Check that callers, configurations and new entries do not notice values."""

        async def is_new_route_in_force():
            return await self.serve(f"/v{version}/x")

        version = next(self.versions)
        for name, value in values.items():
            key = name.replace("__", "/")
            self.deployment.state.write_unchecked(key, value)
        run(asyncio.sleep(SEEN_AFTER_S))
        served = [run(self.serve("/a/x")) for _ in range(REQUEST_COUNT)]
        self.assertEqual([True] * REQUEST_COUNT, served)
        self.deployment.write_configuration(version, "/a/", f"/v{version}/")
        self.wait_until(is_new_route_in_force)
        self.entries.append(self.deployment.start_entry(f"entry-{version}"))
        self.wait_until(self.are_serving)
        self.wait_until(is_new_route_in_force)
        self.assertIsNone(self.sidecar.exit_code, self.sidecar.describe())


class LongNumberTest(OddEntriesCase):
    def test_an_entry_with_a_number_out_of_bounds_takes_no_service_away(self):
        self.check_programs_go_on(
            servers__odd=encode_entry(slots=LONG_NUMBER, sequence=LONG_NUMBER)
        )

    def test_an_entry_with_endless_layers_takes_no_service_away(self):
        models = [
            {
                "name": platform_deployment.MODEL,
                "version": 1,
                "layers": [{"from": 0, "to": 10**12, "version": 1}],
            }
        ]
        entry = encode_entry(service="model", models=models)
        self.check_programs_go_on(servers__odd_layers=entry)


class DeepNestingTest(OddEntriesCase):
    def test_a_deeply_nested_version_does_not_end_the_synchronization(self):
        odd = nest(b'{"model": "odd", "version": 1}')
        self.check_programs_go_on(op__version__odd=odd)

    def test_a_deeply_nested_configuration_does_not_end_the_synchronization(self):
        odd = nest(b'{"version": 10, "routes": [], "services": []}')
        self.check_programs_go_on(op__config=odd)

    def test_a_deeply_nested_entry_does_not_end_the_synchronization(self):
        self.check_programs_go_on(
            servers__odd=nest(encode_entry()), entries__odd=nest(b'{"name": "e"}')
        )


class OddAddressTest(OddEntriesCase):
    def test_an_address_that_nothing_can_connect_to_raises_no_error(self):
        self.check_programs_go_on(
            servers__odd_1=encode_entry(address="a..b:80"),
            servers__odd_2=encode_entry(address=f"{'a' * 70}:80"),
            entries__odd=encode_record(control="a..b:80"),
        )

    def test_an_entry_that_takes_no_datagrams_takes_no_service_away(self):
        self.check_programs_go_on(
            entries__odd_1=encode_record(name="odd-1", reports="localhost:80"),
            entries__odd_2=encode_record(name="odd-2", reports="255.255.255.255:80"),
        )


class PromptClaimTest(OddEntriesCase):
    def test_a_claim_of_many_tokens_takes_an_engine_no_longer_than_its_request(self):
        run(
            platform_programs_test.send_request(
                self.entries[0], "/model/x", usage=LONG_PROMPT
            )
        )
        run(asyncio.sleep(self.deployment.timeout_ms / 1_000 + SEEN_AFTER_S))
        served = [run(self.serve("/model/x")) for _ in range(3)]
        self.assertEqual([True] * 3, served)
