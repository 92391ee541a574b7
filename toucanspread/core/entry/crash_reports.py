"""Reports to the crash guard what a request did to its engine, and asks about it."""

from toucanspread.core.entry import (
    decision_context,
    decisions,
    engine_dispatch,
    request_record,
)

ORDER_MARGIN_S = 1.0  # between the announced time of an order and its effect


def report_break(
    record: request_record.RequestRecord,
    dispatch: engine_dispatch.Dispatch,
    context: decision_context.Context,
) -> None:
    """Report that the engine may have crashed because of the request."""
    engine = dispatch.engine
    if engine is None or not record.call.suspect_parts:
        return
    if engine.is_leaving() or engine.is_ordered(context.now_s, ORDER_MARGIN_S):
        return
    if dispatch.has_run_for_a_while(context.now_s):
        return
    context.guard.on_break(engine.incarnation, record.call, context.now_s)


def report_whole_answer(
    record: request_record.RequestRecord,
    dispatch: engine_dispatch.Dispatch,
    context: decision_context.Context,
) -> None:
    """Report that the engine wrote a whole answer."""
    if dispatch.engine is None or not record.call.suspect_parts:
        return
    began_s = context.now_s
    if record.is_stream_open:
        began_s = dispatch.first_event_s
    if began_s is None:
        return  # a stream that had nothing left to write
    context.guard.on_whole_answer(
        dispatch.engine.incarnation, record.call, began_s, context.now_s
    )


def is_quarantined(
    record: request_record.RequestRecord, context: decision_context.Context
) -> bool:
    """Return whether no engine may get the request."""
    return not record.is_trial and context.guard.is_quarantined(record.call)


def may_be_sent_again(
    record: request_record.RequestRecord,
    dispatch: engine_dispatch.Dispatch,
    failure: decisions.DispatchFailure,
    context: decision_context.Context,
) -> bool:
    """Return whether the prompt is no danger to another engine."""
    has_run = dispatch.has_run_for_a_while(context.now_s)
    if has_run or failure in decisions.NOT_RUN_FAILURES:
        return not is_quarantined(record, context)
    return context.guard.may_repeat(record.call)
