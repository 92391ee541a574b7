"""Reads files of intents and fills in the hashes and sizes of their manifests."""

import pathlib

import msgspec

from toucanspread.core import data, decoder
from toucanspread.core.agreement import intents
from toucanspread.core.transfers import manifest


class IntentFileError(Exception):
    """A file of intents or a manifest is invalid or cannot be read.

    :param problems: one line per error, each with the file's name.
    """

    def __init__(self, problems: list[str]):
        super().__init__("\n".join(problems))
        self.problems = problems


def read_intent_file(
    path: pathlib.Path, manifest_paths: list[pathlib.Path]
) -> tuple[list[dict], list[str]]:
    """Return a file's intents as JSON objects, and the services that it removes.

    A model intent without a manifest hash gets the hash and the size of the manifest
    among ``manifest_paths`` that has the same model and version.

    :raises IntentFileError: with all errors found.
    """
    try:
        declared = intents.parse(path.read_text())
    except OSError as error:
        raise IntentFileError([f"{path}: cannot be read: {error.strerror}"]) from error
    except ExceptionGroup as group:
        problems = [f"{path}: {error}" for error in group.exceptions]
        raise IntentFileError(problems) from group
    manifests = _read_manifests(manifest_paths)
    filled = [_fill_manifest_fields(intent, manifests) for intent in declared.intents]
    problems = []
    for intent in filled:
        problems.extend(f"{path}: {error}" for error in intents.validate(intent))
    if problems:
        raise IntentFileError(problems)
    return decoder.parse_json(msgspec.json.encode(filled)), list(declared.removed)


def fill_defaults(json_objects: list[dict]) -> list[dict]:
    """Return JSON intents with all fields set, so that equal intents compare equal."""
    complete = []
    for json_object in json_objects:
        intent = decoder.convert(json_object, data.Intent)
        fields = msgspec.structs.asdict(intent)
        complete.append(decoder.parse_json(msgspec.json.encode(fields)))
    return complete


def _read_manifests(
    paths: list[pathlib.Path],
) -> dict[tuple[data.ModelName, data.VersionName], manifest.Manifest]:
    manifests = {}
    for path in paths:
        try:
            loaded = manifest.decode(path.read_bytes())
        except OSError as error:
            raise IntentFileError(
                [f"{path}: cannot be read: {error.strerror}"]
            ) from error
        except manifest.ManifestError as error:
            raise IntentFileError([f"{path}: {error}"]) from error
        manifests[loaded.model, loaded.version] = loaded
    return manifests


def _fill_manifest_fields(intent: data.Intent, manifests: dict) -> data.Intent:
    loaded = manifests.get((intent.model, intent.version))
    if loaded is None or intent.manifest_hash:
        return intent
    return msgspec.structs.replace(
        intent,
        manifest_hash=manifest.hash_manifest(loaded),
        weights_bytes=sum(entry.size_bytes for entry in loaded.files),
    )
