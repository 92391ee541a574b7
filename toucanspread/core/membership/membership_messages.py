"""Messages of the membership protocol and the records that they piggyback.

Records are encoded as arrays, because one datagram carries many of them.
"""

from toucanspread.core import data

State = data.MemberState

STATE_RANKS = {State.LIVE: 0, State.LEAVING: 1, State.SUSPECT: 2, State.DEAD: 3}


UPDATE_FIXED_BYTES = 42  # numbers, states and framing; the names come on top
ROW_FIXED_BYTES = 20


class Update(data.Record, frozen=True, array_like=True, tag=False):
    """The state of one process, as processes report it to each other.

    :param refutation: counter that the process raises when it refutes an update
        about itself.
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
        """Return the approximate encoded size."""
        name_bytes = len(self.instance_id) + len(self.zone) + len(self.region)
        return (
            name_bytes + len(self.address) + len(self.http_address) + UPDATE_FIXED_BYTES
        )

    @property
    def precedence(self) -> tuple[int, int, int]:
        """Return the sort key; the highest update about a process prevails."""
        return (self.incarnation, self.refutation, STATE_RANKS[self.state])

    def make_identity(self) -> data.Identity:
        """Return the identity of the process that the update is about."""
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
    """The number of ready endpoint processes of one entry, by service.

    :param sequence: grows with each change within an incarnation.
    """

    instance_id: data.InstanceId
    incarnation: data.Incarnation
    sequence: int
    counts: dict[data.ServiceName, int]

    @property
    def size_bytes(self) -> int:
        """Return the approximate encoded size."""
        name_bytes = sum(map(len, self.counts))
        return (
            len(self.instance_id) + name_bytes + 4 * len(self.counts) + ROW_FIXED_BYTES
        )

    @property
    def precedence(self) -> tuple[int, int]:
        """Return the sort key; the highest row of an entry prevails."""
        return (self.incarnation, self.sequence)


class Ping(data.Message):
    """Asks a process for an :class:`Ack`.

    :param number: repeated in the answer; 0 when no probe waits for it.
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
    """Asks an entry for an indirect probe of a process."""

    number: int
    target: data.Address


class IndirectAck(data.Message):
    """Answers a :class:`PingRequest`.

    :param found: the process that answered the helper, or None if none did.
    """

    number: int
    found: data.Identity | None = None


class ReportAck(data.Message):
    """Acknowledges the reports of an endpoint process.

    :param updates: changes of entries since the previous acknowledgement.
    """

    updates: tuple[Update, ...] = ()


class ViewRequest(data.Message):
    """Requests an entry's view unless its digest equals ``digest``."""

    digest: int


class View(data.Message):
    """The states of all entries as one entry knows them, itself included."""

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
