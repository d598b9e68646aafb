"""Answer the floor requests of starting nodes while this node is a root."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from .context import SELF, Context, Link, Role
from .directory import Directory
from .floors import RULE_HEAD, RULE_ROOTS, confirm_by_roots
from .headreader import HeadReader
from .messages import Floor, FloorRequest, GenerationReport, GenerationRequest

# Renews the lease now; the callback gets the version written, or None.
Renew = Callable[[Callable[[int | None, float], None]], bool]

# At most so many confirmations a second keep floor requests within a root's share of the platform.
MIN_INTERVAL_S = 0.25


class _Waiting(NamedTuple):
    workspace: str
    link: int


class _Question(NamedTuple):
    nonce: int
    workspace: str
    answers: dict[str, int]


class FloorResponder:
    """Collect floor requests and answer them together.

    Rule `head`: a renewal of the own lease after the request proves that this node is still a root,
    and a read of the head at or above the renewal's revision is newer than the request. Rule
    `roots`, when the platform does not answer: every listed root tells its generation.
    """

    def __init__(
        self,
        ctx: Context,
        *,
        directory: Directory,
        heads: HeadReader,
        renew: Renew,
        is_directory_proven: Callable[[], bool],
        take_own: Callable[[int, str], None],
    ) -> None:
        self._ctx = ctx
        self._directory = directory
        self._heads = heads
        self._renew = renew
        self._is_directory_proven = is_directory_proven
        self._take_own = take_own
        self._waiting: dict[tuple[str, int], _Waiting] = {}
        self._busy = False
        self._next_at = 0.0
        self._nonce = 0
        self._questions: list[_Question] = []
        self._asked: dict[tuple[str, int], _Waiting] = {}
        self._give_up_at = 0.0

    def request(self, message: FloorRequest, *, workspace: str, link: int) -> None:
        """Note a request that came in on a link."""
        self._waiting[(message.vm, message.incarnation)] = _Waiting(workspace, link)

    def reset(self) -> None:
        """Forget every request, because the role ended; the nodes ask again."""
        self._waiting.clear()
        self._questions.clear()
        self._asked.clear()
        self._busy = False

    def tick(self, now: float) -> None:
        """Start a confirmation if one is due, or give up on one without answers."""
        if self._questions and now >= self._give_up_at:
            self._questions.clear()
            self._busy = False
        if not self._waiting or self._busy or now < self._next_at:
            return
        batch = dict(self._waiting)
        if not self._renew(lambda version, now: self._notice_renewed(batch, version, now)):
            return
        self._waiting.clear()
        self._busy = True
        self._next_at = now + MIN_INTERVAL_S

    def answer(self, link: Link, message: GenerationRequest, now: float) -> None:
        """Tell another root the generation known here as a root, or -1."""
        generation = self._heads.get_generation(message.workspace)
        self._ctx.send(link, GenerationReport(message.nonce, generation), now)

    def take_answer(self, link: Link, message: GenerationReport, now: float) -> None:
        """Take another root's generation if the directory lists it with the same lease."""
        lease = self._directory.list_zone().get(link.index)
        if lease is None or (lease["vm"], lease["epoch"]) != (link.vm, link.epoch):
            return
        for question in self._questions:
            if question.nonce == message.nonce:
                question.answers[link.vm] = message.generation
        self._try_roots(now)

    def _notice_renewed(
        self, batch: dict[tuple[str, int], _Waiting], version: int | None, now: float
    ) -> None:
        if version is None:
            self._ask_roots(batch, now)
            return

        def finish(worked: bool, now: float) -> None:
            if not worked:
                self._ask_roots(batch, now)
                return
            self._busy = False
            for key, waiting in batch.items():
                generation = self._heads.index.get_generation(waiting.workspace)
                self._reply(key, waiting, generation, RULE_HEAD, now)

        self._heads.refresh(finish, min_revision=version)

    def _ask_roots(self, batch: dict[tuple[str, int], _Waiting], now: float) -> None:
        self._asked = batch
        self._questions = []
        self._give_up_at = now + self._ctx.settings.heartbeat_s
        for workspace in sorted({waiting.workspace for waiting in batch.values()}):
            self._nonce += 1
            self._questions.append(_Question(self._nonce, workspace, {}))
            for link in list(self._ctx.list_links(Role.PEER)):
                if link.availability_zone == self._ctx.own.availability_zone:
                    self._ctx.send(link, GenerationRequest(self._nonce, workspace), now)
        self._try_roots(now)

    def _try_roots(self, now: float) -> None:
        if not self._is_directory_proven():
            return
        for question in list(self._questions):
            floor = self._find_floor(question)
            if floor is None:
                continue
            self._questions.remove(question)
            for key, waiting in self._asked.items():
                if waiting.workspace == question.workspace:
                    self._reply(key, waiting, floor, RULE_ROOTS, now)
        if not self._questions:
            self._busy = False

    def _find_floor(self, question: _Question) -> int | None:
        own = self._heads.get_generation(question.workspace)
        if own < 0:
            return None
        return confirm_by_roots(
            self._directory.list_zone(), question.answers, own_vm=self._ctx.own.vm, own=own
        )

    def _reply(
        self, key: tuple[str, int], waiting: _Waiting, floor: int, rule: str, now: float
    ) -> None:
        if waiting.link == SELF:
            self._take_own(floor, rule)
            return
        link = self._ctx.links.get(waiting.link)
        if link is not None and link.established:
            self._ctx.send(link, Floor(*key, floor, rule), now)
