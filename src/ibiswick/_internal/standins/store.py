"""Store objects in memory with the semantics of the platform's object API."""

from __future__ import annotations

import bisect
from typing import Any

import msgspec

from ..shared.errors import ConflictError, ValueTooLargeError
from ..shared.objectapi import MAX_VALUE_BYTES, Listing, StoredObject


class ObjectStore:
    """Hold versioned objects.

    Values are kept encoded, so that a caller cannot change a stored object through a reference.

    * `revision`: version of the newest write.
    * `era`: number that increases by one whenever the store is restored from a copy.
    """

    def __init__(self) -> None:
        self.era = 1
        self.revision = 0
        self._objects: dict[str, tuple[int, bytes]] = {}
        self._keys: list[str] = []
        # Ordered by version, the oldest first. Deleted keys stay, because watches report them.
        self._versions: dict[str, int] = {}

    def copy(self) -> ObjectStore:
        """Return a copy from which this store can be restored."""
        copied = ObjectStore()
        copied.era, copied.revision = self.era, self.revision
        copied._objects = dict(self._objects)
        copied._keys = list(self._keys)
        copied._versions = dict(self._versions)
        return copied

    def restore(self, copy: ObjectStore) -> None:
        """Restore a copy; later writes are lost, and their revisions are assigned again."""
        self.era += 1
        self.revision = copy.revision
        self._objects = dict(copy._objects)
        self._keys = list(copy._keys)
        self._versions = dict(copy._versions)

    def get(self, key: str) -> StoredObject | None:
        """Return one object, or None when it is missing."""
        entry = self._objects.get(key)
        return None if entry is None else _decode(key, entry)

    def put(self, key: str, value: Any, *, expected: int | None = None) -> int:
        """Write one object; raise ConflictError or ValueTooLargeError."""
        return self.put_raw(key, msgspec.json.encode(value), expected=expected)

    def put_raw(self, key: str, raw: bytes, *, expected: int | None = None) -> int:
        """Write one object that is already encoded as JSON."""
        if len(raw) > MAX_VALUE_BYTES:
            raise ValueTooLargeError(f"{key} has {len(raw)} bytes, the limit is {MAX_VALUE_BYTES}")
        self._check_version(key, expected)
        if key not in self._objects:
            bisect.insort(self._keys, key)
        self._objects[key] = (self._assign_revision(key), raw)
        return self.revision

    def delete(self, key: str, *, expected: int | None = None) -> bool:
        """Delete one object; return whether it existed. Raise ConflictError."""
        self._check_version(key, expected)
        if key not in self._objects:
            return False
        del self._objects[key]
        del self._keys[bisect.bisect_left(self._keys, key)]
        self._assign_revision(key)
        return True

    def list(
        self, prefix: str, *, after: str = "", limit: int = 1000, reverse: bool = False
    ) -> Listing:
        """Return objects under a prefix with keys above `after`, or below it in reverse order."""
        low = bisect.bisect_left(self._keys, prefix)
        # U+10FFFF is the highest code point, so it sorts after every key under the prefix.
        high = bisect.bisect_left(self._keys, prefix + "\U0010ffff")
        if after and reverse:
            high = min(high, bisect.bisect_left(self._keys, after))
        elif after:
            low = max(low, bisect.bisect_right(self._keys, after))
        keys = self._keys[low : max(low, high)]
        if reverse:
            keys.reverse()
        objects = tuple(_decode(key, self._objects[key]) for key in keys[:limit])
        return Listing(self.revision, objects)

    def list_changes(self, prefix: str, *, after: int) -> Listing:
        """Return the objects under a prefix written or deleted after a revision, by key."""
        keys = []
        for key in reversed(self._versions):
            if self._versions[key] <= after:
                break
            if key.startswith(prefix):
                keys.append(key)
        return Listing(self.revision, tuple(self._read_change(key) for key in sorted(keys)))

    def _read_change(self, key: str) -> StoredObject:
        return self.get(key) or StoredObject(key, self._versions[key], None)

    def _check_version(self, key: str, expected: int | None) -> None:
        current = self._objects[key][0] if key in self._objects else 0
        if expected is not None and expected != current:
            raise ConflictError(f"{key} has version {current}, not {expected}", current=current)

    def _assign_revision(self, key: str) -> int:
        self.revision += 1
        self._versions.pop(key, None)
        self._versions[key] = self.revision
        return self.revision


def _decode(key: str, entry: tuple[int, bytes]) -> StoredObject:
    version, raw = entry
    return StoredObject(key, version, msgspec.json.decode(raw))
