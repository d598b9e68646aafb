"""Answer the floor requests of starting nodes while this node is a root."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from .context import OWN_LINK_NUMBER, Context, Link, Role
from .directory import Directory
from .floors import RULE_HEAD, RULE_ROOTS, find_floor_from_roots
from .headreader import HeadReader
from .messages import Floor, FloorRequest, GenerationReport, GenerationRequest

# Renews the lease at once; the callback gets the version written, or None.
RenewLease = Callable[[Callable[[int | None, float], None]], bool]

# Keeps the calls for floor requests within a root's share of the platform.
MIN_CONFIRMATION_INTERVAL_S = 0.25


class _PendingRequest(NamedTuple):
    workspace: str
    link_number: int


class _GenerationQuery(NamedTuple):
    nonce: int
    workspace: str
    answers: dict[str, int]


class FloorResponder:
    """Collect floor requests and answer them together.

    Rule `head`: renewing the own lease after the request proves that this node is still a root, and
    a head read at or above the revision of that renewal is newer than the request.

    Rule `roots`, if the platform does not answer: the floor is the highest generation of all listed
    roots, which each of them reports.
    """

    def __init__(
        self,
        ctx: Context,
        *,
        directory: Directory,
        heads: HeadReader,
        renew: RenewLease,
        is_directory_confirmed: Callable[[], bool],
        set_own_floor: Callable[[int, str], None],
    ) -> None:
        self._ctx = ctx
        self._directory = directory
        self._heads = heads
        self._renew = renew
        self._is_directory_confirmed = is_directory_confirmed
        self._set_own_floor = set_own_floor
        self._pending: dict[tuple[str, int], _PendingRequest] = {}
        self._confirming = False
        self._next_confirmation_at = 0.0
        self._nonce = 0
        self._queries: list[_GenerationQuery] = []
        self._query_batch: dict[tuple[str, int], _PendingRequest] = {}
        self._query_deadline = 0.0

    def request(self, message: FloorRequest, *, workspace: str, link_number: int) -> None:
        """Queue a request that arrived on a link."""
        self._pending[(message.vm, message.incarnation)] = _PendingRequest(workspace, link_number)

    def reset(self) -> None:
        """Forget every request because this node is no longer a root; the nodes ask again."""
        self._pending.clear()
        self._queries.clear()
        self._query_batch.clear()
        self._confirming = False

    def tick(self, now: float) -> None:
        """Start a confirmation if one is due, and give up one that is not answered in time."""
        if self._queries and now >= self._query_deadline:
            self._queries.clear()
            self._confirming = False
        if not self._pending or self._confirming or now < self._next_confirmation_at:
            return
        batch = dict(self._pending)
        if not self._renew(lambda version, now: self._on_renewed(batch, version, now)):
            return
        self._pending.clear()
        self._confirming = True
        self._next_confirmation_at = now + MIN_CONFIRMATION_INTERVAL_S

    def on_generation_request(self, link: Link, message: GenerationRequest, now: float) -> None:
        """Report this root's generation of a workspace to another root, or -1 if not known."""
        generation = self._heads.get_generation(message.workspace)
        self._ctx.send(link, GenerationReport(message.nonce, generation), now)

    def on_generation_report(self, link: Link, message: GenerationReport, now: float) -> None:
        """Record another root's generation if the directory lists that root with the same lease."""
        lease = self._directory.get_zone_leases().get(link.lease_index)
        if lease is None or (lease["vm"], lease["epoch"]) != (link.vm, link.lease_epoch):
            return
        for query in self._queries:
            if query.nonce == message.nonce:
                query.answers[link.vm] = message.generation
        self._reply_by_roots(now)

    def _on_renewed(
        self, batch: dict[tuple[str, int], _PendingRequest], version: int | None, now: float
    ) -> None:
        if version is None:
            self._query_roots(batch, now)
            return

        def finish(succeeded: bool, now: float) -> None:
            if not succeeded:
                self._query_roots(batch, now)
                return
            self._confirming = False
            for key, request in batch.items():
                generation = self._heads.index.get_generation(request.workspace)
                self._reply(key, request, generation, RULE_HEAD, now)

        self._heads.refresh(finish, min_revision=version)

    def _query_roots(self, batch: dict[tuple[str, int], _PendingRequest], now: float) -> None:
        self._query_batch = batch
        self._queries = []
        self._query_deadline = now + self._ctx.settings.heartbeat_s
        for workspace in sorted({request.workspace for request in batch.values()}):
            self._nonce += 1
            self._queries.append(_GenerationQuery(self._nonce, workspace, {}))
            for link in list(self._ctx.list_links(Role.PEER)):
                if link.availability_zone == self._ctx.own.availability_zone:
                    self._ctx.send(link, GenerationRequest(self._nonce, workspace), now)
        self._reply_by_roots(now)

    def _reply_by_roots(self, now: float) -> None:
        if not self._is_directory_confirmed():
            return
        for query in list(self._queries):
            floor = self._find_floor(query)
            if floor is None:
                continue
            self._queries.remove(query)
            for key, request in self._query_batch.items():
                if request.workspace == query.workspace:
                    self._reply(key, request, floor, RULE_ROOTS, now)
        if not self._queries:
            self._confirming = False

    def _find_floor(self, query: _GenerationQuery) -> int | None:
        own_generation = self._heads.get_generation(query.workspace)
        if own_generation < 0:
            return None
        return find_floor_from_roots(
            self._directory.get_zone_leases(),
            query.answers,
            own_vm=self._ctx.own.vm,
            own_generation=own_generation,
        )

    def _reply(
        self, key: tuple[str, int], request: _PendingRequest, floor: int, rule: str, now: float
    ) -> None:
        if request.link_number == OWN_LINK_NUMBER:
            self._set_own_floor(floor, rule)
            return
        link = self._ctx.links.get(request.link_number)
        if link is not None and link.established:
            self._ctx.send(link, Floor(*key, floor, rule), now)
