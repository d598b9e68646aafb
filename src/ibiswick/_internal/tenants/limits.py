"""Grant the tokens of tenants out of the rights that nodes have lent to this one."""

from __future__ import annotations

import hashlib
import heapq
import math
from collections import OrderedDict
from collections.abc import Mapping
from typing import NamedTuple

from .limit_messages import GrantItem, Loan, RequestItem, Stamp, TokenGrant, TokenRequest

PARTITIONS = 64
# A loan counts for this long after its stamp. A node that has lost its coordinator has to wait for
# as long before it uses its right again.
LOAN_S = 1.0
# Rights are added in whole units, as sums of fractions would drift.
WHOLE_RIGHT = 1 << 40
# With fewer rights than this, a coordinator can't tell whether a limit is used up: most of the
# rights are with another one, or have not been lent yet.
KNOWN_RIGHT = WHOLE_RIGHT // 2
# Tokens are granted ahead of calls only from the part of a pool above this share of its burst.
AHEAD_SHARE = 0.8
# Requests that were refused come back one after another, within this time.
MAX_BOOKED_S = 0.25
MIN_WAIT_S = 0.01
# Returned tokens count only if the request is not older, so that a late datagram adds none.
RETURN_S = 0.5
MAX_ANSWERS = 16
# Bounds the memory that requests of nodes can cause.
MAX_LENDERS = 20_000
MAX_POOLS = 20_000
# Absorbs rounding of levels.
TINY = 1e-9


class Limit(NamedTuple):
    """Hold the limit of a tenant over all nodes."""

    rate: float
    burst: float


def find_partition(tenant: str) -> int:
    """Return the partition of a tenant.

    >>> 0 <= find_partition("acme") < PARTITIONS
    True
    """
    digest = hashlib.blake2b(tenant.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") % PARTITIONS


def list_partitions(bitmap: int) -> list[int]:
    """Return the partitions of a bitmap.

    >>> list_partitions(0b1010)
    [1, 3]
    """
    return [partition for partition in range(PARTITIONS) if bitmap >> partition & 1]


class TokenPool:
    """Hold the token bucket of a tenant, as far as its right has been lent to this node."""

    __slots__ = ("_booked", "_level", "_settled_at", "generation", "limit")

    def __init__(self, *, limit: Limit, generation: int, now: float) -> None:
        self.limit = limit
        self.generation = generation
        self._level = 0.0
        # Refused requests that were told to come back, less those whose time has come.
        self._booked = 0.0
        self._settled_at = now

    def settle(self, right: float, *, now: float) -> float:
        """Add what has accrued with an unchanged right; return the level."""
        elapsed_s = now - self._settled_at
        if elapsed_s > 0:
            accrued = elapsed_s * self.limit.rate * right
            self._level += accrued
            self._booked = max(0.0, self._booked - accrued)
            self._settled_at = now
        self._level = min(self._level, self._find_cap(right))
        return self._level

    def _find_cap(self, right: float) -> float:
        """Return the highest level, at least one token where most of the rights are lent.

        Otherwise a burst of 1 could not be used while the right of a node is missing.
        """
        cap = self.limit.burst * right
        return max(cap, 1.0) if right * WHOLE_RIGHT >= KNOWN_RIGHT else cap

    def take(self, item: RequestItem, right: float, *, now: float) -> GrantItem:
        """Grant tokens as far as there are any."""
        level = self.settle(right, now=now)
        tokens = min(item.wanted, int(level + TINY))
        spare = int(level - tokens - AHEAD_SHARE * self.limit.burst * right)
        granted = tokens + max(0, min(item.ahead, spare))
        self._level = max(0.0, level - granted)
        if tokens == item.wanted:
            return GrantItem(item.tenant, granted)
        is_known = right * WHOLE_RIGHT >= KNOWN_RIGHT
        rate = self.limit.rate * right
        if rate <= 0:
            return GrantItem(item.tenant, granted, LOAN_S, is_known)
        wait_s = max(MIN_WAIT_S, (1.0 - self._level + self._booked) / rate)
        self._booked = min(self._booked + 1.0, MAX_BOOKED_S * rate)
        return GrantItem(item.tenant, granted, min(wait_s, LOAN_S), is_known)

    def put(self, tokens: int, right: float, *, now: float) -> None:
        """Take back unused tokens."""
        self.settle(right, now=now)
        self._level = min(self._level + tokens, self._find_cap(right))


class _Lender:
    """Hold the loan of one node and the answers to its last requests."""

    __slots__ = ("answers", "expires_at", "partitions", "process", "right", "serial", "stamp_at")

    def __init__(self, *, process: int) -> None:
        self.process = process
        self.serial = -1
        self.stamp_at = -math.inf
        self.expires_at = -math.inf
        self.partitions = 0
        self.right = 0
        self.answers: OrderedDict[int, TokenGrant] = OrderedDict()


class LoanBook:
    """Keep the loans of all nodes to this one, and grant tokens out of them."""

    def __init__(self, *, vm: str, process: int) -> None:
        self._vm = vm
        self._process = process
        self._generation = 0
        self._lenders: dict[str, _Lender] = {}
        # Loans by their end. An entry may be too early, as renewals don't change it.
        self._ends: list[tuple[float, str]] = []
        self._rights = [0] * PARTITIONS
        self._pools: list[dict[str, TokenPool]] = [{} for _ in range(PARTITIONS)]
        self._pool_count = 0
        self.leaving = False
        self.granted = 0
        self.refused = 0

    def count_loans(self) -> int:
        """Return the number of nodes that lend to this one."""
        return sum(lender.partitions != 0 for lender in self._lenders.values())

    def list_loans(self, now: float) -> list[tuple[str, int]]:
        """Return the lenders with the partitions that may be used now."""
        return [
            (vm, lender.partitions)
            for vm, lender in self._lenders.items()
            if lender.partitions and lender.expires_at > now
        ]

    def count_state(self) -> tuple[int, int]:
        """Return the numbers of lenders and pools that take memory."""
        return len(self._lenders), self._pool_count

    def get_right(self, partition: int) -> float:
        """Return the lent part of the limits of a partition, at most 1."""
        return min(self._rights[partition], WHOLE_RIGHT) / WHOLE_RIGHT

    def configure(self, limits: Mapping[str, Limit], generation: int, *, now: float) -> None:
        """Apply the limits of a new configuration, and cut levels to them."""
        self.expire(now)
        self._generation = generation
        for partition, pools in enumerate(self._pools):
            right = self.get_right(partition)
            for tenant, pool in list(pools.items()):
                if pool.generation > generation:
                    continue
                if tenant not in limits:
                    del pools[tenant]
                    self._pool_count -= 1
                else:
                    pool.settle(right, now=now)
                    pool.limit, pool.generation = limits[tenant], generation
                    pool.settle(right, now=now)
        for tenant, limit in limits.items():
            self._find_pool(tenant, limit, generation, now=now)

    def _find_pool(
        self, tenant: str, limit: Limit, generation: int, *, now: float
    ) -> TokenPool | None:
        """Return the pool of a tenant, with the limit of the newest configuration heard of."""
        partition = find_partition(tenant)
        pools = self._pools[partition]
        pool = pools.get(tenant)
        if pool is None:
            if generation < self._generation or self._pool_count >= MAX_POOLS:
                return None
            pool = pools[tenant] = TokenPool(limit=limit, generation=generation, now=now)
            self._pool_count += 1
        elif generation > pool.generation:
            right = self.get_right(partition)
            pool.settle(right, now=now)
            pool.limit, pool.generation = limit, generation
            pool.settle(right, now=now)
        return pool

    def expire(self, now: float) -> None:
        """End the loans whose time is over, each at its own end."""
        while self._ends and self._ends[0][0] <= now:
            _, vm = heapq.heappop(self._ends)
            lender = self._lenders[vm]
            if lender.expires_at > now:
                heapq.heappush(self._ends, (lender.expires_at, vm))
                continue
            self._set_loan(lender, 0, 0, now=lender.expires_at)
            del self._lenders[vm]

    def _set_loan(self, lender: _Lender, partitions: int, right: int, *, now: float) -> None:
        """Replace the rights that a node has lent, and cut levels to what is left."""
        if partitions == lender.partitions and right == lender.right:
            return
        for partition in list_partitions(partitions | lender.partitions):
            before = self.get_right(partition)
            pools = self._pools[partition].values()
            for pool in pools:
                pool.settle(before, now=now)
            if lender.partitions >> partition & 1:
                self._rights[partition] -= lender.right
            if partitions >> partition & 1:
                self._rights[partition] += right
            after = self.get_right(partition)
            for pool in pools:
                pool.settle(after, now=now)
        lender.partitions, lender.right = partitions, right

    def handle(self, request: TokenRequest, *, now: float) -> TokenGrant | None:
        """Apply the loan of a request and answer it; return None if it must be dropped."""
        self.expire(now)
        if request.sender not in self._lenders and len(self._lenders) >= MAX_LENDERS:
            return None
        is_fresh = self._is_fresh(request.loan.stamp, now)
        lender = self._find_lender(request, is_fresh)
        if lender is None:
            # A stamp is all that a node needs before it can lend, and tokens need no loan.
            return self._answer(request, now=now, accepts_returns=False)
        answer = lender.answers.get(request.serial)
        if answer is not None:
            return answer
        is_newest = request.serial > lender.serial
        if is_newest:
            lender.serial = request.serial
            self._apply_loan(lender, request.sender, request.loan, now=now)
        returns_until = request.loan.stamp.at + RETURN_S
        accepts_returns = is_newest and is_fresh and now < returns_until
        answer = self._answer(request, now=now, accepts_returns=accepts_returns)
        lender.answers[request.serial] = answer
        if len(lender.answers) > MAX_ANSWERS:
            lender.answers.popitem(last=False)
        return answer

    def _is_fresh(self, stamp: Stamp, now: float) -> bool:
        """Tell whether a loan with this stamp may be used now."""
        return stamp.process == self._process and stamp.at <= now < stamp.at + LOAN_S

    def _find_lender(self, request: TokenRequest, is_fresh: bool) -> _Lender | None:
        """Return the entry of a lender; only a fresh stamp makes or replaces one.

        Requests of an earlier process of the lender have older stamps than those of the present
        one, so they never replace its entry.
        """
        lender = self._lenders.get(request.sender)
        if lender is not None and lender.process == request.process:
            return lender
        if not is_fresh:
            return None
        if lender is None:
            lender = self._lenders[request.sender] = _Lender(process=request.process)
            lender.expires_at = request.loan.stamp.at + LOAN_S
            heapq.heappush(self._ends, (lender.expires_at, request.sender))
        elif request.loan.stamp.at > lender.stamp_at:
            lender.process, lender.serial = request.process, -1
            lender.answers.clear()
        else:
            return None
        return lender

    def _apply_loan(self, lender: _Lender, vm: str, loan: Loan, *, now: float) -> None:
        if not self._is_fresh(loan.stamp, now) or loan.stamp.at < lender.stamp_at:
            self._set_loan(lender, 0, 0, now=now)
            return
        lender.stamp_at = loan.stamp.at
        lender.expires_at = loan.stamp.at + LOAN_S
        partitions = loan.partitions & ((1 << PARTITIONS) - 1)
        self._set_loan(lender, partitions, WHOLE_RIGHT // loan.nodes, now=now)

    def _answer(self, request: TokenRequest, *, now: float, accepts_returns: bool) -> TokenGrant:
        items = []
        for item in request.items:
            limit = Limit(item.rate, item.burst)
            pool = self._find_pool(item.tenant, limit, request.generation, now=now)
            if pool is None:
                items.append(GrantItem(item.tenant, 0, MIN_WAIT_S, False))
                continue
            right = self.get_right(find_partition(item.tenant))
            if item.returned and accepts_returns:
                pool.put(item.returned, right, now=now)
            if item.wanted or item.ahead:
                grant = pool.take(item, right, now=now)
                self.granted += grant.tokens
                self.refused += max(0, item.wanted - grant.tokens)
                items.append(grant)
        return TokenGrant(
            self._vm,
            request.process,
            request.serial,
            Stamp(self._process, now),
            self.leaving,
            tuple(items),
        )
