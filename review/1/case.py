"""Stop a node while clients send further idempotent requests on their open connections."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
import mesh as m

# With TROUBLE=0 the case runs without its disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

CONNECTIONS = 8
DEADLINE_MS = 4000
# Pauses before the second and the third request of a connection, in seconds.
PAUSE_S = 0.3


class Client:
    """Send three requests on one connection, the later ones before the first is answered."""

    def __init__(self, mesh: m.Mesh, node: m.Node, number: int) -> None:
        self._mesh = mesh
        self._node = node
        self._number = number
        self.sent: list[str] = []
        self.answered: list[str] = []

    async def run(self, stopped: asyncio.Event) -> None:
        reader, writer = await asyncio.open_connection(*self._node.outbound)
        reading = asyncio.create_task(self._read(reader))
        self._send(writer, 1, work_ms=1500)
        await stopped.wait()
        self._send(writer, 2, work_ms=100)
        await asyncio.sleep(PAUSE_S)
        self._send(writer, 3, work_ms=1500)
        await reading
        writer.close()

    def _send(self, writer: asyncio.StreamWriter, index: int, *, work_ms: int) -> None:
        attempt = f"c{self._number}r{index}"
        writer.write(
            m.write_request(
                "GET",
                f"/status/{index}?ms={work_ms}",
                "shop.example",
                {"Ibiswick-Attempt-Id": attempt, "Ibiswick-Deadline-Ms": str(DEADLINE_MS)},
            )
        )
        self.sent.append(attempt)
        self._mesh.record.note("client-sends", id=attempt)

    async def _read(self, reader: asyncio.StreamReader) -> None:
        try:
            async with asyncio.timeout(DEADLINE_MS / 1000 + 1):
                while len(self.answered) < 3:
                    answer = await m.read_message(reader)
                    if answer is None:
                        break
                    attempt = answer.headers.get(
                        "ibiswick-attempt-id", self.sent[len(self.answered)]
                    )
                    self.answered.append(attempt)
                    self._mesh.record.note(
                        "client-answer",
                        id=attempt,
                        status=answer.status,
                        connection=answer.headers.get("connection", "-"),
                    )
        except (ConnectionError, OSError, TimeoutError) as error:
            self._mesh.record.note("client-error", client=self._number, error=repr(error))
        self._mesh.record.note("client-connection-ended", client=self._number)


async def play(mesh: m.Mesh) -> tuple[bool, str]:
    rules = [m.build_rule("status", "/status/", "desk", timeout_ms=DEADLINE_MS)]
    await mesh.start_store(m.build_configuration(1, rules, ["desk"]))
    node = await mesh.add_machine("desk", capacity=12)
    for zone in ("b", "c"):
        await mesh.add_machine("desk", zone, capacity=12)
    await mesh.wait_ready()
    await asyncio.sleep(4.0)
    clients = [Client(mesh, node, number) for number in range(1, CONNECTIONS + 1)]
    stopped = asyncio.Event()
    running = [asyncio.create_task(client.run(stopped)) for client in clients]
    await asyncio.sleep(PAUSE_S)
    if TROUBLE:
        node.send_signal(signal.SIGTERM)
    await asyncio.sleep(PAUSE_S)
    stopped.set()
    await asyncio.gather(*running)
    ran = {attempt for backend in mesh.backends for _, attempt in backend.runs}
    lost = [
        attempt
        for client in clients
        for attempt in client.sent
        if attempt in ran and attempt not in client.answered
    ]
    return bool(lost), (
        f"{len(lost)} of {3 * CONNECTIONS} requests were passed on to a backend and their "
        f"connections ended without an answer: {' '.join(lost) or '-'}"
    )


if __name__ == "__main__":
    m.run_case(Path(__file__).resolve().parent, play, trouble=TROUBLE)
