"""The updates that ride on membership messages, each a bounded number of times."""

import heapq
import math

from toucanspread.core import data

MAX_UPDATES = 6  # about 130 bytes each; a datagram has room for 1,200
MAX_QUEUED = 512  # a lost zone changes more; the rest is found by probing
SENDS_PER_DOUBLING = 3


class Queue:
    """The updates to pass on, the least often sent first.

    :param per_message: how many one message carries at most.
    """

    def __init__(self, per_message: int = MAX_UPDATES):
        self._per_message = per_message
        self._updates: dict[data.InstanceId, object] = {}
        self._sent: dict[data.InstanceId, int] = {}

    def __len__(self) -> int:
        return len(self._updates)

    def put(self, update) -> None:
        """Pass an update on, in place of an older one about the same process."""
        instance_id = update.instance_id
        self._updates[instance_id] = update
        self._sent[instance_id] = 0
        if len(self._updates) > MAX_QUEUED:
            self._drop(max(self._sent, key=self._sent.get))

    def take(self, fleet: int) -> tuple:
        """Return the updates for one message among ``fleet`` processes."""
        if not self._updates:
            return ()
        chosen = heapq.nsmallest(self._per_message, self._sent, key=self._sent.get)
        taken = tuple(self._updates[instance_id] for instance_id in chosen)
        limit = SENDS_PER_DOUBLING * math.ceil(math.log2(fleet + 2))
        for instance_id in chosen:
            self._sent[instance_id] += 1
            if self._sent[instance_id] >= limit:
                self._drop(instance_id)
        return taken

    def _drop(self, instance_id: data.InstanceId) -> None:
        del self._updates[instance_id]
        del self._sent[instance_id]
