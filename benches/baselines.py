"""Ways to spread weights that the chosen one is compared with, in virtual time.

All use the same links: an origin and endpoints whose links send one chunk after the
other. None of them meets faults here.
"""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Links:
    """The rates, and the size of a copy in chunks.

    :param rate_bytes_s: of each endpoint's link, up and down.
    """

    origin_rate_bytes_s: float
    rate_bytes_s: float
    chunks: int
    chunk_bytes: int

    @property
    def copy_bytes(self) -> int:
        """Return the size of a copy."""
        return self.chunks * self.chunk_bytes


def compute_bound_s(links: Links, replicas: int) -> float:
    """Return the least time of any way, with bytes taken as a fluid."""
    copy_bytes = links.copy_bytes
    capacity = links.origin_rate_bytes_s + replicas * links.rate_bytes_s
    return max(
        copy_bytes / links.origin_rate_bytes_s,
        copy_bytes / links.rate_bytes_s,
        replicas * copy_bytes / capacity,
    )


def compute_origin_only_s(links: Links, replicas: int) -> float:
    """Return the time when everyone fetches from the origin."""
    shared_s = replicas * links.copy_bytes / links.origin_rate_bytes_s
    return max(shared_s, links.copy_bytes / links.rate_bytes_s)


def compute_tree_s(links: Links, replicas: int, fanout: int) -> float:
    """Return the time of a tree below the origin; a chain has a fan-out of one.

    The origin feeds one endpoint; each passes every chunk on to its children in turn.
    """
    arrivals = [_compute_root_arrivals(links)]
    last_s = arrivals[0][-1]
    for parent in range(replicas):
        first = parent * fanout + 1
        children = range(first, min(first + fanout, replicas))
        if not children:
            break
        received = _forward_chunks(links, arrivals[parent], len(children))
        arrivals.extend(received)
        last_s = max(last_s, *(times[-1] for times in received))
        arrivals[parent] = []
    return last_s


def _compute_root_arrivals(links: Links) -> list[float]:
    rate_bytes_s = min(links.origin_rate_bytes_s, links.rate_bytes_s)
    takes_s = links.chunk_bytes / rate_bytes_s
    return [takes_s * (number + 1) for number in range(links.chunks)]


def _forward_chunks(
    links: Links, arrivals: list[float], children: int
) -> list[list[float]]:
    takes_s = links.chunk_bytes / links.rate_bytes_s
    received: list[list[float]] = [[] for _ in range(children)]
    free_at_s = 0.0
    for arrived_s in arrivals:
        for times in received:
            free_at_s = max(free_at_s, arrived_s) + takes_s
            times.append(free_at_s)
    return received
