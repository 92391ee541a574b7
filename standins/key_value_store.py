"""State of the stand-in for the key-value service: keys, sessions and watches.

The store follows the published semantics of Consul's KV store as far as this project
uses them: one index for all changes, compare-and-swap on the ``ModifyIndex`` of a key,
and locks held by sessions that expire unless they are renewed.
"""

import copy
import dataclasses
import uuid

from twisted.internet import defer
from twisted.internet.interfaces import IReactorTime

FIRST_INDEX = 10  # an index of 0 or 1 has a special meaning for clients


@dataclasses.dataclass
class Entry:
    """The value and the indexes of a key."""

    value: bytes
    create_index: int
    modify_index: int
    lock_index: int = 0
    session: str = ""


@dataclasses.dataclass
class Session:
    """A holder of locks that expires at ``expires_s`` unless it is renewed."""

    ttl_s: float
    expires_s: float


class Store:
    """Keys, sessions and blocked watches."""

    def __init__(self, clock: IReactorTime):
        self.index = FIRST_INDEX
        self.entries: dict[str, Entry] = {}
        self._change_indexes: dict[str, int] = {}
        self._sessions: dict[str, Session] = {}
        self._watches: dict[str, list[defer.Deferred]] = {}
        self._clock = clock
        self._saved_state: tuple | None = None

    def get_key_index(self, key: str) -> int:
        """Return the index of the key's last change or deletion."""
        return self._change_indexes.get(key, 1)

    def put(self, key: str, value: bytes, expected: int | None) -> bool:
        """Write a key; with ``expected``, only at that modify index (0 if absent)."""
        entry = self.entries.get(key)
        if expected is not None and expected != (entry.modify_index if entry else 0):
            return False
        self._set_value(key, value)
        return True

    def delete(self, key: str, expected: int | None) -> bool:
        """Delete a key; with ``expected``, only at that modify index."""
        entry = self.entries.get(key)
        if entry is None:
            return expected in (None, 0)
        if expected is not None and expected != entry.modify_index:
            return False
        del self.entries[key]
        self._record_change(key)
        return True

    def acquire(self, key: str, value: bytes, session: str) -> bool:
        """Lock a key for a session and write it; return False if it is locked."""
        self.expire_sessions()
        if session not in self._sessions:
            return False
        entry = self.entries.get(key)
        if entry is not None and entry.session not in ("", session):
            return False
        entry = self._set_value(key, value)
        if entry.session == "":
            entry.lock_index += 1
        entry.session = session
        return True

    def release(self, key: str, session: str) -> bool:
        """Unlock a key that the session has locked."""
        entry = self.entries.get(key)
        if entry is None or entry.session != session:
            return False
        self._unlock(key, entry)
        return True

    def create_session(self, ttl_s: float) -> str:
        """Create a session and return its id."""
        session_id = str(uuid.uuid4())
        self._sessions[session_id] = Session(ttl_s, self._clock.seconds() + ttl_s)
        self._clock.callLater(ttl_s, self.expire_sessions)
        return session_id

    def renew_session(self, session_id: str) -> bool:
        """Extend a session by its time to live; return False if it has ended."""
        self.expire_sessions()
        session = self._sessions.get(session_id)
        if session is None:
            return False
        session.expires_s = self._clock.seconds() + session.ttl_s
        self._clock.callLater(session.ttl_s, self.expire_sessions)
        return True

    def destroy_session(self, session_id: str) -> None:
        """End a session and release its locks."""
        self._sessions.pop(session_id, None)
        for key, entry in list(self.entries.items()):
            if entry.session == session_id:
                self._unlock(key, entry)

    def expire_sessions(self) -> None:
        """End the sessions that were not renewed in time."""
        now_s = self._clock.seconds()
        for session_id, session in list(self._sessions.items()):
            if session.expires_s <= now_s:
                self.destroy_session(session_id)

    def wait_for_change(self, key: str, index: int, wait_s: float) -> defer.Deferred:
        """Return a Deferred that fires on a change of the index or after ``wait_s``."""
        done: defer.Deferred = defer.Deferred()
        if self.get_key_index(key) != index:
            done.callback(None)
            return done
        watches = self._watches.setdefault(key, [])
        watches.append(done)
        timer = self._clock.callLater(wait_s, self._finish_watch, key, done)
        done.addBoth(lambda _: timer.cancel() if timer.active() else None)
        return done

    def save(self) -> None:
        """Save the current keys and index for :meth:`restore`."""
        self._saved_state = copy.deepcopy(
            (self.index, self.entries, self._change_indexes)
        )

    def restore(self) -> None:
        """Return to the saved keys and index, as when a backup is restored."""
        if self._saved_state is None:
            return
        self.index, self.entries, self._change_indexes = copy.deepcopy(
            self._saved_state
        )
        self._sessions.clear()
        for key in list(self._watches):
            self._finish_watches(key)

    def _set_value(self, key: str, value: bytes) -> Entry:
        index = self._record_change(key, notify=False)
        entry = self.entries.get(key)
        if entry is None:
            entry = Entry(value, index, index)
            self.entries[key] = entry
        entry.value = value
        entry.modify_index = index
        self._finish_watches(key)
        return entry

    def _unlock(self, key: str, entry: Entry) -> None:
        entry.session = ""
        entry.modify_index = self._record_change(key)

    def _record_change(self, key: str, notify: bool = True) -> int:
        self.index += 1
        self._change_indexes[key] = self.index
        if notify:
            self._finish_watches(key)
        return self.index

    def _finish_watches(self, key: str) -> None:
        for watch in self._watches.pop(key, []):
            self._clock.callLater(0, self._finish_watch, key, watch)

    def _finish_watch(self, key: str, watch: defer.Deferred) -> None:
        remaining = self._watches.get(key, [])
        if watch in remaining:
            remaining.remove(watch)
        if not watch.called:
            watch.callback(None)
