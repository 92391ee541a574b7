"""Calls of the command line on an entry's HTTP API."""

import http.client
import json
import urllib.error
import urllib.request
from typing import Any

TIMEOUT_S = 15.0


class EntryError(Exception):
    """An entry did not do what it was asked.

    :param status: the HTTP status; 0 when the entry was not reached.
    :param answer: the JSON body, when there is one.
    """

    def __init__(self, why: str, status: int = 0, answer: Any = None):
        super().__init__(why)
        self.status = status
        self.answer = answer


def get(entry: str, path: str) -> Any:
    """Return the JSON at a path of an entry.

    :param entry: ``ip:port`` of the entry's HTTP address.
    :raises EntryError: when it is not reached or refuses.
    """
    return _call(urllib.request.Request(f"http://{entry}{path}"))


def post(entry: str, path: str, body: bytes) -> Any:
    """Post a JSON body and return the JSON answer.

    :raises EntryError: when it is not reached or refuses.
    """
    headers = {"Content-Type": "application/json"}
    return _call(urllib.request.Request(f"http://{entry}{path}", body, headers))


def _call(request: urllib.request.Request) -> Any:
    try:
        with urllib.request.urlopen(request, timeout=TIMEOUT_S) as response:
            return json.load(response)
    except urllib.error.HTTPError as error:
        raise _refused(request, error) from error
    except (OSError, http.client.HTTPException, ValueError) as error:
        raise EntryError(f"{request.full_url}: no answer: {error}") from error


def _refused(
    request: urllib.request.Request, error: urllib.error.HTTPError
) -> EntryError:
    payload = error.read()
    try:
        answer = json.loads(payload)
    except ValueError:
        answer = None
    why = f"{request.full_url}: status {error.code}"
    return EntryError(why, error.code, answer)
