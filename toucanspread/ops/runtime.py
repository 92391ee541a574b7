"""Runs one machine on one loop: events in, effects out to the adapters.

A daemon is a runtime with adapters. An adapter owns one way to the outside (peers,
the key-value service, an engine, callers); it posts events and carries out effects.
"""

import abc
import time
from collections.abc import Callable, Mapping

from twisted.internet import reactor, task

from toucanspread.core import data, effects, events, invariants, machine
from toucanspread.ops import logs, metrics

TICK_INTERVAL_S = 0.1
EXIT_CODE_INVARIANT = 70
EXIT_CODE_STEP = 71

EffectHandler = Callable[[data.Effect], None]


class Adapter(abc.ABC):
    """One way to the outside."""

    @abc.abstractmethod
    def handlers(self) -> Mapping[type, EffectHandler]:
        """Return which effects this adapter carries out, and how."""

    async def start(self) -> None:
        """Open what the adapter needs."""
        return

    async def stop(self) -> None:
        """Close it again."""
        return


class Runtime:
    """The shell around a machine.

    :param stepper: the machine.
    :param on_exit: called once when the machine asks to end.
    """

    def __init__(
        self,
        stepper: machine.Machine,
        on_exit: Callable[[int], None],
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
    ):
        self.machine = stepper
        self.node = stepper.node
        self._clock = clock
        self._wall_clock = wall_clock
        self._on_exit = on_exit
        self._adapters: list[Adapter] = []
        self._handlers: dict[type, EffectHandler] = {
            effects.Log: self._log,
            effects.Count: self._count,
            effects.Observe: self._observe,
            effects.Exit: lambda _: self._on_exit(0),
        }
        self._ticker = task.LoopingCall(self._tick)

    def add(self, adapter: Adapter) -> None:
        """Take an adapter in before :meth:`start`."""
        self._adapters.append(adapter)
        self._handlers.update(adapter.handlers())

    async def start(self) -> None:
        """Start the adapters, then let time run."""
        for adapter in self._adapters:
            await adapter.start()
        self._ticker.start(TICK_INTERVAL_S)

    async def stop(self) -> None:
        """Stop time, then the adapters, the last one first."""
        if self._ticker.running:
            self._ticker.stop()
        for adapter in reversed(self._adapters):
            await adapter.stop()

    def post(self, event: data.Event) -> None:
        """Feed an event to the machine and carry out its effects.

        An effect handler must not post at once; it uses :meth:`post_soon`.
        """
        self.node.wall_s = self._wall_clock()
        try:
            wanted = self.machine.step(self._clock(), event)
        except invariants.InvariantBreachError as error:
            logs.write("invariant_broken", name=error.invariant.value, why=error.detail)
            self._on_exit(EXIT_CODE_INVARIANT)
            raise
        except Exception as error:
            # The step may have changed half of its state: start afresh.
            why = f"{type(error).__name__}: {error}"
            logs.write("step_failed", trigger=type(event).__name__, why=why)
            self._on_exit(EXIT_CODE_STEP)
            raise
        for effect in wanted:
            self._handlers[type(effect)](effect)

    def post_soon(self, event: data.Event) -> None:
        """Feed an event once the current step and its effects are over."""
        reactor.callLater(0, self.post, event)

    def _tick(self) -> None:
        self.post(events.Tick(wall_s=self._wall_clock()))

    def _log(self, effect: effects.Log) -> None:
        logs.write(effect.event, **effect.fields)

    def _count(self, effect: effects.Count) -> None:
        metrics.count(effect.name, effect.amount, effect.attributes)

    def _observe(self, effect: effects.Observe) -> None:
        metrics.observe(effect.name, effect.value, effect.attributes)
