"""Find the route of a request."""

from __future__ import annotations

from collections.abc import Iterable

from ..shared.records import Route

ANY_HOST = "*"


class RouteTable:
    """Look up routes by host, longest path prefix on segment boundaries, and method.

    A route of the exact host takes precedence over one of the wildcard host, whatever their
    prefixes. With `prefix_needs_slash`, the path must have a slash after the prefix.

    >>> route = {"id": "a", "host": "*", "prefix": "/status", "methods": ["GET"]}
    >>> RouteTable([route]).find("shop", "/status/7", "GET")["id"]
    'a'
    >>> RouteTable([route]).find("shop", "/statuses", "GET") is None
    True
    """

    __slots__ = ("_hosts", "_needs_slash")

    def __init__(self, routes: Iterable[Route], *, prefix_needs_slash: bool = False) -> None:
        self._needs_slash = prefix_needs_slash
        self._hosts: dict[str, dict[str, list[Route]]] = {}
        for route in routes:
            prefixes = self._hosts.setdefault(route["host"].lower(), {})
            prefixes.setdefault(route["prefix"].rstrip("/"), []).append(route)

    def find(self, host: str, path: str, method: str) -> Route | None:
        """Return the route of a request; `host` is in lower case and has no port."""
        if self._needs_slash:
            path = path[: path.rfind("/")]
        prefixes = self._hosts.get(host)
        if prefixes is not None:
            route = _find_longest_prefix(prefixes, path, method)
            if route is not None:
                return route
        prefixes = self._hosts.get(ANY_HOST)
        return _find_longest_prefix(prefixes, path, method) if prefixes is not None else None


def _find_longest_prefix(prefixes: dict[str, list[Route]], path: str, method: str) -> Route | None:
    prefix = path.rstrip("/")
    while True:
        for route in prefixes.get(prefix, ()):
            if not route["methods"] or method in route["methods"]:
                return route
        if not prefix:
            return None
        prefix = prefix[: prefix.rfind("/")] if "/" in prefix else ""


def has_dot_segment(path: str) -> bool:
    """Tell whether a decoded path has a "." or ".." segment, which a backend server could resolve.

    Such a path may reach a resource of another route, which has other rules for retries.

    >>> [has_dot_segment(path) for path in ("/a/../b", "/a/.", "/a/..b", "/a.b")]
    [True, True, False, False]
    """
    if "/." not in path:
        return False
    return any(segment in (".", "..") for segment in path.split("/"))
