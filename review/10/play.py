"""Backends work on for clients that have left after they sent many requests at once."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))
from mesh2 import (  # noqa: E402
    BROKEN, CALLER, HELD, HOST, Backend, CaseError, Node, read_message, run_case, write_message,
)

WORK_S = 1.2
DEADLINE_MS = 4000
RULES = [
    {
        "name": "r-read", "kind": "idempotent", "target_latency": "4s", "priority": 1,
        "match": {"prefix": "/read/"},
        "action": {"service": "counter", "timeout": "4s", "attempts": 2},
    }
]
CLIENTS = 10
# Share 0.3 of the clients, as in the days of the site.
LEAVING_CLIENTS = 3
# Requests that a client sends before the first one has been answered.
PIPELINED = 20
LEAVES_AFTER_S = 0.4
ROUNDS = 4
GONE_S = 0.5
MAX_SHARE = 0.25


class Client:
    """One client, which leaves early or waits for all answers."""

    def __init__(self, mesh, node) -> None:
        self.mesh, self.node = mesh, node
        self.ids: list[str] = []
        self.left_at: float | None = None
        self.answers = 0

    async def play(self, *, leaves: bool) -> None:
        reader, writer = await asyncio.open_connection(self.node.host, CALLER)
        for _ in range(PIPELINED):
            attempt = self.mesh.make_id()
            self.ids.append(attempt)
            headers = {
                "Host": HOST, "Ibiswick-Attempt-Id": attempt, "Ibiswick-Deadline-Ms": DEADLINE_MS,
            }
            self.mesh.record.note("sends", id=attempt, node=self.node.name)
            writer.write(write_message("GET /read/x HTTP/1.1", headers))
        if leaves:
            await asyncio.sleep(LEAVES_AFTER_S)
        else:
            try:
                async with asyncio.timeout(DEADLINE_MS / 1000 + 0.5):
                    for _ in range(PIPELINED):
                        answer = await read_message(reader)
                        if answer is None:
                            break
                        self.answers += answer[0].split()[1] == b"200"
            except TimeoutError:
                pass
        writer.close()
        self.left_at = self.mesh.record.note(
            "leaves", node=self.node.name, answers=self.answers, early=leaves
        )


async def play(mesh) -> int:
    zones = ("ege-bir", "ege-iki", "ege-uc")
    mesh.nodes = [Node(mesh, number, zones[number % 3], "counter") for number in range(1, 6)]
    mesh.backends = [Backend(mesh, node, capacity=18, work_s=WORK_S) for node in mesh.nodes]
    mesh.write_configuration(RULES, ["counter"], 12)
    for part in (*mesh.backends, *mesh.nodes):
        await part.start()
    await mesh.wait_ready(mesh.nodes, 20.0)
    # All machines are in touch from here on.
    await asyncio.sleep(5.0)
    left, stayed = [], []
    for _ in range(ROUNDS):
        clients = [Client(mesh, mesh.nodes[number % 5]) for number in range(CLIENTS)]
        leaving = clients[:LEAVING_CLIENTS] if mesh.trouble else []
        await asyncio.gather(*(client.play(leaves=client in leaving) for client in clients))
        left += leaving
        stayed += [client for client in clients if client not in leaving]
        await asyncio.sleep(2.0)
    arrived = {attempt: at for backend in mesh.backends for at, attempt in backend.arrivals}
    ended = {attempt: at for backend in mesh.backends for attempt, at in backend.ended.items()}
    lasting = at_work = late = 0
    for client in left:
        limit = client.left_at + GONE_S
        for attempt in client.ids:
            at = arrived.get(attempt)
            if at is None:
                continue
            late += at > limit
            if at <= client.left_at and at + WORK_S > limit:
                lasting += 1
                at_work += ended.get(attempt, limit + 1.0) > limit
    answers = sum(client.answers for client in stayed)
    mesh.record.note(
        "result", left=len(left), lasting=lasting, still_at_work=at_work, arrived_late=late,
        answered=answers, asked=PIPELINED * len(stayed),
    )
    if answers < PIPELINED * len(stayed) / 2:
        raise CaseError("too few calls were served")
    return BROKEN if at_work > MAX_SHARE * lasting or late > 5 else HELD


run_case(FOLDER, play)
