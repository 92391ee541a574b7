"""Computes the times of other ways to distribute weights, for comparison.

All use the same links: those of an origin and of endpoints, each of which sends one
chunk after another. Faults are not modelled.
"""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Links:
    """The rates of the links, and the size of a copy in chunks.

    :param origin_rate_bytes_s: rate at which the origin sends.
    :param rate_bytes_s: rate of each endpoint's link, in each direction.
    """

    origin_rate_bytes_s: float
    rate_bytes_s: float
    chunks: int
    chunk_bytes: int

    @property
    def copy_bytes(self) -> int:
        """Return the size of a copy in bytes."""
        return self.chunks * self.chunk_bytes


def compute_bound_s(links: Links, replicas: int) -> float:
    """Return the lower bound for any algorithm, with data as a continuous flow."""
    copy_bytes = links.copy_bytes
    capacity = links.origin_rate_bytes_s + replicas * links.rate_bytes_s
    return max(
        copy_bytes / links.origin_rate_bytes_s,
        copy_bytes / links.rate_bytes_s,
        replicas * copy_bytes / capacity,
    )


def compute_origin_only_s(links: Links, replicas: int) -> float:
    """Return the time when all endpoints fetch from the origin only."""
    shared_s = replicas * links.copy_bytes / links.origin_rate_bytes_s
    return max(shared_s, links.copy_bytes / links.rate_bytes_s)


def compute_tree_s(links: Links, replicas: int, fanout: int) -> float:
    """Return the time of a distribution tree; a chain is a tree with a fan-out of one.

    The origin sends to one endpoint. Each endpoint forwards every chunk to its
    children, one after another.
    """
    arrivals = [_compute_root_arrivals(links)]
    latest_s = arrivals[0][-1]
    for parent in range(replicas):
        first_child = parent * fanout + 1
        children = range(first_child, min(first_child + fanout, replicas))
        if not children:
            break
        received = _forward_chunks(links, arrivals[parent], len(children))
        arrivals.extend(received)
        latest_s = max(latest_s, *(times[-1] for times in received))
        arrivals[parent] = []
    return latest_s


def _compute_root_arrivals(links: Links) -> list[float]:
    rate_bytes_s = min(links.origin_rate_bytes_s, links.rate_bytes_s)
    chunk_duration_s = links.chunk_bytes / rate_bytes_s
    return [chunk_duration_s * (number + 1) for number in range(links.chunks)]


def _forward_chunks(
    links: Links, arrivals: list[float], children: int
) -> list[list[float]]:
    chunk_duration_s = links.chunk_bytes / links.rate_bytes_s
    received: list[list[float]] = [[] for _ in range(children)]
    free_at_s = 0.0
    for arrived_s in arrivals:
        for times in received:
            free_at_s = max(free_at_s, arrived_s) + chunk_duration_s
            times.append(free_at_s)
    return received
