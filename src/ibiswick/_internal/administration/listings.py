"""Read complete listings of the platform page by page."""

from __future__ import annotations

from ..shared.objectapi import Platform, StoredObject

PAGE_SIZE = 1000


async def read_all(platform: Platform, prefix: str) -> list[StoredObject]:
    """Return every object under a prefix, ordered by key."""
    objects: list[StoredObject] = []
    after = ""
    while True:
        page = (await platform.list(prefix, after=after, limit=PAGE_SIZE)).objects
        objects += page
        if len(page) < PAGE_SIZE:
            return objects
        after = page[-1].key
