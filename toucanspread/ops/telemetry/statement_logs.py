"""Logs and counts what engines say of themselves in their answers."""

from toucanspread.core.entry import engine_statement
from toucanspread.ops.telemetry import logs, metric_buffer


def write(
    engine: str,
    statement: engine_statement.EngineStatement,
    has_new_limit: bool,
    begins_to_leave: bool,
) -> None:
    """Log what an engine says if this process did not know it, and count it.

    :param engine: its id or address.
    :param has_new_limit: whether it has named another limit before.
    :param begins_to_leave: whether it has not said before that it leaves.
    """
    if statement.limit_per_s is not None:
        metric_buffer.count("answers_with_limit")
    if has_new_limit:
        logs.write(
            "engine_limit_named", engine=engine, limit_per_s=statement.limit_per_s
        )
    if statement.backoff_s is not None:
        metric_buffer.count("answers_with_backoff")
        logs.write("engine_backoff_named", engine=engine, backoff_s=statement.backoff_s)
    if begins_to_leave:
        logs.write("engine_leaving_named", engine=engine)
    if statement.unreadable:
        metric_buffer.count("answers_with_unreadable_headers")
        names = ",".join(statement.unreadable)
        logs.write("engine_statement_unreadable", engine=engine, headers=names)
