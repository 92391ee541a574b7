"""Renders an entry's JSON answers as text for operators."""

from typing import Any

BAR_CELLS = 24
MIB_BYTES = 1024 * 1024


def status(seen: dict[str, Any]) -> str:
    """Return the services and the instances as two tables."""
    lines = [f"entry {seen['instance_id']} at revision {seen['revision']}", ""]
    service_rows = [("SERVICE", "VERSION", "WHOLE", "WANTED", "FLOOR")]
    for service in seen["services"]:
        service_rows.append(
            (
                service["service"],
                service["version"] or "-",
                str(service["whole_replicas"]),
                str(service["replicas"]),
                str(service["floor"]),
            )
        )
    lines.extend(table(service_rows))
    lines.append("")
    instance_rows = [
        ("INSTANCE", "ROLE", "ZONE", "STATE", "SERVICE", "VERSION", "RUNNING", "NOTE")
    ]
    for instance in seen["instances"]:
        instance_rows.append(
            (
                instance["instance_id"],
                instance["role"],
                instance["zone"],
                instance["state"],
                instance["service"] or "-",
                instance["version"] or "-",
                str(instance["running"]),
                note(instance),
            )
        )
    lines.extend(table(instance_rows))
    return "\n".join(lines)


def note(instance: dict[str, Any]) -> str:
    """Return what an instance is busy with, or why it failed."""
    if instance["failure"]:
        return instance["failure"]
    if instance["target_chunks"]:
        done = f"{instance['staged_chunks']}/{instance['target_chunks']}"
        return f"{instance['target_version']}: {done} chunks"
    return ""


def table(rows: list[tuple[str, ...]]) -> list[str]:
    """Return rows with their columns aligned."""
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    lines = []
    for row in rows:
        cells = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        lines.append("  ".join(cells).rstrip())
    return lines


def progress(seen: dict[str, Any]) -> str:
    """Return one progress bar for each service."""
    lines = []
    for service in seen["services"]:
        done = service_progress(seen, service)
        filled = int(done * BAR_CELLS)
        bar = "#" * filled + "." * (BAR_CELLS - filled)
        lines.append(
            f"{service['service']:<16} [{bar}] {done:4.0%}"
            f"  {service['whole_replicas']}/{service['replicas']} whole"
            f"  {service['version'] or '-'}"
        )
    return "\n".join(lines) or "no intents are in force"


def service_progress(seen: dict[str, Any], service: dict[str, Any]) -> float:
    """Return the share of a service's replicas that is done, in 0..1."""
    wanted = service["replicas"]
    if not wanted:
        return 1.0
    done = float(min(service["whole_replicas"], wanted))
    for instance in seen["instances"]:
        if instance["service"] != service["service"]:
            continue
        if not instance["target_chunks"]:
            continue
        if instance["target_version"] == instance["version"]:
            continue
        done += instance["staged_chunks"] / instance["target_chunks"]
    return min(1.0, done / wanted)


def plan(answer: dict[str, Any]) -> str:
    """Return a plan step by step, with its costs and warnings."""
    made = answer["plan"]
    lines = [f"plan {made['plan_id']} from revision {made['base_revision']}"]
    if not answer.get("service_known", True):
        lines.append("the key-value service is down: made from the last known revision")
    rows = [("STAGE", "STEP", "INSTANCE", "SERVICE", "VERSION")]
    for step in made.get("steps", ()):
        rows.append(
            (
                str(step["stage"]),
                step["kind"],
                step["instance_id"],
                step["service"],
                step.get("version") or "-",
            )
        )
    lines.extend(table(rows) if len(rows) > 1 else ["no step is needed"])
    lines.append(f"from the origin: {mib(made.get('origin_bytes', 0))}")
    for link in made.get("link_bytes", ()):
        route = f"{link['from_region']} -> {link['to_region']}"
        lines.append(f"over {route}: {mib(link['total_bytes'])}")
    lines.append(f"expected time: {made.get('expected_s', 0.0):.0f} s")
    lines.extend(f"warning: {warning}" for warning in made.get("warnings", ()))
    lines.extend(f"refused: {refusal}" for refusal in made.get("refusals", ()))
    return "\n".join(lines)


def verdict(answer: dict[str, Any]) -> str:
    """Return the answer to a confirmation."""
    return f"{answer['verdict']} at revision {answer['revision']}"


def refusal(answer: dict[str, Any]) -> str:
    """Return why a plan or a confirmation was refused, and what to do next."""
    lines = []
    if "error" in answer:
        lines.append(answer["error"])
    if "verdict" in answer:
        lines.append(f"{answer['verdict']}: {answer.get('why') or 'no reason given'}")
    lines.extend(f"problem: {problem}" for problem in answer.get("problems", ()))
    lines.extend(f"changed: {change}" for change in answer.get("changed", ()))
    if answer.get("retry_after_s"):
        lines.append(f"come back in {answer['retry_after_s']:.0f} s")
    if answer.get("plan"):
        lines.append(plan({"plan": answer["plan"]}))
    return "\n".join(lines)


def is_whole(seen: dict[str, Any]) -> bool:
    """Return whether every service has its replicas."""
    if not seen["services"]:
        return False
    for service in seen["services"]:
        if service["whole_replicas"] < service["replicas"]:
            return False
    return True


def difference(
    accepted: list[dict[str, Any]], proposed: list[dict[str, Any]]
) -> list[str]:
    """Return one line for each key in which two lists of intents differ.

    Only services that the proposal names are compared.
    """
    accepted_by_service = {intent["service"]: intent for intent in accepted}
    lines = []
    for intent in proposed:
        before = accepted_by_service.get(intent["service"])
        if before is None:
            lines.append(f"+ {intent['service']}: not accepted yet")
            continue
        for key in sorted(set(before) | set(intent)):
            if before.get(key) == intent.get(key):
                continue
            lines.append(
                f"~ {intent['service']}.{key}: {before.get(key)!r}"
                f" -> {intent.get(key)!r}"
            )
    return lines


def mib(count_bytes: float) -> str:
    """Return a number of bytes as MiB."""
    return f"{count_bytes / MIB_BYTES:.1f} MiB"
