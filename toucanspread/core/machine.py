"""Event loop of the decision logic of one process.

A machine is composed of parts. Each part is a module with a ``State`` class and a
``HANDLERS`` mapping from event types to functions ``(node, event) -> list``, which
change the state of their part and return effects and internal events. The machine feeds
the internal events back to the handlers until none is left, so that one external event
is handled in one step.

A machine is deterministic: equal seeds and equal timed events give equal effects.
"""

import collections
import random
from collections.abc import Callable, Iterable, Mapping

from toucanspread.core import data, invariants

Handler = Callable[["Node", data.Event], Iterable[data.Event | data.Effect]]

MAX_INTERNAL_EVENTS = 10_000  # more in one step indicate an endless loop


class Node:
    """State of one process, shared by its parts.

    The state of each part is an attribute with the name of the part's module.
    ``now_s`` is monotonic time; ``wall_s`` is used for maintenance windows only.

    :param identity: identity of the process.
    :param seed: seed of the only random number generator.
    """

    def __init__(self, identity: data.Identity, seed: int, **parts: object):
        self.identity = identity
        self.now_s = 0.0
        self.wall_s = 0.0
        self.random = random.Random(seed)
        for name, state in parts.items():
            setattr(self, name, state)


class Machine:
    """Runs the handlers of a node's parts.

    :param part_handlers: ``HANDLERS`` of the parts, in the order in which they get
        events.
    """

    def __init__(self, node: Node, part_handlers: Iterable[Mapping[type, Handler]]):
        self.node = node
        self._handlers: dict[type, list[Handler]] = {}
        for handlers in part_handlers:
            for event_type, handler in handlers.items():
                self._handlers.setdefault(event_type, []).append(handler)

    def step(self, now_s: float, event: data.Event) -> list[data.Effect]:
        """Handle one external event and return the effects.

        :raises InvariantBreachError: if the step violates an invariant.
        :raises RuntimeError: if the step does not end.
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
                for output in handler(self.node, current):
                    if isinstance(output, data.Event):
                        pending.append(output)
                    else:
                        effects.append(output)
        return effects
