"""Decides when an engine may begin a request only on weights that are too old."""

from toucanspread.core.entry import data as entry_data
from toucanspread.core.entry import (
    decision_context,
    engine_dispatch,
    engines,
    request_record,
)

TOLERANCE_S = 0.005  # of the timers that check for withdrawals


def must_be_withdrawn(
    record: request_record.RequestRecord,
    dispatch: engine_dispatch.Dispatch,
    context: decision_context.Context,
    was_sent: bool,
) -> bool:
    """Return whether the engine could begin the request on weights too old.

    Whether an engine has begun shows at the head of a stream. Of an answer that is no
    stream, it doesn't show; only a request that may run again is withdrawn then.

    :param was_sent: whether the request was sent on a connection.
    """
    engine, profile = dispatch.engine, record.service.profile
    if engine is None or profile is None or dispatch.head_s is not None:
        return False
    if not _is_too_late(engine, profile, context, was_sent):
        return False
    is_stream = record.route.kind is entry_data.RequestKind.STREAMING
    return is_stream or record.route.is_repeatable or not was_sent


def _is_too_late(
    engine: engines.Engine,
    profile: entry_data.ModelProfile,
    context: decision_context.Context,
    was_sent: bool,
) -> bool:
    """Return whether an engine may begin on its weights only when they are too old.

    :param was_sent: whether it has the request, which a withdrawal takes as long to
        reach as other bytes.
    """
    version = engine.complete_version(profile, context.now_s)
    newer = [due for due in context.upcoming_versions if due.version > version]
    is_old = version < context.minimum_version
    is_withdrawn_later = any(due.version == context.minimum_version for due in newer)
    if is_old and not (was_sent and is_withdrawn_later):
        return True
    begin_until_s = min((due.begin_until_s for due in newer), default=float("inf"))
    acts_s = context.now_s + engine.link_delay_s(context.now_s)
    return acts_s + TOLERANCE_S >= begin_until_s
