"""What an engine says of itself in the head of an answer, whatever it answers."""

from typing import NamedTuple


class EngineStatement(NamedTuple):
    """What an engine says of itself in the head of an answer.

    :param limit_per_s: requests per second that it accepts from all entries together;
        None if it names no limit.
    :param backoff_s: time for which it wants no requests from this entry, named in a
        rejection; None if it names none.
    :param is_leaving: whether it says that it is about to end.
    :param unreadable: names of the headers whose values can't be read.
    """

    limit_per_s: float | None = None
    backoff_s: float | None = None
    is_leaving: bool = False
    unreadable: tuple[str, ...] = ()
