"""Spreads notices that many entries could send, so that few of them do.

Each entry draws a random delay and sends nothing if another one's notice arrives
meanwhile. The delays are distributed so that only about one of the entries draws one
near zero, however many there are.
"""

import math
import random


def draw_delay_s(
    longest_s: float, entry_count: int, random_source: random.Random
) -> float:
    """Return a random delay until a notice.

    :param entry_count: number of entries that may send the notice.
    """
    if entry_count <= 1:
        return 0.0
    draw = 1.0 - random_source.random()  # above 0
    return longest_s * max(1.0 + math.log(draw) / math.log(entry_count), 0.0)
