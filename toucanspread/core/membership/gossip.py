"""What rides on membership messages, each item a bounded number of times."""

import heapq
import math

from toucanspread.core import data

MAX_PIGGYBACK_BYTES = 900  # of 1,200 in a datagram; the rest is for the envelope
MAX_PIGGYBACK_COUNT = 8
MAX_QUEUED_COUNT = 512  # a lost zone changes more; the rest is found by probing
URGENT, NORMAL, SLOW = range(3)  # which items go first
RETRANSMIT_FACTOR = 4  # of the fleet's size


class DisseminationQueue:
    """The items to pass on, the least often sent first.

    An item has an ``instance_id`` and its ``size_bytes`` on the wire.
    """

    def __init__(self):
        self._items: dict[data.InstanceId, object] = {}
        self._priorities: dict[data.InstanceId, tuple[int, int]] = {}

    def __len__(self) -> int:
        return len(self._items)

    def put(self, item, urgency: int = NORMAL) -> None:
        """Pass an item on, in place of an older one about the same process."""
        instance_id = item.instance_id
        self._items[instance_id] = item
        self._priorities[instance_id] = (urgency, 0)
        if len(self._items) > MAX_QUEUED_COUNT:
            self._remove(max(self._priorities, key=self._priorities.get))

    def has_urgent(self) -> bool:
        """Return whether an urgent item waits."""
        return any(urgency == URGENT for urgency, _ in self._priorities.values())

    def select_batch(self, fleet: int, room_bytes: int) -> tuple:
        """Return the items for one message among ``fleet`` processes."""
        if not self._items:
            return ()
        limit = RETRANSMIT_FACTOR * math.ceil(math.log10(fleet + 2))
        taken = []
        for instance_id in heapq.nsmallest(
            MAX_PIGGYBACK_COUNT, self._priorities, key=self._priorities.get
        ):
            item = self._items[instance_id]
            if item.size_bytes > room_bytes:
                continue
            room_bytes -= item.size_bytes
            taken.append(item)
            self._record_sent(instance_id, limit)
        return tuple(taken)

    def _record_sent(self, instance_id: data.InstanceId, limit: int) -> None:
        urgency, sent = self._priorities[instance_id]
        self._priorities[instance_id] = (urgency, sent + 1)
        if sent + 1 >= limit:
            self._remove(instance_id)

    def _remove(self, instance_id: data.InstanceId) -> None:
        del self._items[instance_id]
        del self._priorities[instance_id]
