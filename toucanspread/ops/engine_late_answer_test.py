"""Tests over loopback that an engine's late answer is not taken for the next one."""

import asyncio

import testtools

from standins import repeating_server, running_reactor
from toucanspread.core import data, effects
from toucanspread.ops import engine, loop

CLOSE_S = 0.02  # until both ends of a connection are closed
CHUNK_HASH = data.ChunkHash("0" * 64)


class LateAnswerTest(testtools.TestCase):
    """The engine answers with prepared statuses, and repeats each answer."""

    def setUp(self):
        super().setUp()
        running_reactor.start(self)

    async def answer(self, method, target):
        return self.statuses.pop(0), b""

    def call(self, statuses, *calls):
        """Return the results of calls of a client."""

        async def call_all():
            server = repeating_server.RepeatingServer(self.answer)
            client = engine.HttpEngine.from_config(data.Address(await server.start()))
            results = [await call(client) for call in calls]
            await client.close()
            server.server.close()
            await asyncio.sleep(CLOSE_S)
            return results

        self.statuses = statuses
        return loop.EVENT_LOOP.run_until_complete(call_all())

    def test_a_refused_order_does_not_count_as_accepted_by_the_answer_before(self):
        order = effects.EngineOrder("o", data.OrderKind.LOAD, 1, "m", "v", "h")
        results = self.call(
            [200, 409],
            lambda client: client.put_chunk(CHUNK_HASH, b"a"),
            lambda client: client.send_order(order),
        )
        self.assertFalse(results[1].accepted)
