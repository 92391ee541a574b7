"""The one reducer over all events of a process.

A machine is a composition of parts. Each part is a module with a ``State`` class and
a ``HANDLERS`` mapping from event types to functions ``(node, event) -> list`` that
change the part's own state and return effects and internal events. The machine feeds
the internal events back until none is left, so one outside event is one whole step.

Given the same seed and the same timed events, a machine returns the same effects.
"""

import collections
import random
from collections.abc import Callable, Iterable, Mapping

from toucanspread.core import data, invariants

Handler = Callable[["Node", data.Event], Iterable[data.Event | data.Effect]]

MAX_INTERNAL_EVENTS = 10_000  # a step that feeds back more than this is a loop


class Node:
    """The whole state of one process, shared by its parts.

    :param identity: who the process is.
    :param seed: the source of all randomness.

    Every part's state is an attribute of the node, named after the part's module.
    ``now_s`` is monotonic; ``wall_s`` is only for landlords' windows.
    """

    def __init__(self, identity: data.Identity, seed: int, **parts: object):
        self.identity = identity
        self.now_s = 0.0
        self.wall_s = 0.0
        self.random = random.Random(seed)
        for name, state in parts.items():
            setattr(self, name, state)


class Machine:
    """Runs the handlers of a node's parts over events.

    :param modules: the parts, in the order in which they see an event.
    """

    def __init__(self, node: Node, modules: Iterable[Mapping[type, Handler]]):
        self.node = node
        self._handlers: dict[type, list[Handler]] = {}
        for handlers in modules:
            for kind, handler in handlers.items():
                self._handlers.setdefault(kind, []).append(handler)

    def step(self, now_s: float, event: data.Event) -> list[data.Effect]:
        """Feed one event at a time and return the effects.

        :raises InvariantBreachError: when the step breaks an invariant.
        """
        invariants.check(
            now_s >= self.node.now_s,
            invariants.Invariant.TIME_MOVES_FORWARD,
            f"{now_s} after {self.node.now_s}",
        )
        self.node.now_s = now_s
        effects: list[data.Effect] = []
        pending = collections.deque([event])
        handled = 0
        while pending:
            current = pending.popleft()
            handled += 1
            if handled > MAX_INTERNAL_EVENTS:
                raise RuntimeError(f"endless internal events at {current!r}")
            for handler in self._handlers.get(type(current), ()):
                for item in handler(self.node, current):
                    if isinstance(item, data.Event):
                        pending.append(item)
                    else:
                        effects.append(item)
        return effects
