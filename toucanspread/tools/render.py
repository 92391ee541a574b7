"""Formats the JSON answers of an entry as text for operators."""

from typing import Any

BAR_CELLS = 24
MIB_BYTES = 1024 * 1024


def status(entry_status: dict[str, Any]) -> str:
    """Return the services and the instances as two tables."""
    lines = [
        f"entry {entry_status['instance_id']} at revision {entry_status['revision']}",
        "",
    ]
    service_rows = [("SERVICE", "VERSION", "WHOLE", "REPLICAS", "FLOOR")]
    for service in entry_status["services"]:
        service_rows.append(
            (
                service["service"],
                service["version"] or "-",
                str(service["whole_replicas"]),
                str(service["replicas"]),
                str(service["floor"]),
            )
        )
    lines.extend(align_columns(service_rows))
    lines.append("")
    instance_rows = [
        ("INSTANCE", "ROLE", "ZONE", "STATE", "SERVICE", "VERSION", "RUNNING", "NOTE")
    ]
    for instance in entry_status["instances"]:
        instance_rows.append(
            (
                instance["instance_id"],
                instance["role"],
                instance["zone"],
                instance["state"],
                instance["service"] or "-",
                instance["version"] or "-",
                str(instance["running"]),
                describe_activity(instance),
            )
        )
    lines.extend(align_columns(instance_rows))
    return "\n".join(lines)


def describe_activity(instance: dict[str, Any]) -> str:
    """Return the progress of an instance's transfer, or why the instance failed."""
    if instance["failure"]:
        return instance["failure"]
    if instance["target_chunks"]:
        chunk_counts = f"{instance['staged_chunks']}/{instance['target_chunks']}"
        return f"{instance['target_version']}: {chunk_counts} chunks"
    return ""


def align_columns(rows: list[tuple[str, ...]]) -> list[str]:
    """Return one line per row, with the columns aligned."""
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    lines = []
    for row in rows:
        cells = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        lines.append("  ".join(cells).rstrip())
    return lines


def progress(entry_status: dict[str, Any]) -> str:
    """Return one progress bar per service."""
    lines = []
    for service in entry_status["services"]:
        completed_ratio = compute_service_progress(entry_status, service)
        filled = int(completed_ratio * BAR_CELLS)
        bar = "#" * filled + "." * (BAR_CELLS - filled)
        lines.append(
            f"{service['service']:<16} [{bar}] {completed_ratio:4.0%}"
            f"  {service['whole_replicas']}/{service['replicas']} whole"
            f"  {service['version'] or '-'}"
        )
    return "\n".join(lines) or "no intents are in force"


def compute_service_progress(
    entry_status: dict[str, Any], service: dict[str, Any]
) -> float:
    """Return the completed part of a service's replicas, from 0 to 1.

    An instance that is collecting the chunks of another version than the one that it
    serves counts by the part of the chunks that it has staged.
    """
    replicas = service["replicas"]
    if not replicas:
        return 1.0
    completed = float(min(service["whole_replicas"], replicas))
    for instance in entry_status["instances"]:
        if instance["service"] != service["service"]:
            continue
        if not instance["target_chunks"]:
            continue
        if instance["target_version"] == instance["version"]:
            continue
        completed += instance["staged_chunks"] / instance["target_chunks"]
    return min(1.0, completed / replicas)


def plan(answer: dict[str, Any]) -> str:
    """Return the steps of a plan as a table, with its costs and warnings."""
    proposed = answer["plan"]
    lines = [f"plan {proposed['plan_id']} from revision {proposed['base_revision']}"]
    if not answer.get("service_known", True):
        lines.append(
            "the key-value service is unavailable: "
            "the plan is made from the last known revision"
        )
    rows = [("STAGE", "STEP", "INSTANCE", "SERVICE", "VERSION")]
    for step in proposed.get("steps", ()):
        rows.append(
            (
                str(step["stage"]),
                step["kind"],
                step["instance_id"],
                step["service"],
                step.get("version") or "-",
            )
        )
    lines.extend(align_columns(rows) if len(rows) > 1 else ["no step is needed"])
    lines.append(
        f"transfer from the origin: {format_mib(proposed.get('origin_bytes', 0))}"
    )
    for link in proposed.get("link_bytes", ()):
        route = f"{link['from_region']} -> {link['to_region']}"
        lines.append(f"transfer over {route}: {format_mib(link['total_bytes'])}")
    lines.append(f"expected time: {proposed.get('expected_s', 0.0):.0f} s")
    lines.extend(f"warning: {warning}" for warning in proposed.get("warnings", ()))
    lines.extend(f"refused: {refusal}" for refusal in proposed.get("refusals", ()))
    return "\n".join(lines)


def verdict(answer: dict[str, Any]) -> str:
    """Return the verdict on a confirmation and the revision in force."""
    return f"{answer['verdict']} at revision {answer['revision']}"


def refusal(answer: dict[str, Any]) -> str:
    """Return why a plan or a confirmation was refused, and when to retry it."""
    lines = []
    if "error" in answer:
        lines.append(answer["error"])
    if "verdict" in answer:
        lines.append(f"{answer['verdict']}: {answer.get('why') or 'no reason given'}")
    lines.extend(f"problem: {problem}" for problem in answer.get("problems", ()))
    lines.extend(f"changed: {change}" for change in answer.get("changed", ()))
    if answer.get("retry_after_s"):
        lines.append(f"retry in {answer['retry_after_s']:.0f} s")
    if answer.get("plan"):
        lines.append(plan({"plan": answer["plan"]}))
    return "\n".join(lines)


def has_all_replicas(entry_status: dict[str, Any]) -> bool:
    """Return whether there are services and each has all its replicas.

    A replica counts if its weights are complete and verified.
    """
    if not entry_status["services"]:
        return False
    for service in entry_status["services"]:
        if service["whole_replicas"] < service["replicas"]:
            return False
    return True


def differences(
    accepted: list[dict[str, Any]], proposed: list[dict[str, Any]]
) -> list[str]:
    """Return one line per service that is new and per key that differs.

    Only the services in ``proposed`` are compared.
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


def format_mib(size_bytes: float) -> str:
    """Return a number of bytes in MiB, with its unit."""
    return f"{size_bytes / MIB_BYTES:.1f} MiB"
