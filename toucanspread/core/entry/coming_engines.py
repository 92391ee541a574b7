"""Tells when engines that hold no usable weights yet can take requests.

After a loss of power, and while a version is late, no engine may take a request for
seconds. The process beside each engine knows when its weights will be loaded. Requests
wait at the entry if that is soon; otherwise their callers are told when to come back.
"""

from toucanspread.core.entry import engine_obstacles, engine_requirements, engines


def list_waits_s(
    registry: engines.EngineRegistry,
    requirements: engine_requirements.EngineRequirements,
    now_s: float,
) -> list[float]:
    """Return the time until each engine holds weights that a request may begin on.

    Engines are left out if it is not known when they load such weights.
    """
    if requirements.service.profile is None:
        return []
    waits_s = []
    for engine in registry.of_service(requirements.service.name):
        if engine.entry.engine_id in requirements.excluded:
            continue
        if engine_obstacles.find_for_all_requests(engine, now_s) is not None:
            continue
        if not engine.has_recent_load(now_s):
            continue
        if engine.ready_at_s is None:
            continue
        if engine.load.coming_version < max(requirements.minimum_version, 1):
            continue
        waits_s.append(max(engine.ready_at_s - now_s, 0.0))
    return waits_s
