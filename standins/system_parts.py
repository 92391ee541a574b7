"""The parts of a simulated system: instances, processes, dispatches and requests."""

import abc
import dataclasses
import random
from collections.abc import Callable

from standins import simulated_platform
from toucanspread.core import data, machine
from toucanspread.core.requests import request_events

NETWORK_DELAY_S = 0.002
MAX_MESSAGE_DELAY_S = 3.0


@dataclasses.dataclass
class Process:
    """A running process.

    :ivar held_events: events that were received while the process was frozen.
    :ivar streams: open dispatches at an endpoint process, by stream number.
    :ivar runs: functions that end a running request, by attempt.
    :ivar kept_statuses: HTTP statuses of completed runs, by attempt.
    :ivar fetches: ids of the fetches in progress.
    """

    stepper: machine.Machine
    frozen: bool = False
    held_events: list = dataclasses.field(default_factory=list)
    streams: dict[int, "OpenDispatch"] = dataclasses.field(default_factory=dict)
    runs: dict[data.AttemptKey, Callable] = dataclasses.field(default_factory=dict)
    kept_statuses: dict[data.AttemptKey, int] = dataclasses.field(default_factory=dict)
    fetches: set[int] = dataclasses.field(default_factory=set)

    @property
    def identity(self) -> data.Identity:
        """The identity of the process."""
        return self.stepper.node.identity


@dataclasses.dataclass
class OpenDispatch:
    """A dispatch for which the entry has no final answer yet."""

    entry: data.Identity
    endpoint: data.Address
    dispatch: data.Dispatch
    stream: int = 0
    closed: bool = False


@dataclasses.dataclass
class SentRequest:
    """A request and what its caller received.

    :ivar entry: the entry that received the request.
    :ivar incarnation: the incarnation of the entry at that time.
    :ivar outcomes: final outcomes that the entry returned.
    """

    request: data.Request
    entry: data.InstanceId
    incarnation: data.Incarnation
    sent_s: float
    outcomes: list[request_events.FinishRequest] = dataclasses.field(
        default_factory=list
    )
    answered_s: float = 0.0


class InstanceHost:
    """An instance and the services behind its process; it outlives the process."""

    def __init__(self, identity: data.Identity, service: str, checks_fence: bool):
        self.identity = identity
        self.service = service
        self.engine = simulated_platform.FakeEngine(checks_fence)
        self.plain_service = simulated_platform.FakePlainService()

    @property
    def kind(self) -> data.ServiceKind:
        """The kind of backend that the process serves."""
        return data.ServiceKind.PLAIN if self.service else data.ServiceKind.MODEL


class System(abc.ABC):
    """What the parts of a simulation that carry out effects need of it.

    :ivar runs: start times and instances of all runs.
    :ivar refusals: the ends of dispatches that were refused, by attempt.
    """

    random: random.Random
    now_s: float
    loss_ratio: float
    origin: simulated_platform.FakeOrigin
    hosts: dict[data.InstanceId, InstanceHost]
    corrupting_ids: set[data.InstanceId]
    runs: list[tuple[float, data.InstanceId]]
    refusals: dict[data.AttemptKey, data.AnswerEnd]

    @abc.abstractmethod
    def call_later(self, delay_s: float, action: Callable[[], None]) -> None:
        """Call a function after a delay."""

    @abc.abstractmethod
    def post(self, name: data.InstanceId, event: data.Event) -> None:
        """Pass an event to a process and execute the effects."""

    @abc.abstractmethod
    def deliver(self, to: data.Identity, delay_s: float, event: data.Event) -> None:
        """Pass an event after a delay, unless the process was replaced meanwhile."""

    @abc.abstractmethod
    def find_process(self, address: data.Address) -> Process | None:
        """Return the process at an address; None if none runs."""

    @abc.abstractmethod
    def is_partitioned(self, left: data.Identity, right: data.Identity) -> bool:
        """Return whether all traffic between two processes is lost."""

    @abc.abstractmethod
    def draw_number(self) -> int:
        """Return a number that nothing else has."""
