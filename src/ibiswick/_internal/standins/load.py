"""Generate open-loop load from a seed and record every call."""

from __future__ import annotations

import asyncio
import collections
import random
import time
from collections.abc import AsyncIterator, Iterable, Sequence
from typing import NamedTuple

import msgspec

from .client import Client, CutOffError, NotConnectedError, Response, build_head
from .oracle import Call, Outcome

_CHUNK_BYTES = 65_536
# More calls in flight mean that the system under test no longer answers.
_MAX_CALLS_IN_FLIGHT = 4000


class Target(NamedTuple):
    """Hold the address of a node's caller port, or of a backend server."""

    vm: str
    host: str
    port: int


class CallClass(NamedTuple):
    """Describe one class of calls.

    * `weight`: relative share of the calls.
    * `answer_bytes`: requested length of the response, 0 for the shortest one.
    * `pause_ms`: pause after each chunk of an upload.
    """

    name: str
    host: str
    path: str
    weight: float
    idempotent: bool
    method: str = "GET"
    answer_bytes: int = 0
    upload_bytes: int = 0
    pause_ms: float = 0.0
    timeout_s: float = 10.0


class Summary(NamedTuple):
    """Summarize the calls of one class; the latencies are those of successful calls."""

    call_class: str
    outcomes: dict[str, int]
    p50_ms: float
    p99_ms: float


class _Answer(msgspec.Struct):
    request_id: str
    vm: str
    received: int


class LoadGenerator:
    """Start calls at random times given by a seed and keep their records in `calls`."""

    def __init__(
        self, *, targets: Sequence[Target], classes: Sequence[CallClass], seed: int, run_id: str
    ) -> None:
        self.targets = list(targets)
        self.calls: list[Call] = []
        self.skipped = 0
        self._classes = list(classes)
        self._rng = random.Random(seed)
        self._run_id = run_id
        self._call_count = 0
        self._client = Client()
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self, *, rate_per_s: float, duration_s: float) -> None:
        """Start calls for a duration; return when all have ended."""
        loop = asyncio.get_running_loop()
        # Wall-clock times make the records comparable with ledgers and logs of other processes.
        offset = time.time() - loop.time()
        started = due = loop.time()
        while True:
            due += self._rng.expovariate(rate_per_s)
            if due > started + duration_s:
                break
            await asyncio.sleep(due - loop.time())
            self._start_random_call(due + offset)
        await asyncio.gather(*self._tasks)

    def _start_random_call(self, due: float) -> None:
        if len(self._tasks) >= _MAX_CALLS_IN_FLIGHT or not self.targets:
            self.skipped += 1
            return
        call_class = self._rng.choices(self._classes, [item.weight for item in self._classes])[0]
        target = self._rng.choice(self.targets)
        self._launch_call(call_class, target, due)

    def _launch_call(self, call_class: CallClass, target: Target, due: float) -> None:
        task = asyncio.create_task(self._make_call(call_class, target, due))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def start_call(self, call_class: CallClass, vm: str) -> None:
        """Start an additional call through a given node; `run` also waits for it."""
        target = next(target for target in self.targets if target.vm == vm)
        self._launch_call(call_class, target, time.time())

    async def probe(self, call_class: CallClass, target: Target) -> Call:
        """Make one call without recording it."""
        self._call_count += 1
        return await make_call(
            self._client, call_class, target, f"{self._run_id}-{self._call_count}"
        )

    def remove_target(self, vm: str) -> None:
        """Send no more calls through a node."""
        self.targets = [target for target in self.targets if target.vm != vm]

    async def _make_call(self, call_class: CallClass, target: Target, due: float) -> None:
        self._call_count += 1
        request_id = f"{self._run_id}-{self._call_count}"
        call = await make_call(self._client, call_class, target, request_id)
        self.calls.append(call._replace(due=due))

    def close(self) -> None:
        """Close the idle connections."""
        self._client.close()


async def make_call(client: Client, call_class: CallClass, target: Target, request_id: str) -> Call:
    """Make one call and return its record."""
    path = (
        f"{call_class.path}?size={call_class.answer_bytes}"
        if call_class.answer_bytes
        else call_class.path
    )
    length = call_class.upload_bytes if call_class.method != "GET" else None
    head = build_head(
        call_class.method, path, host=call_class.host, request_id=request_id, length=length
    )
    body = _send_upload(call_class) if call_class.upload_bytes else None
    started = time.time()
    call = Call(
        request_id=request_id,
        call_class=call_class.name,
        idempotent=call_class.idempotent,
        caller_vm=target.vm,
        started=started,
        finished=started,
        outcome=Outcome.CUT_OFF,
        sent_bytes=call_class.upload_bytes,
        due=started,
    )
    try:
        address = (target.host, target.port)
        response = await client.call(address, head, body, timeout_s=call_class.timeout_s)
        call = _read_response(call, response, call_class)
    except NotConnectedError:
        call = call._replace(outcome=Outcome.NOT_CONNECTED)
    except CutOffError as error:
        call = call._replace(code=str(error))
    except TimeoutError:
        call = call._replace(outcome=Outcome.CANCELLED, code="client-timeout")
    return call._replace(finished=time.time())


async def _send_upload(call_class: CallClass) -> AsyncIterator[bytes]:
    left = call_class.upload_bytes
    while left > 0:
        size = min(left, _CHUNK_BYTES)
        left -= size
        yield bytes(size)
        if call_class.pause_ms:
            await asyncio.sleep(call_class.pause_ms / 1000)


def _read_response(call: Call, response: Response, call_class: CallClass) -> Call:
    call = call._replace(
        outcome=_classify_response(response),
        status=response.status,
        received_bytes=response.body_bytes,
    )
    line, newline, _ = response.body_start.partition(b"\n")
    try:
        if call.outcome is not Outcome.OK:
            return call._replace(code=msgspec.json.decode(line).get("code", ""))
        answer = msgspec.json.decode(line, type=_Answer)
    except (msgspec.DecodeError, AttributeError):
        return call
    return call._replace(
        answer_id=answer.request_id,
        answer_vm=answer.vm,
        echoed_bytes=answer.received,
        expected_bytes=max(len(line) + len(newline), call_class.answer_bytes),
    )


def _classify_response(response: Response) -> Outcome:
    outcome_header = response.headers.get(b"ibiswick-outcome")
    if outcome_header is not None:
        return Outcome.NOT_RUN if outcome_header == b"not-run" else Outcome.UNKNOWN
    if 200 <= response.status < 300:
        return Outcome.OK
    return Outcome.REJECTED if response.status < 500 else Outcome.SERVER_ERROR


def summarize(calls: Iterable[Call]) -> list[Summary]:
    """Summarize calls by class; latencies count from the time at which a call was due."""
    by_class: dict[str, list[Call]] = collections.defaultdict(list)
    for call in calls:
        by_class[call.call_class].append(call)
    return [_summarize_class(name, by_class[name]) for name in sorted(by_class)]


def _summarize_class(name: str, calls: Sequence[Call]) -> Summary:
    times = [(call.finished - call.due) * 1000 for call in calls if call.outcome is Outcome.OK]
    outcomes = dict(collections.Counter(call.outcome.value for call in calls))
    return Summary(name, outcomes, find_percentile(times, 50), find_percentile(times, 99))


def find_percentile(values: Iterable[float], percent: float) -> float:
    """Return the nearest-rank percentile, or NaN without values.

    >>> find_percentile([5, 1, 4, 2, 3], 50)
    3
    >>> find_percentile(range(1, 101), 99)
    99
    """
    ordered = sorted(values)
    if not ordered:
        return float("nan")
    rank = -(-len(ordered) * percent // 100)
    return ordered[max(0, min(len(ordered), int(rank)) - 1)]
