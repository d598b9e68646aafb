"""Find and keep a parent."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from enum import Enum, auto

from ..shared.settings import Address
from .configuration import Configuration
from .context import Context, Link, Role
from .directory import Directory
from .messages import PROTOCOL_VERSION, Accept, Join, Position, Redirect, Refuse
from .tree import MIN_BACKOFF_S, draw_backoff

MAX_SEEDS_TRIED = 3
# More redirects than a tree has levels mean that the tree is changing.
MAX_REDIRECTS = 12
# After this many link timeouts without a new beat of a root, a node looks for another parent even
# though its parent answers.
ROOTLESS_TIMEOUT_FACTOR = 3


class Stage(Enum):
    """Stage of the search for a parent."""

    STOPPED = auto()
    WAITING = auto()
    READING = auto()
    JOINING = auto()
    JOINED = auto()


class ParentConnector:
    """Join a parent and keep the link to it.

    Candidates are tried in this order: the target of a redirect, spare parents, seeds, and the
    roots in the directory.
    """

    def __init__(
        self,
        ctx: Context,
        *,
        directory: Directory,
        configuration: Configuration,
        take_lease: Callable[[float], bool],
    ) -> None:
        self._ctx = ctx
        self._directory = directory
        self._configuration = configuration
        self._take_lease = take_lease
        self.stage = Stage.STOPPED
        self.link: Link | None = None
        self._candidates: deque[Address] = deque()
        self._next_attempt_at = 0.0
        self._attempt = 0
        self._redirect_count = 0
        self._root_beat_at = 0.0

    def start(self, now: float, *, delay_s: float = 0.0) -> None:
        """Start to look for a parent, at the earliest after `delay_s`."""
        self._candidates.clear()
        self._add_candidates(self._ctx.spare_parents)
        seeds = list(self._ctx.settings.seeds)
        self._ctx.random.shuffle(seeds)
        self._add_candidates(tuple(seeds[:MAX_SEEDS_TRIED]))
        self._redirect_count = 0
        self._wait(now + delay_s)

    def stop(self, reason: str) -> None:
        """Leave the parent, because this node became a root or stops."""
        self.stage = Stage.STOPPED
        self._drop_link(reason)

    def tick(self, now: float) -> None:
        """Take the step that is due."""
        settings = self._ctx.settings
        if self.stage is Stage.WAITING and now >= self._next_attempt_at:
            self._try_next(now)
        elif self.stage is Stage.JOINING and self.link is not None:
            if now - self.link.opened_at > settings.link_timeout_s:
                self._fail_attempt(now, "no answer to the join")
        elif self.stage is Stage.JOINED and self._is_rootless(now):
            self._ctx.spare_parents = ()
            self._leave_parent(now, "no beat of a root")

    def on_opened(self, link: Link, now: float) -> None:
        """Send the join on a link that opened, with a raised sequence of the own member record."""
        self._ctx.announce(now)
        join = Join(
            version=PROTOCOL_VERSION,
            member=self._ctx.own,
            generation=self._configuration.generation,
            digest=self._configuration.digest,
        )
        self._ctx.send(link, join, now)

    def on_closed(self, link: Link, now: float) -> None:
        """Look for another parent after the link to one closed."""
        if link is not self.link:
            return
        joined = self.stage is Stage.JOINED
        self.link = None
        if joined:
            self._clear_path(now)
            # Keeps the children of a lost parent from joining a spare one at the same moment.
            self.start(now, delay_s=self._ctx.random.uniform(0.0, self._jitter_s))
        elif self.stage is Stage.JOINING:
            self._wait(now)

    def on_accept(self, link: Link, message: Accept, now: float) -> None:
        """Make the sender the parent, unless this node is above it."""
        if self._ctx.own.vm in message.path or not message.path:
            self._fail_attempt(now, "the parent is below this node")
            return
        if link.identity is not None and link.identity.vm != message.path[-1]:
            self._fail_attempt(now, "the parent's certificate names another VM")
            return
        self.stage = Stage.JOINED
        self._attempt = 0
        self._redirect_count = 0
        self._root_beat_at = now
        self._candidates.clear()
        link.admit()
        link.vm = message.path[-1]
        self._ctx.parent_path = message.path
        self._ctx.spare_parents = message.spare_parents
        self._ctx.root_beat = 0
        self._ctx.log("info", "joined", parent=link.vm, root=message.path[0])

    def on_position(self, message: Position, now: float) -> None:
        """Store the parent's new path, or leave the parent if it is below this node."""
        if self._ctx.own.vm in message.path:
            self._leave_parent(now, "the parent is below this node")
            return
        if message.path[:1] != self._ctx.parent_path[:1]:
            self._ctx.root_beat = 0
        self._ctx.parent_path = message.path
        self._ctx.spare_parents = message.spare_parents

    def on_redirect(self, message: Redirect, now: float) -> None:
        """Leave the parent or candidate and try the node that the redirect names, if any."""
        if self.stage is Stage.JOINED:
            self._clear_path(now)
            self.start(now)
        self._redirect_count += 1
        if message.host and self._redirect_count <= MAX_REDIRECTS:
            self._candidates.appendleft(Address(message.host, message.port))
        self._drop_link("redirected")
        self._wait(now + message.delay_s)

    def on_refuse(self, message: Refuse, now: float) -> None:
        """Wait for the given delay, then try the sibling, or the same node if it was only busy."""
        target = self.link.address if self.link is not None else None
        self._redirect_count += 1
        if self._redirect_count > MAX_REDIRECTS:
            target = None
        elif message.host:
            target = Address(message.host, message.port)
        elif message.code != "busy":
            target = None
        if target is not None:
            self._candidates.appendleft(target)
        self._drop_link("refused")
        self._wait(now + (message.delay_s if target is not None else 0.0))

    def on_root_beat(self, root_beat: int, now: float) -> None:
        """Record the root's counter; only a higher value shows that the root is connected."""
        if root_beat > self._ctx.root_beat:
            self._ctx.root_beat = root_beat
            self._root_beat_at = now

    def _is_rootless(self, now: float) -> bool:
        limit_s = ROOTLESS_TIMEOUT_FACTOR * self._ctx.settings.link_timeout_s
        return now - self._root_beat_at > limit_s

    @property
    def _jitter_s(self) -> float:
        return self._ctx.settings.heartbeat_s / 2

    def _try_next(self, now: float) -> None:
        if not self._candidates:
            self.stage = Stage.READING
            self._directory.read(self._on_directory_read, all_zones=False)
            return
        self.stage = Stage.JOINING
        self.link = self._ctx.connect(Role.PARENT, self._candidates.popleft(), now)

    def _on_directory_read(self, _succeeded: bool, now: float) -> None:
        if self.stage is not Stage.READING:
            return
        if self._take_lease(now):
            return
        self._add_candidates(tuple(self._directory.list_root_addresses(self._ctx.own.workspace)))
        if self._attempt:
            self._add_candidates((*self._ctx.spare_parents, *self._ctx.settings.seeds))
        self._redirect_count = 0
        # The directory is read again once all these candidates were tried.
        if self._candidates:
            self._wait(now)
        else:
            self._back_off(now)

    def on_lease_not_taken(self, now: float) -> None:
        """Continue the search after an attempt to take a lease failed."""
        if self.stage is Stage.READING:
            self._back_off(now)

    def _back_off(self, now: float) -> None:
        self._attempt += 1
        first_s = max(MIN_BACKOFF_S, self._ctx.settings.directory_jitter_s / 10)
        self._wait(now + draw_backoff(self._ctx.random, self._attempt, first_s=first_s))

    def _wait(self, until: float) -> None:
        if not self._candidates and self.stage is not Stage.READING:
            until += self._draw_directory_delay()
        self.stage = Stage.WAITING
        self._next_attempt_at = until

    def _draw_directory_delay(self) -> float:
        settings = self._ctx.settings
        if self._attempt == 0:
            self._attempt = 1
            return self._ctx.random.uniform(0.0, settings.directory_jitter_s)
        self._attempt += 1
        first_s = max(MIN_BACKOFF_S, settings.directory_jitter_s / 10)
        return draw_backoff(self._ctx.random, self._attempt, first_s=first_s)

    def _fail_attempt(self, now: float, reason: str) -> None:
        self._drop_link(reason)
        self._wait(now)

    def _leave_parent(self, now: float, reason: str) -> None:
        self._ctx.log("warn", "parent-left", reason=reason)
        self._clear_path(now)
        self._drop_link(reason)
        self.start(now)

    def _drop_link(self, reason: str) -> None:
        link = self.link
        self.link = None
        if link is not None:
            self._ctx.close(link, reason)

    def _clear_path(self, now: float) -> None:
        self._ctx.parent_path = ()
        if self.link is not None:
            self._ctx.member_table.mark_stale(self.link.number, now)

    def _add_candidates(self, addresses: tuple[Address, ...]) -> None:
        for address in addresses:
            if address != self._ctx.own_address and address not in self._candidates:
                self._candidates.append(address)
