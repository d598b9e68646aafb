"""Let a client close a connection on which many idempotent requests wait for their answers."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))
import mesh as m  # noqa: E402

# One client in five leaves, as the `give_up` of the sites says. The others keep the slots busy.
STAYING = 4
REQUESTS_AT_ONCE = 3
ROUNDS = 4
# Requests that the leaving client sends before the first one has been answered.
REQUESTS = 20
WORK_MS = 1000
DEADLINE_MS = 8000
SEND_AT_S = 0.1
LEAVE_AFTER_S = 0.2
GONE_AFTER_S = 0.5
# More requests than this are "more than a few".
FEW = 5


async def stay(mesh: m.Mesh, node: m.Node, worker: int) -> None:
    """Send one request after the other, each on a connection of its own."""
    for number in range(ROUNDS):
        attempt = f"w{worker}r{number}"
        mesh.record.note("client-sends", id=attempt)
        answer = await m.call(
            node.outbound,
            "GET",
            f"/status/{attempt}?ms={WORK_MS}",
            host="shop.example",
            headers={"Ibiswick-Attempt-Id": attempt, "Ibiswick-Deadline-Ms": str(DEADLINE_MS)},
            timeout_s=DEADLINE_MS / 1000,
        )
        mesh.record.note("client-answer", id=attempt, status=answer.status if answer else "-")


class Client:
    def __init__(self, mesh: m.Mesh, node: m.Node, number: int, *, leaves: bool) -> None:
        self._mesh = mesh
        self._node = node
        self._number = number
        self.leaves = leaves
        self.sent: list[str] = []
        self.answered = 0
        self.left_at: float | None = None

    async def run(self) -> None:
        reader, writer = await asyncio.open_connection(*self._node.outbound)
        for index in range(REQUESTS):
            attempt = f"c{self._number}r{index}"
            self.sent.append(attempt)
            self._mesh.record.note("client-sends", id=attempt)
            writer.write(
                m.write_request(
                    "GET",
                    f"/status/{attempt}?ms={WORK_MS}",
                    "shop.example",
                    {"Ibiswick-Attempt-Id": attempt, "Ibiswick-Deadline-Ms": str(DEADLINE_MS)},
                )
            )
        try:
            async with asyncio.timeout(LEAVE_AFTER_S if self.leaves else DEADLINE_MS / 1000):
                while self.answered < REQUESTS:
                    answer = await m.read_message(reader)
                    if answer is None:
                        break
                    self.answered += 1
        except (TimeoutError, ConnectionError, OSError):
            pass
        writer.close()
        self.left_at = self._mesh.record.note(
            "client-closes", client=self._number, answered=self.answered, leaves=self.leaves
        )


async def play(mesh: m.Mesh) -> tuple[bool, str]:
    rules = [m.build_rule("status", "/status/", "desk", timeout_ms=DEADLINE_MS)]
    await mesh.start_store(m.build_configuration(1, rules, ["desk"]))
    node = await mesh.add_machine("desk")
    await mesh.add_machine("desk")
    await mesh.wait_ready()
    await asyncio.sleep(4.0)
    staying = [
        asyncio.create_task(stay(mesh, mesh.nodes[worker % 2], worker))
        for worker in range(STAYING * REQUESTS_AT_ONCE)
    ]
    await asyncio.sleep(SEND_AT_S)
    client = Client(mesh, node, 0, leaves=m.has_trouble())
    await asyncio.gather(client.run(), *staying)
    runs = {attempt: at for backend in mesh.backends for at, attempt in backend.runs}
    late = [
        f"{attempt}@{runs[attempt] - client.left_at:.1f}s"
        for attempt in client.sent
        if attempt in runs and runs[attempt] > client.left_at + GONE_AFTER_S
    ]
    return len(late) > FEW, (
        f"{len(late)} requests reached a backend over {GONE_AFTER_S} s after their client had "
        f"closed its connection: {' '.join(late[:5]) or '-'}"
    )


if __name__ == "__main__":
    m.run_case(Path(__file__).resolve().parent, play)
