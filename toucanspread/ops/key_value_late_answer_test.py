"""Tests over loopback that no call takes the answer to an earlier one for its own."""

import asyncio

import testtools

from standins import repeating_server, running_reactor
from toucanspread.core import data
from toucanspread.ops import key_value, loop

CLOSE_S = 0.02  # until both ends of a connection are closed


class LateAnswerTest(testtools.TestCase):
    """The service answers with prepared bodies, and repeats each."""

    def setUp(self):
        super().setUp()
        running_reactor.start(self)

    async def answer(self, method, target):
        return 200, self.bodies.pop(0)

    def call(self, bodies, *calls):
        """Return the results of calls of a client."""

        async def call_all():
            server = repeating_server.RepeatingServer(self.answer)
            address = await server.start()
            service = key_value.HttpKeyValueService(f"http://{address}")
            results = [await call(service) for call in calls]
            await service.close()
            server.server.close()
            await asyncio.sleep(CLOSE_S)
            return results

        self.bodies = bodies
        return loop.EVENT_LOOP.run_until_complete(call_all())

    def test_a_refused_delete_is_not_taken_as_done_by_the_answer_to_the_last(self):
        def delete(service):
            return service.delete("k", 1)

        results = self.call([b"true", b"false"], delete, delete)
        self.assertIs(data.KvStatus.CONFLICT, results[1].status)

    def test_each_key_gets_its_own_value(self):
        rows = [
            b'[{"Key":"%b","Value":"%b","ModifyIndex":3}]' % row
            for row in ((b"a", b"YQ=="), (b"b", b"Yg=="))
        ]
        results = self.call(
            rows, lambda service: service.read("a"), lambda service: service.read("b")
        )
        self.assertEqual([b"a", b"b"], [result.value for result in results])
