"""Files of intents as the command line sends them: parsed, with manifests filled in."""

import json
import pathlib

import msgspec

from toucanspread.core import data
from toucanspread.core.agreement import intents
from toucanspread.core.transfers import manifest


class IntentFileError(Exception):
    """A file of intents cannot be used.

    :param problems: one line for each fault, with the file's name.
    """

    def __init__(self, problems: list[str]):
        super().__init__("\n".join(problems))
        self.problems = problems


def read(
    path: pathlib.Path, manifest_paths: list[pathlib.Path]
) -> tuple[list[dict], list[str]]:
    """Return a file's intents as JSON objects, and the services that it removes.

    A model intent without a manifest takes that of its model and version among
    ``manifest_paths``.

    :raises IntentFileError: with every fault found.
    """
    try:
        declared = intents.parse(path.read_text())
    except OSError as error:
        raise IntentFileError([f"{path}: {error.strerror}"]) from error
    except ExceptionGroup as group:
        problems = [f"{path}: {error}" for error in group.exceptions]
        raise IntentFileError(problems) from group
    manifests = _read_manifests(manifest_paths)
    filled = [_fill(intent, manifests) for intent in declared.intents]
    problems = []
    for intent in filled:
        problems.extend(f"{path}: {error}" for error in intents.validate(intent))
    if problems:
        raise IntentFileError(problems)
    return json.loads(msgspec.json.encode(filled)), list(declared.removed)


def with_defaults(objects: list[dict]) -> list[dict]:
    """Return intents in JSON with every field, so that equal ones compare equal."""
    complete = []
    for found in objects:
        intent = msgspec.convert(found, data.Intent)
        fields = msgspec.structs.asdict(intent)
        complete.append(json.loads(msgspec.json.encode(fields)))
    return complete


def _read_manifests(
    paths: list[pathlib.Path],
) -> dict[tuple[data.ModelName, data.VersionName], manifest.Manifest]:
    found = {}
    for path in paths:
        try:
            loaded = manifest.decode(path.read_bytes())
        except OSError as error:
            raise IntentFileError([f"{path}: {error.strerror}"]) from error
        except manifest.ManifestError as error:
            raise IntentFileError([f"{path}: {error}"]) from error
        found[loaded.model, loaded.version] = loaded
    return found


def _fill(intent: data.Intent, manifests: dict) -> data.Intent:
    loaded = manifests.get((intent.model, intent.version))
    if loaded is None or intent.manifest_hash:
        return intent
    return msgspec.structs.replace(
        intent,
        manifest_hash=manifest.hash_manifest(loaded),
        weights_bytes=sum(entry.size_bytes for entry in loaded.files),
    )
