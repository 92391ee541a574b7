"""Text that the stand-in engine generates.

The text is a pure function of the weights and the prompt, so that a test can determine
from an answer which weights generated it and for which prompt.
"""

import hashlib
import json

DIGEST_PREFIX_DIGITS = 12


def generate_token(version: str, digest: str, prompt: str, index: int) -> str:
    """Return the token at ``index`` of the answer to ``prompt``."""
    if index == 0:
        return f"{version}/{digest[:DIGEST_PREFIX_DIGITS]} "
    source = f"{version}|{digest[:DIGEST_PREFIX_DIGITS]}|{prompt}|{index}"
    return hashlib.sha256(source.encode()).hexdigest()[:5] + " "


def generate_answer(version: str, digest: str, prompt: str, max_tokens: int) -> str:
    """Return the complete text of an answer."""
    return "".join(
        generate_token(version, digest, prompt, index) for index in range(max_tokens)
    )


def parse_events(payload: bytes) -> tuple[str, bool]:
    """Return the text of server-sent events, and whether they include the end event."""
    text = []
    for event in payload.split(b"\n\n"):
        if not event.startswith(b"data: "):
            continue
        body = event[len(b"data: ") :]
        if body == b"[DONE]":
            return "".join(text), True
        text.append(json.loads(body)["choices"][0]["text"])
    return "".join(text), False
