"""Interface to the platform's instance list, its HTTP client and polling adapter.

The list has no incarnations; an instance that is read from it has incarnation 0 until
a message from its process is received.
"""

import abc
import asyncio
import dataclasses
import random
from collections.abc import Callable, Mapping

import msgspec
from twisted.internet import reactor

from toucanspread.core import data, decoder, events
from toucanspread.ops import loop, runtime
from toucanspread.ops.http import http_client
from toucanspread.ops.telemetry import logs

LIST_PATH = "/v1/instances"
CALL_TIMEOUT_S = 5.0
POLL_INTERVAL_S = 2.0
MAX_READ_RATE_BYTES_S = 4 * 1024  # part of an instance's limit of control traffic
MAX_POLL_INTERVAL_S = 300.0
LEAVING = "leaving"


class InstanceListError(Exception):
    """The instance list could not be read."""


@dataclasses.dataclass(frozen=True)
class ListSnapshot:
    """Content of the list at one time.

    :param size_bytes: size of the list on the wire.
    """

    event: events.InstanceListRead
    size_bytes: int


class InstanceList(abc.ABC):
    """The operations that the system needs of the instance list."""

    @abc.abstractmethod
    async def read(self) -> ListSnapshot | None:
        """Return the list, or None when it is unchanged since the last read.

        :raises InstanceListError: when there is no usable answer.
        """

    async def close(self) -> None:
        """Close open connections."""
        return


class _Row(msgspec.Struct):
    instance_id: str
    role: data.Role
    zone: str
    region: str
    address: str
    http_address: str = ""
    state: str = "live"


class HttpInstanceList(InstanceList):
    """Reads the list as JSON over HTTP.

    :param url: base URL, such as ``http://10.0.0.5:8600``.
    """

    def __init__(self, url: str):
        self._url = url
        self._client = http_client.HttpClient.from_url(url)
        self._etag = ""

    async def read(self) -> ListSnapshot | None:
        """Read the list unless it is unchanged."""
        headers = {"if-none-match": self._etag} if self._etag else {}
        try:
            reply = await self._client.call(
                "GET", LIST_PATH, headers=headers, timeout_s=CALL_TIMEOUT_S
            )
        except http_client.HttpError as error:
            raise InstanceListError(f"{self._url}: {error}") from error
        if reply.status == 304:
            return None
        if reply.status != 200:
            raise InstanceListError(f"{self._url}: status {reply.status}")
        try:
            rows = decoder.decode_json(reply.body, list[_Row])
        except decoder.MalformedError as error:
            raise InstanceListError(
                f"{self._url}: malformed instance list: {error}"
            ) from error
        self._etag = reply.get_header("etag")
        return ListSnapshot(_read_rows(rows), len(reply.body))

    async def close(self) -> None:
        """Close the idle connections."""
        await self._client.close()


class InstanceListAdapter(runtime.Adapter):
    """Polls the list, less often the larger it is.

    Entries forward changes of the list to each other, so a change that one of them has
    read is known everywhere long before all have read it.
    """

    def __init__(
        self, instance_list: InstanceList, post: Callable[[data.Event], None]
    ) -> None:
        self._list = instance_list
        self._post = post
        self._timer = None
        self._read_task: asyncio.Task | None = None
        self._is_stopped = False
        self._interval_s = POLL_INTERVAL_S
        self._is_failing = False

    def handlers(self) -> Mapping[type, runtime.EffectHandler]:
        """Return no handlers, since this adapter only posts events."""
        return {}

    async def start(self) -> None:
        """Start polling."""
        self._poll()

    async def stop(self) -> None:
        """Stop polling and close the client."""
        self._is_stopped = True
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        if self._read_task is not None:
            self._read_task.cancel()
        await self._list.close()

    def _poll(self) -> None:
        self._read_task = loop.spawn(self._read())
        self._read_task.add_done_callback(lambda _: self._schedule_poll())

    async def _read(self) -> None:
        try:
            snapshot = await self._list.read()
        except InstanceListError as error:
            if not self._is_failing:
                logs.write("instance_list_unread", why=str(error))
            self._is_failing = True
            return
        self._is_failing = False
        if snapshot is None:
            return
        self._interval_s = compute_poll_interval(snapshot.size_bytes)
        self._post(snapshot.event)

    def _schedule_poll(self) -> None:
        self._read_task = None
        if self._is_stopped:
            return
        jitter_factor = 0.5 + random.random()
        self._timer = reactor.callLater(self._interval_s * jitter_factor, self._poll)


def compute_poll_interval(size_bytes: int) -> float:
    """Return the seconds until the next read after one of that size."""
    interval_s = size_bytes / MAX_READ_RATE_BYTES_S
    return min(max(POLL_INTERVAL_S, interval_s), MAX_POLL_INTERVAL_S)


def _read_rows(rows: list[_Row]) -> events.InstanceListRead:
    instances = []
    leaving = []
    for row in rows:
        instances.append(
            data.Identity(
                data.InstanceId(row.instance_id),
                row.role,
                data.Incarnation(0),
                data.ZoneName(row.zone),
                data.RegionName(row.region),
                data.Address(row.address),
                data.Address(row.http_address),
            )
        )
        if row.state == LEAVING:
            leaving.append(data.InstanceId(row.instance_id))
    return events.InstanceListRead(tuple(instances), tuple(leaving))
