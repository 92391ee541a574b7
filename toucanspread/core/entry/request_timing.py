"""Times of one request: its deadline, and how long parts of it should take."""

from typing import NamedTuple

from toucanspread.core import data
from toucanspread.core.entry import admission_queue, engines
from toucanspread.core.entry import data as entry_data

ENGINE_ANSWER_SLACK_S = 0.12  # wait for the engine's own answer at the deadline
STREAM_SILENCE_FACTOR = 2.5  # of the target time, until the first event of a stream
STREAM_GAP_TIMEOUT_S = 1.0  # between events; a healthy engine never pauses so long
# A request that stays at a silent engine is considered again after this time.
SILENCE_RECHECK_S = 0.5
STREAM_MIN_BYTES_PER_S = 128  # within an event that takes longer than the gap
ANSWER_SILENCE_FACTOR = 1.6  # of the target time, until an answer that is no stream


class RequestTiming(NamedTuple):
    """Times of one request.

    :param arrived_s: time at which its first byte was received.
    """

    route: entry_data.Route
    service: entry_data.Service
    call: entry_data.Call
    arrived_s: float

    @property
    def deadline_s(self) -> float:
        """Return the time at which the request ends without an answer."""
        budget_s = self.route.timeout_s
        if self.call.budget_s is not None:
            budget_s = min(budget_s, self.call.budget_s)
        return self.arrived_s + budget_s

    @property
    def latest_end_s(self) -> float:
        """Return the time at which the request has ended with any answer."""
        return self.deadline_s + ENGINE_ANSWER_SLACK_S

    @property
    def start_deadline_s(self) -> float:
        """Return the latest time at which an engine can start for an answer on time."""
        prompt_s = 0.0
        if self.service.profile is not None:
            prompt_s = self.call.prompt_tokens / self.service.profile.read_per_s
        target_s = self.arrived_s + self.route.target_s
        return target_s - prompt_s - admission_queue.FIRST_EVENT_MARGIN_S

    @property
    def prefill_s(self) -> float:
        """Return the time that an engine needs for the prefill of the prompt.

        It includes the prompt's part of a decode pass for other requests.
        """
        profile = self.service.profile
        if profile is None:
            return 0.0
        prompt_s = self.call.prompt_tokens / profile.read_per_s
        return prompt_s + engines.DECODE_PASSES_PER_PROMPT * profile.pass_s

    @property
    def silence_timeout_s(self) -> float:
        """Return the time after which an engine that sends nothing counts as silent."""
        if self.route.kind is entry_data.RequestKind.STREAMING:
            return max(STREAM_SILENCE_FACTOR * self.route.target_s, 1.0)
        if self.route.is_repeatable:
            return ANSWER_SILENCE_FACTOR * self.route.target_s
        return self.route.timeout_s + ENGINE_ANSWER_SLACK_S

    def likely_tokens_left(self, last_event_id: str | None) -> int:
        """Return the likely number of tokens of the rest of the answer.

        :param last_event_id: the last event that the caller has; None before the first.
        """
        likely = self.call.likely_tokens or self.call.output_tokens // 2
        profile = self.service.profile
        if profile is None or last_event_id is None:
            return likely
        event_count = data.parse_count(last_event_id) or 0
        return max(likely - event_count * profile.pass_tokens, 0)
