"""Create, store and check the bearer tokens of the administration API."""

from __future__ import annotations

import asyncio
import hashlib
import hmac
import re
import secrets
import time
from collections import OrderedDict
from collections.abc import Callable, Collection
from enum import IntEnum, StrEnum
from typing import Any, NamedTuple

from ..shared.errors import (
    ForbiddenError,
    InvalidInputError,
    OutcomeUnknownError,
    OverloadedError,
    PlatformError,
    Problem,
    UnauthenticatedError,
)
from ..shared.logs import EventLog
from ..shared.objectapi import MUST_NOT_EXIST, Platform, StoredObject
from .listings import read_all

TOKEN_PREFIX = "tokens/"
ALL_WORKSPACES = "*"
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
SECRET_BYTES = 32
SALT_BYTES = 16
# Secrets have 256 random bits, so scrypt only has to prevent bulk attacks on leaked hashes. A cost
# of 2**14 with a block size of 8 takes 16 MB per check, which a node that hosts the API can spare.
SCRYPT_COST = 2**14
SCRYPT_BLOCK_SIZE = 8
SCRYPT_PARALLELISM = 1
SCRYPT_MEMORY_BYTES = 64 * 2**20
MAX_TOKEN_LENGTH = 200
# Cached records are reread after this time, which also limits how long a removed token is accepted.
CACHE_LIFETIME_S = 10.0
MAX_CACHED_TOKENS = 1024
# Limit of remembered removed tokens; a mesh has a few hundred tokens.
MAX_REMOVED_TOKENS = 4096
# Limit of requests that wait for a scrypt check. Further requests are rejected, so that forged
# tokens cannot fill memory or the executor's queue.
MAX_WAITING_CHECKS = 16

_log = EventLog(component="tokens")


class Role(IntEnum):
    """List the roles of tokens; each role includes the rights of those below it."""

    READ = 1
    PARAMETERS = 2
    TEMPLATES = 3
    ADMIN = 4


class Action(StrEnum):
    """Name the operation that a request performs."""

    READ = "read"
    CHANGE_PARAMETERS = "change-parameters"
    DRAIN = "drain"
    CHANGE_TEMPLATES = "change-templates"
    ROLL_BACK = "roll-back"
    READ_AUDIT = "read-audit"
    MANAGE_TOKENS = "manage-tokens"


REQUIRED_ROLE = {
    Action.READ: Role.READ,
    Action.CHANGE_PARAMETERS: Role.PARAMETERS,
    Action.DRAIN: Role.PARAMETERS,
    Action.CHANGE_TEMPLATES: Role.TEMPLATES,
    Action.ROLL_BACK: Role.TEMPLATES,
    Action.READ_AUDIT: Role.ADMIN,
    Action.MANAGE_TOKENS: Role.ADMIN,
}


class TokenRecord(NamedTuple):
    """Hold the record of a token, stored under `tokens/<name>`; times are Unix times."""

    name: str
    role: Role
    # None means all workspaces.
    workspaces: frozenset[str] | None
    salt: str
    hash: str
    cost: int
    created: float
    # None means that the token does not expire.
    expires: float | None


class Decision(NamedTuple):
    """Hold the result of an authorization check; `detail` is the reason of a denial."""

    allowed: bool
    detail: str


def authorize(token: TokenRecord, action: Action, workspaces: Collection[str] | None) -> Decision:
    """Check whether a token permits an action on workspaces; None means the whole mesh."""
    required_role = REQUIRED_ROLE[action]
    if token.role < required_role:
        return Decision(False, f"requires role {format_role(required_role)}")
    if token.workspaces is None:
        return Decision(True, "")
    if workspaces is None:
        return Decision(False, "requires a token for all workspaces")
    missing = sorted(set(workspaces) - token.workspaces)
    if missing:
        return Decision(False, f"requires a token for workspace {', '.join(missing)}")
    return Decision(True, "")


def require_permission(
    token: TokenRecord, action: Action, workspaces: Collection[str] | None
) -> None:
    """Raise ForbiddenError unless the token permits the action."""
    decision = authorize(token, action, workspaces)
    if not decision.allowed:
        raise ForbiddenError(f"token {token.name}: {decision.detail}")


def can_read_workspace(token: TokenRecord, workspace: str) -> bool:
    """Check whether listings for a token may include a workspace."""
    return authorize(token, Action.READ, [workspace]).allowed


def format_role(role: Role) -> str:
    """Return the role's name as operators write it."""
    return role.name.lower()


def parse_role(text: str) -> Role:
    """Return the role of a name; raise InvalidInputError for any other text."""
    try:
        return Role[text.upper()]
    except KeyError:
        expected = "one of " + ", ".join(map(format_role, Role))
        raise InvalidInputError([Problem("token", "$.role", expected, repr(text))]) from None


def create_token(
    name: str,
    role: Role,
    workspaces: Collection[str] | None,
    *,
    now: float,
    expires: float | None = None,
) -> tuple[TokenRecord, str]:
    """Create a token; return its record and its text, which is not stored anywhere."""
    problems = [
        Problem("token", path, f"a name matching {NAME_PATTERN.pattern}", repr(text))
        for path, text in [("$.name", name), *(("$.workspaces", item) for item in workspaces or ())]
        if not NAME_PATTERN.fullmatch(text)
    ]
    if problems:
        raise InvalidInputError(problems)
    salt = secrets.token_bytes(SALT_BYTES)
    secret = secrets.token_urlsafe(SECRET_BYTES)
    scope = None if workspaces is None else frozenset(workspaces)
    digest = _hash_secret(secret, salt, SCRYPT_COST).hex()
    record = TokenRecord(name, role, scope, salt.hex(), digest, SCRYPT_COST, now, expires)
    return record, f"{name}.{secret}"


def check_secret(record: TokenRecord, secret: str) -> bool:
    """Compare a secret with a record's hash in constant time."""
    digest = _hash_secret(secret, bytes.fromhex(record.salt), record.cost)
    return hmac.compare_digest(digest, bytes.fromhex(record.hash))


def split_token(text: str) -> tuple[str, str]:
    """Split a token into its name and its secret; raise UnauthenticatedError if malformed."""
    name, separator, secret = text.rpartition(".")
    well_formed = separator and secret.isascii() and len(text) <= MAX_TOKEN_LENGTH
    if not (well_formed and NAME_PATTERN.fullmatch(name)):
        raise UnauthenticatedError("malformed bearer token")
    return name, secret


def encode_record(record: TokenRecord) -> dict[str, Any]:
    """Encode a record for storage in the platform."""
    scope = ALL_WORKSPACES if record.workspaces is None else sorted(record.workspaces)
    return {**record._asdict(), "role": format_role(record.role), "workspaces": scope}


def decode_record(value: dict[str, Any]) -> TokenRecord:
    """Decode a stored record."""
    scope = value["workspaces"]
    return TokenRecord(
        **{
            **value,
            "role": parse_role(value["role"]),
            "workspaces": None if scope == ALL_WORKSPACES else frozenset(scope),
        }
    )


def _hash_secret(secret: str, salt: bytes, cost: int) -> bytes:
    return hashlib.scrypt(
        secret.encode(),
        salt=salt,
        n=cost,
        r=SCRYPT_BLOCK_SIZE,
        p=SCRYPT_PARALLELISM,
        maxmem=SCRYPT_MEMORY_BYTES,
        dklen=32,
    )


class TokenStore:
    """Store token records in the platform.

    The platform may be restored from an older copy that still holds tokens removed since. A token
    whose removal this process remembers stays invalid, and is deleted again when it is read.
    """

    def __init__(self, *, platform: Platform) -> None:
        self._platform = platform
        # Hashes of removed tokens, the oldest first.
        self._removed_hashes: OrderedDict[str, None] = OrderedDict()

    async def read(self, name: str) -> TokenRecord | None:
        """Return one record, or None if there is none."""
        stored = await self._platform.get(TOKEN_PREFIX + name)
        return None if stored is None else await self._decode_unless_removed(stored)

    async def list(self) -> list[TokenRecord]:
        """Return all records, ordered by name."""
        objects = await read_all(self._platform, TOKEN_PREFIX)
        records = [await self._decode_unless_removed(item) for item in objects]
        return [record for record in records if record is not None]

    async def _decode_unless_removed(self, stored: StoredObject) -> TokenRecord | None:
        """Decode a stored record; delete it and return None if its token was removed before."""
        record = decode_record(stored.value)
        if record.hash not in self._removed_hashes:
            return record
        _log.warn("removed-token-is-back", name=record.name, revision=stored.version)
        try:
            await self._platform.delete(stored.key, expected=stored.version)
        except PlatformError as error:
            _log.warn("token-not-removed", name=record.name, code=error.code, detail=error)
        return None

    def remember_removed(self, record: TokenRecord) -> None:
        """Remember a removed token, in case the platform is restored from an older copy."""
        self._removed_hashes[record.hash] = None
        if len(self._removed_hashes) > MAX_REMOVED_TOKENS:
            self._removed_hashes.popitem(last=False)

    async def add(self, record: TokenRecord) -> None:
        """Write a new record; raise ConflictError when the name is taken."""
        key = TOKEN_PREFIX + record.name
        try:
            await self._platform.put(key, encode_record(record), expected=MUST_NOT_EXIST)
        except OutcomeUnknownError:
            # The write may have succeeded. A stored record that differs belongs to another token,
            # which the secret known to this call does not match.
            if await self.read(record.name) != record:
                raise

    async def remove(self, name: str) -> None:
        """Delete a record; a missing one is no error."""
        record = await self.read(name)
        await self._platform.delete(TOKEN_PREFIX + name)
        if record is not None:
            self.remember_removed(record)


class _CachedToken(NamedTuple):
    record: TokenRecord
    valid_until: float


class TokenVerifier:
    """Verify bearer tokens without running scrypt for every request.

    The cache maps a keyed hash of the token to its record, so a memory dump reveals no token. A
    cached record is reread after `CACHE_LIFETIME_S`; scrypt runs again only if its hash changed.
    """

    def __init__(
        self,
        *,
        store: TokenStore,
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self._store = store
        self._clock = clock
        self._wall_clock = wall_clock
        self._cache_hash_key = secrets.token_bytes(32)
        self._cache: OrderedDict[bytes, _CachedToken] = OrderedDict()
        # Limits the memory that scrypt uses to that of one check.
        self._check_lock = asyncio.Lock()
        self._waiting_checks = 0

    async def verify(self, text: str) -> TokenRecord:
        """Return the record of a token.

        Raises UnauthenticatedError for an invalid or expired token, and OverloadedError while too
        many checks wait.
        """
        name, secret = split_token(text)
        key = hashlib.blake2b(text.encode(), key=self._cache_hash_key, digest_size=32).digest()
        cached = self._cache.get(key)
        if cached is None or cached.valid_until <= self._clock():
            record = await self._refresh(key, cached, name, secret)
        else:
            self._cache.move_to_end(key)
            record = cached.record
        if record.expires is not None and record.expires <= self._wall_clock():
            raise UnauthenticatedError(f"token {name} has expired")
        return record

    async def _refresh(
        self, key: bytes, cached: _CachedToken | None, name: str, secret: str
    ) -> TokenRecord:
        if cached is None:
            record = await self._check_limited(name, secret)
        else:
            record = await self._store.read(name)
            if record is None or record.hash != cached.record.hash:
                self._store.remember_removed(cached.record)
                self._cache.pop(key, None)
                record = await self._check_limited(name, secret)
        self._cache[key] = _CachedToken(record, self._clock() + CACHE_LIFETIME_S)
        if len(self._cache) > MAX_CACHED_TOKENS:
            self._cache.popitem(last=False)
        return record

    async def _check_limited(self, name: str, secret: str) -> TokenRecord:
        if self._waiting_checks >= MAX_WAITING_CHECKS:
            raise OverloadedError("too many requests are waiting for token verification")
        self._waiting_checks += 1
        try:
            async with self._check_lock:
                return await self._check(name, secret)
        finally:
            self._waiting_checks -= 1

    async def _check(self, name: str, secret: str) -> TokenRecord:
        record = await self._store.read(name)
        # Unknown names run scrypt too, so that response times do not reveal which names exist.
        matches = await asyncio.to_thread(check_secret, record or _DUMMY_RECORD, secret)
        if record is None or not matches:
            raise UnauthenticatedError("unknown bearer token")
        return record


_DUMMY_RECORD = TokenRecord(
    name="unknown",
    role=Role.READ,
    workspaces=frozenset(),
    salt="00" * SALT_BYTES,
    hash="00" * 32,
    cost=SCRYPT_COST,
    created=0.0,
    expires=None,
)
