"""Callers that send requests at a steady rate, and the share that is served."""

import asyncio
import itertools
import time

from review import fleet

INTERVAL_S = 0.1


class Callers:
    """Sends a request every ``INTERVAL_S`` to one entry after the other."""

    def __init__(self, deployment: fleet.Fleet):
        self._deployment = deployment
        self._numbers = itertools.count(1)
        self.outcomes: list[tuple[float, bool]] = []

    async def run(self) -> None:
        """Send until cancelled."""
        while True:
            asyncio.ensure_future(self._send(next(self._numbers)))
            await asyncio.sleep(INTERVAL_S)

    async def _send(self, number: int) -> None:
        attempt_id = f"{number:016x}"
        entries = self._deployment.entries
        entry = entries[number % len(entries)]
        sent_s = time.monotonic()
        self._deployment.record.write(f"caller sends {attempt_id} to {entry.name}")
        answer = await fleet.send(entry.get_address("front"), attempt_id)
        is_served = answer.status == 200 and "x-response-seal" in answer.headers
        retry_after = answer.headers.get("retry-after", "none")
        self._deployment.record.write(
            f"caller gets {answer.status} for {attempt_id}, Retry-After {retry_after}"
        )
        self.outcomes.append((sent_s, is_served))

    def share_served(self, from_s: float, until_s: float) -> float:
        """Return the share of the requests sent in a time that were served."""
        served = [ok for sent_s, ok in self.outcomes if from_s <= sent_s < until_s]
        if not served:
            raise fleet.CaseNotRunError("no requests")
        return sum(served) / len(served)
