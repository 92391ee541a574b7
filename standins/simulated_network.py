"""Simulates a network between machines in virtual time, for tests and benchmarks.

Messages are lost, delayed and duplicated at random from the network's own seed, and
links can be cut in one direction. The module makes no decision of the system.
"""

import heapq
import itertools
import random
from collections.abc import Callable

from toucanspread.core import data, effects, events, machine

TICK_S = 0.1


class SimulatedNetwork:
    """Machines by address, and the messages in transit.

    :ivar cut: returns whether messages from one identity to another are lost.
    :ivar loss_ratio: part of the messages that are lost.
    :ivar duplication_ratio: part of the messages that are duplicated.
    """

    def __init__(self, seed: int = 1, delay_s: float = 0.002):
        self.now_s = 0.0
        self.delay_s = delay_s
        self.jitter_s = 0.0
        self.loss_ratio = 0.0
        self.duplication_ratio = 0.0
        self.machines: dict[data.Address, machine.Machine] = {}
        self.frozen: set[data.Address] = set()
        self.cut: Callable[[data.Identity, data.Identity], bool] = lambda a, b: False
        self.on_effect: Callable[[machine.Machine, data.Effect], None] | None = None
        self.step_machine = lambda stepper, now_s, event: stepper.step(now_s, event)
        self._ticks_s: dict[data.Address, float] = {}
        self._random = random.Random(seed)
        self._queue: list = []
        self._order = itertools.count()

    def add(self, stepper: machine.Machine, tick_s: float = TICK_S) -> None:
        """Add a machine at its address; it replaces any earlier one."""
        address = stepper.node.identity.address
        self._ticks_s[address] = tick_s
        self.machines[address] = stepper
        start_s = self.now_s + self._random.random() * tick_s
        self._push(start_s, address, stepper, None)

    def remove(self, address: data.Address) -> None:
        """Remove the machine at an address."""
        del self.machines[address]

    def post(self, address: data.Address, event: data.Event) -> None:
        """Pass an event to a machine now."""
        self._step(self.machines[address], event)

    def run(self, duration_s: float) -> None:
        """Advance the time."""
        end_s = self.now_s + duration_s
        while self._queue and self._queue[0][0] <= end_s:
            at_s, _, address, stepper, event = heapq.heappop(self._queue)
            self.now_s = max(self.now_s, at_s)
            if event is None:
                self._tick(address, stepper)
                continue
            receiver = self.machines.get(address)
            if receiver is None:
                continue
            if address in self.frozen:
                self._push(self.now_s + TICK_S, address, None, event)
                continue
            if not self.cut(event.sender, receiver.node.identity):
                self._step(receiver, event)
        self.now_s = end_s

    def _tick(self, address: data.Address, stepper: machine.Machine) -> None:
        if self.machines.get(address) is not stepper:
            return
        self._push(self.now_s + self._ticks_s[address], address, stepper, None)
        if address not in self.frozen:
            self._step(stepper, events.Tick(wall_s=self.now_s))

    def _step(self, stepper: machine.Machine, event: data.Event) -> None:
        for effect in self.step_machine(stepper, self.now_s, event):
            if self.on_effect is not None:
                self.on_effect(stepper, effect)
            if isinstance(effect, effects.Send):
                self._send(stepper.node.identity, effect)

    def _send(self, sender: data.Identity, effect: effects.Send) -> None:
        copies = 1 + (self._random.random() < self.duplication_ratio)
        for _ in range(copies):
            if self._random.random() < self.loss_ratio:
                continue
            at_s = self.now_s + self.delay_s + self._random.random() * self.jitter_s
            event = events.MessageReceived(sender, effect.message)
            self._push(at_s, effect.to, None, event)

    def _push(self, at_s: float, address: data.Address, stepper, event) -> None:
        heapq.heappush(self._queue, (at_s, next(self._order), address, stepper, event))
