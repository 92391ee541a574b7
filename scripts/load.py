"""Generates live requests for the demo and chaos runs.

Each caller requests entry addresses from any entry, caches them for their lifetime,
sends its requests to them directly and records how each request ends.
"""

import collections
import dataclasses
import http.client
import json
import random
import threading
import time
import urllib.parse

SOCKET_TIMEOUT_S = 20.0
MAX_RETRY_DELAY_S = 1.0


@dataclasses.dataclass
class RequestResult:
    """The result of one attempt of a request, as its caller saw it.

    :param outcome: ``done``, ``not run``, ``unknown``; or ``lost`` when the
        connection ended without a final answer.
    :param key: the idempotency key.
    :param started_s: on the caller's monotonic clock.
    """

    service: str
    team: str
    key: str
    outcome: str
    reason: str
    elapsed_s: float
    budget_s: float
    prompt: str = ""
    max_tokens: int = 0
    text: str = ""
    retry_after_s: float = 0.0
    version: str = ""
    started_s: float = 0.0

    @property
    def is_complete(self) -> bool:
        """Whether the complete answer was received."""
        return self.outcome == "done"

    @property
    def is_late(self) -> bool:
        """Whether the request took longer than its time budget."""
        return self.elapsed_s > self.budget_s


class Caller:
    """One caller of a service.

    :param entries: HTTP addresses of entries from which it requests addresses.
    """

    def __init__(self, entries: list[str], service: str, team: str, seed: int):
        self._entries = entries
        self._service = service
        self._team = team
        self._random = random.Random(seed)
        self._addresses: list[str] = []
        self._expires_s = 0.0
        self._number = 0
        self._seed = seed

    def request(
        self,
        body: dict,
        *,
        budget_s: float = 10.0,
        repeatable: bool = True,
        key: str = "",
    ) -> RequestResult:
        """Send one request and return its result."""
        self._number += 1
        key = key or f"{self._service}-{self._seed}-{self._number}"
        headers = {
            "X-Team": self._team,
            "X-Deadline-S": f"{budget_s:.3f}",
            "X-Repeatable": "true" if repeatable else "false",
            "X-Request-Id": f"{key}-{self._random.getrandbits(48):012x}",
            "Idempotency-Key": key,
            "Content-Type": "application/json",
        }
        started_s = time.monotonic()
        address = self._choose_entry()
        response = self._send(address, headers, json.dumps(body).encode())
        if response["outcome"] == "lost":
            self._addresses = [kept for kept in self._addresses if kept != address]
        return RequestResult(
            service=self._service,
            team=self._team,
            key=key,
            outcome=response["outcome"],
            reason=response.get("reason", ""),
            elapsed_s=time.monotonic() - started_s,
            budget_s=budget_s,
            prompt=body.get("prompt", ""),
            max_tokens=body.get("max_tokens", 0),
            text=response.get("text", ""),
            retry_after_s=response.get("retry_after_s", 0.0),
            version=response.get("version", ""),
            started_s=started_s,
        )

    def _choose_entry(self) -> str:
        if not self._addresses or time.monotonic() >= self._expires_s:
            self._refresh_addresses()
        return self._random.choice(self._addresses or self._entries)

    def _refresh_addresses(self) -> None:
        query = urllib.parse.urlencode({"service": self._service, "team": self._team})
        for address in self._random.sample(self._entries, len(self._entries)):
            connection = http.client.HTTPConnection(address, timeout=2.0)
            try:
                connection.request("GET", f"/v1/addresses?{query}")
                answer = json.load(connection.getresponse())
                self._addresses = list(answer.get("addresses", ()))
                self._expires_s = time.monotonic() + answer.get("lifetime_s", 1.0)
                if self._addresses:
                    return
            except (OSError, http.client.HTTPException, ValueError):
                continue
            finally:
                connection.close()

    def _send(self, address: str, headers: dict, body: bytes) -> dict:
        connection = http.client.HTTPConnection(address, timeout=SOCKET_TIMEOUT_S)
        try:
            connection.request("POST", f"/v1/requests/{self._service}", body, headers)
            response = connection.getresponse()
            if response.getheader("Content-Type", "").startswith("text/event-stream"):
                return read_stream(response)
            payload = response.read()
            outcome = response.getheader("X-Outcome")
            if outcome == "done":
                return {"outcome": "done", "text": payload.decode()}
            return json.loads(payload)
        except ConnectionRefusedError:
            return {"outcome": "not run", "reason": "unreachable"}
        except (OSError, http.client.HTTPException, ValueError) as error:
            return {"outcome": "lost", "reason": type(error).__name__}
        finally:
            connection.close()


def read_stream(response: http.client.HTTPResponse) -> dict:
    """Read server-sent events to their end and return the outcome and the text."""
    event = "message"
    texts = []
    for raw_line in response:
        line = raw_line.decode().rstrip("\r\n")
        if line.startswith("event: "):
            event = line[len("event: ") :]
            continue
        if not line.startswith("data: "):
            continue
        payload = line[len("data: ") :]
        if event in ("end", "error"):
            return {**json.loads(payload), "text": "".join(texts)}
        if payload == "[DONE]":
            continue
        texts.append(json.loads(payload)["choices"][0]["text"])
    return {"outcome": "lost", "reason": "stream ended without an end event"}


class LoadGenerator:
    """Runs callers in threads that send requests until stopped.

    :param caller_specs: service, team and repeatability for each caller.
    :param pause_s: pause of a caller between its requests, in seconds.
    :param max_attempts: how often a request without a complete answer is sent in all,
        under the same idempotency key.
    """

    def __init__(
        self,
        entries: list[str],
        caller_specs: list[tuple[str, str, bool]],
        *,
        pause_s: float,
        seed: int,
        max_attempts: int = 1,
    ):
        self._max_attempts = max_attempts
        self.results: list[RequestResult] = []
        self._stopping = threading.Event()
        self._pause_s = pause_s
        self._threads = []
        for number, (service, team, repeatable) in enumerate(caller_specs):
            caller = Caller(entries, service, team, seed * 1000 + number)
            thread = threading.Thread(
                target=self._run, args=(caller, repeatable, seed * 1000 + number)
            )
            self._threads.append(thread)

    def start(self) -> None:
        """Start the callers."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> list[RequestResult]:
        """Let each caller finish its request and return all results."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()
        return self.results

    def _run(self, caller: Caller, repeatable: bool, seed: int) -> None:
        number = 0
        while not self._stopping.is_set():
            number += 1
            body = {"prompt": f"letter {seed}-{number}", "max_tokens": 16}
            key = f"key-{seed}-{number}"
            for _ in range(self._max_attempts):
                result = caller.request(body, repeatable=repeatable, key=key)
                self.results.append(result)
                if result.is_complete or self._stopping.is_set():
                    break
                pause_s = max(self._pause_s, result.retry_after_s)
                self._stopping.wait(min(MAX_RETRY_DELAY_S, pause_s))
            self._stopping.wait(self._pause_s)


def count_outcomes(results: list[RequestResult]) -> dict[str, int]:
    """Return how many results were whole, late, not run, unknown and lost."""
    counts = collections.Counter()
    for result in results:
        if result.is_complete:
            counts["late" if result.is_late else "whole"] += 1
            continue
        counts[result.outcome] += 1
    return dict(counts)


def compute_percentile_s(results: list[RequestResult], fraction: float) -> float:
    """Return the time within which a fraction of the complete answers arrived."""
    times = sorted(result.elapsed_s for result in results if result.is_complete)
    return times[min(int(len(times) * fraction), len(times) - 1)] if times else 0.0
