"""Queue of items to piggyback on messages, each sent a bounded number of times."""

import heapq
import math

from toucanspread.core import data

MAX_PIGGYBACK_BYTES = 900  # of 1,200 in a datagram; the rest is for the envelope
MAX_PIGGYBACK_COUNT = 8
MAX_QUEUED_COUNT = 512  # a lost zone causes more updates; probing finds the rest
URGENT, NORMAL, SLOW = range(3)  # in the order of sending
RETRANSMIT_FACTOR = 4  # sends per item for each factor of 10 in the fleet's size


class DisseminationQueue:
    """The items to disseminate; of equal urgency, the least often sent goes first.

    An item has an ``instance_id`` and its ``size_bytes`` on the wire.
    """

    def __init__(self):
        self._items: dict[data.InstanceId, object] = {}
        self._priorities: dict[data.InstanceId, tuple[int, int]] = {}

    def __len__(self) -> int:
        return len(self._items)

    def put(self, item, urgency: int = NORMAL) -> None:
        """Queue an item and replace an older one about the same process."""
        instance_id = item.instance_id
        self._items[instance_id] = item
        self._priorities[instance_id] = (urgency, 0)
        if len(self._items) > MAX_QUEUED_COUNT:
            self._remove(max(self._priorities, key=self._priorities.get))

    def has_urgent(self) -> bool:
        """Return whether an urgent item is queued."""
        return any(urgency == URGENT for urgency, _ in self._priorities.values())

    def select_batch(self, fleet_size: int, room_bytes: int) -> tuple:
        """Return the items for one message, and count them as sent.

        :param fleet_size: the number of processes among which items are disseminated.
        """
        if not self._items:
            return ()
        max_sends = RETRANSMIT_FACTOR * math.ceil(math.log10(fleet_size + 2))
        batch = []
        for instance_id in heapq.nsmallest(
            MAX_PIGGYBACK_COUNT, self._priorities, key=self._priorities.get
        ):
            item = self._items[instance_id]
            if item.size_bytes > room_bytes:
                continue
            room_bytes -= item.size_bytes
            batch.append(item)
            self._record_sent(instance_id, max_sends)
        return tuple(batch)

    def _record_sent(self, instance_id: data.InstanceId, max_sends: int) -> None:
        urgency, send_count = self._priorities[instance_id]
        self._priorities[instance_id] = (urgency, send_count + 1)
        if send_count + 1 >= max_sends:
            self._remove(instance_id)

    def _remove(self, instance_id: data.InstanceId) -> None:
        del self._items[instance_id]
        del self._priorities[instance_id]
