"""Runs a machine on the event loop and passes its effects to adapters.

A daemon is a runtime with adapters. An adapter connects the machine to one external
system (peers, the key-value service, an engine, callers): it posts events to the
runtime and carries out effects.
"""

import abc
import time
from collections.abc import Callable, Mapping

from twisted.internet import reactor, task

from toucanspread.core import data, effects, events, invariants, machine
from toucanspread.ops.telemetry import logs, metrics

TICK_INTERVAL_S = 0.1
EXIT_CODE_INVARIANT = 70
EXIT_CODE_STEP = 71

EffectHandler = Callable[[data.Effect], None]


class Adapter(abc.ABC):
    """Connects a machine to one external system."""

    @abc.abstractmethod
    def handlers(self) -> Mapping[type, EffectHandler]:
        """Return the handlers of the effects that this adapter carries out, by type."""

    async def start(self) -> None:
        """Open connections and listeners; by default there are none."""
        return

    async def stop(self) -> None:
        """Close what :meth:`start` opened."""
        return


class Runtime:
    """Feeds events and clock ticks to a machine and carries out its effects.

    :param state_machine: the machine to run.
    :param on_exit: called with an exit code when the machine has no work left or a step
        fails.
    :param clock: returns monotonic seconds.
    :param wall_clock: returns seconds since the epoch.
    """

    def __init__(
        self,
        state_machine: machine.Machine,
        on_exit: Callable[[int], None],
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
    ):
        self.machine = state_machine
        self.node = state_machine.node
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
        """Add an adapter; to be called before :meth:`start`."""
        self._adapters.append(adapter)
        self._handlers.update(adapter.handlers())

    async def start(self) -> None:
        """Start the adapters in the order of their addition, then the clock ticks."""
        for adapter in self._adapters:
            await adapter.start()
        self._ticker.start(TICK_INTERVAL_S)

    async def stop(self) -> None:
        """Stop the clock ticks, then the adapters in reverse order."""
        if self._ticker.running:
            self._ticker.stop()
        for adapter in reversed(self._adapters):
            await adapter.stop()

    def post(self, event: data.Event) -> None:
        """Feed an event to the machine and carry out its effects.

        An effect handler must call :meth:`post_soon` instead, since the effects of the
        current step are not all carried out yet when the handler runs.

        :raises Exception: if the step fails; the process then exits.
        """
        self.node.wall_s = self._wall_clock()
        try:
            step_effects = self.machine.step(self._clock(), event)
        except invariants.InvariantBreachError as error:
            logs.write("invariant_broken", name=error.invariant.value, why=error.detail)
            self._on_exit(EXIT_CODE_INVARIANT)
            raise
        except Exception as error:
            # The state may be partly changed, so the process exits and starts anew.
            why = f"{type(error).__name__}: {error}"
            logs.write("step_failed", trigger=type(event).__name__, why=why)
            self._on_exit(EXIT_CODE_STEP)
            raise
        for effect in step_effects:
            self._handlers[type(effect)](effect)

    def post_soon(self, event: data.Event) -> None:
        """Feed an event to the machine after the current step and its effects."""
        reactor.callLater(0, self.post, event)

    def _tick(self) -> None:
        self.post(events.Tick(wall_s=self._wall_clock()))

    def _log(self, effect: effects.Log) -> None:
        logs.write(effect.event, **effect.fields)

    def _count(self, effect: effects.Count) -> None:
        metrics.count(effect.name, effect.amount, effect.attributes)

    def _observe(self, effect: effects.Observe) -> None:
        metrics.observe(effect.name, effect.value, effect.attributes)
