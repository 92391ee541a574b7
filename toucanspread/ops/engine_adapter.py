"""Executes the effects that concern a model engine: orders and status reads."""

import asyncio
from collections.abc import Callable, Mapping

from toucanspread.core import data, effects, events
from toucanspread.ops import engine, loop, runtime


class EngineAdapter(runtime.Adapter):
    """Sends orders to an engine and reads its status.

    :param post: called with the resulting events.
    """

    def __init__(self, model_engine: engine.Engine, post: Callable[[data.Event], None]):
        self._engine = model_engine
        self._post = post
        self._tasks: set[asyncio.Task] = set()
        self._is_reading_status = False

    async def stop(self) -> None:
        """Cancel the calls in progress."""
        for task in tuple(self._tasks):
            task.cancel()

    def _spawn(self, coroutine) -> None:
        task = loop.spawn(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send_order(self, order: effects.EngineOrder) -> None:
        self._post(await self._engine.send_order(order))

    def _read_status(self) -> None:
        if self._is_reading_status:
            return
        self._is_reading_status = True
        self._spawn(self._post_status())

    async def _post_status(self) -> None:
        try:
            status = await self._engine.read_status()
        except engine.EngineError:
            status = None
        finally:
            self._is_reading_status = False
        self._post(events.EngineStatusReported(status))

    def handlers(self) -> Mapping[type, runtime.EffectHandler]:
        """Return the handlers of the engine effects."""
        return {
            effects.EngineOrder: lambda effect: self._spawn(self._send_order(effect)),
            effects.ReadEngineStatus: lambda _: self._read_status(),
        }
