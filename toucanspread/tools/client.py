"""HTTP client of the command line for an entry's API."""

import http.client
import urllib.error
import urllib.request
from typing import Any

from toucanspread.core import decoder

TIMEOUT_S = 15.0


class EntryError(Exception):
    """A request to an entry failed.

    :param status: the HTTP status code; 0 if there was no valid answer.
    :param answer: the JSON body of the response, if there is one.
    """

    def __init__(self, why: str, status: int = 0, answer: Any = None):
        super().__init__(why)
        self.status = status
        self.answer = answer


def get(entry: str, path: str) -> Any:
    """Return the JSON response to a GET request to an entry.

    :param entry: ``ip:port`` of the entry's HTTP address.
    :raises EntryError: if the entry gives no valid answer or answers with an error.
    """
    return _send(urllib.request.Request(f"http://{entry}{path}"))


def post(entry: str, path: str, body: bytes) -> Any:
    """Send a JSON body in a POST request and return the JSON response.

    :param entry: ``ip:port`` of the entry's HTTP address.
    :raises EntryError: if the entry gives no valid answer or answers with an error.
    """
    headers = {"Content-Type": "application/json"}
    return _send(urllib.request.Request(f"http://{entry}{path}", body, headers))


def _send(request: urllib.request.Request) -> Any:
    try:
        with urllib.request.urlopen(request, timeout=TIMEOUT_S) as response:
            return decoder.parse_json(response.read())
    except urllib.error.HTTPError as error:
        raise _build_error(request, error) from error
    except (OSError, http.client.HTTPException, ValueError) as error:
        raise EntryError(
            f"{request.full_url}: no valid answer from the entry: {error}"
        ) from error


def _build_error(
    request: urllib.request.Request, error: urllib.error.HTTPError
) -> EntryError:
    payload = error.read()
    try:
        answer = decoder.parse_json(payload)
    except ValueError:
        answer = None
    why = f"{request.full_url}: the entry answered with HTTP status {error.code}"
    return EntryError(why, error.code, answer)
