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
        self._reading = False

    async def stop(self) -> None:
        """Cancel the calls in progress."""
        for running in tuple(self._tasks):
            running.cancel()

    def _spawn(self, coroutine) -> None:
        running = loop.spawn(coroutine)
        self._tasks.add(running)
        running.add_done_callback(self._tasks.discard)

    async def _order(self, order: effects.EngineOrder) -> None:
        self._post(await self._engine.order(order))

    def _read_status(self) -> None:
        if self._reading:
            return
        self._reading = True
        self._spawn(self._status())

    async def _status(self) -> None:
        try:
            status = await self._engine.status()
        except engine.EngineError:
            status = None
        finally:
            self._reading = False
        self._post(events.EngineStatusReported(status))

    def handlers(self) -> Mapping[type, runtime.EffectHandler]:
        """Return the handlers of the engine effects."""
        return {
            effects.EngineOrder: lambda effect: self._spawn(self._order(effect)),
            effects.ReadEngineStatus: lambda _: self._read_status(),
        }
