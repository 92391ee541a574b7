"""The messages of membership, and the records that ride on them.

Records are arrays on the wire, because many ride on one datagram.
"""

from toucanspread.core import data

State = data.MemberState

STATE_RANKS = {State.LIVE: 0, State.LEAVING: 1, State.SUSPECT: 2, State.DEAD: 3}


UPDATE_FIXED_BYTES = 42  # beside the names: numbers, states and their framing
ROW_FIXED_BYTES = 20


class Update(data.Record, frozen=True, array_like=True, tag=False):
    """A belief about one process, as it travels between processes.

    :param refutation: grows when the process refutes a belief about itself.
    """

    instance_id: data.InstanceId
    role: data.Role
    incarnation: data.Incarnation
    zone: data.ZoneName
    region: data.RegionName
    address: data.Address
    http_address: data.Address
    state: data.MemberState
    refutation: int

    @property
    def size_bytes(self) -> int:
        """Return about what the update takes on the wire."""
        names = len(self.instance_id) + len(self.zone) + len(self.region)
        return names + len(self.address) + len(self.http_address) + UPDATE_FIXED_BYTES

    @property
    def precedence(self) -> tuple[int, int, int]:
        """Return the place of the update among all about its process."""
        return (self.incarnation, self.refutation, STATE_RANKS[self.state])

    def make_identity(self) -> data.Identity:
        """Return the process that the update is about."""
        return data.Identity(
            self.instance_id,
            self.role,
            self.incarnation,
            self.zone,
            self.region,
            self.address,
            self.http_address,
        )


class CapacityRow(data.Record, frozen=True, array_like=True, tag=False):
    """The ready endpoint processes of one entry, by service.

    :param sequence: grows with each change within an incarnation.
    """

    instance_id: data.InstanceId
    incarnation: data.Incarnation
    sequence: int
    counts: dict[data.ServiceName, int]

    @property
    def size_bytes(self) -> int:
        """Return about what the row takes on the wire."""
        names = sum(map(len, self.counts))
        return len(self.instance_id) + names + 4 * len(self.counts) + ROW_FIXED_BYTES

    @property
    def precedence(self) -> tuple[int, int]:
        """Return the place of the row among all of its entry."""
        return (self.incarnation, self.sequence)


class Ping(data.Message):
    """Asks a process for an :class:`Ack`.

    :param number: returned in the answer.
    """

    number: int
    updates: tuple[Update, ...] = ()
    rows: tuple[CapacityRow, ...] = ()


class Ack(data.Message):
    """Answers a :class:`Ping`.

    :param reports: whether the sender, an endpoint process, reports to the receiver.
    """

    number: int
    updates: tuple[Update, ...] = ()
    rows: tuple[CapacityRow, ...] = ()
    reports: bool = False


class PingRequest(data.Message):
    """Asks an entry to probe a process in place of the sender."""

    number: int
    target: data.Address


class IndirectAck(data.Message):
    """Answers a :class:`PingRequest`.

    :param found: who answered the helper, if anyone did.
    """

    number: int
    found: data.Identity | None = None


class ReportAck(data.Message):
    """Tells an endpoint process that its reports arrive.

    :param updates: changes of entries since the acknowledgement before.
    """

    updates: tuple[Update, ...] = ()


class ViewRequest(data.Message):
    """Asks for an entry's view if its digest isn't ``digest``."""

    digest: int


class View(data.Message):
    """What an entry believes of all entries, itself included."""

    updates: tuple[Update, ...]
    rows: tuple[CapacityRow, ...] = ()


def make_update(
    identity: data.Identity, state: data.MemberState, refutation: int
) -> Update:
    """Return an update about a process."""
    return Update(
        identity.instance_id,
        identity.role,
        identity.incarnation,
        identity.zone,
        identity.region,
        identity.address,
        identity.http_address,
        state,
        refutation,
    )
