"""Kill every node right after a configuration was acknowledged, and start them again.

Reads with `serializable` return data that is some seconds old, as the protocol page allows.
"""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
import mesh as m

# With TROUBLE=0 the case runs without its disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

CONFIG_APPLY_S = 2.0
STABLE_WINDOW_S = 3.0
STALE_S = 4.0
# After the acknowledgement, in seconds.
KILL_AT_S = 0.05
RESTART_AT_S = 0.3
SEND_FROM_S = 2.5
SEND_UNTIL_S = 7.0
SEND_INTERVAL_S = 0.025


class Sent:
    def __init__(self, at: float, node: m.Node, attempt: str) -> None:
        self.at = at
        self.node = node
        self.attempt = attempt


async def _send(mesh: m.Mesh, node: m.Node, attempt: str) -> None:
    response = await m.call(
        node.outbound,
        "GET",
        f"/move/{attempt}?ms=20",
        host="shop.example",
        headers={"Ibiswick-Attempt-Id": attempt, "Ibiswick-Deadline-Ms": "800"},
    )
    mesh.record.note("client-answer", id=attempt, status=response.status if response else "-")


async def play(mesh: m.Mesh) -> tuple[bool, str]:
    record = mesh.record
    services = ["desk", "archive"]
    before = m.build_configuration(1, [m.build_rule("move", "/move/", "desk")], services)
    after = m.build_configuration(2, [m.build_rule("move", "/move/", "archive")], services)
    await mesh.start_store(before)
    mesh.store.stale_s = STALE_S
    for service in ("desk", "desk", "archive", "archive"):
        await mesh.add_machine(service)
    await mesh.wait_ready(20.0)
    await asyncio.sleep(STALE_S + 4.0)

    acknowledged_at = mesh.write_configuration(after)

    async def wait_until(at_s: float) -> None:
        await asyncio.sleep(max(0.0, acknowledged_at + at_s - record.now))

    if TROUBLE:
        await wait_until(KILL_AT_S)
        for node in mesh.nodes:
            node.kill()
        await wait_until(RESTART_AT_S)
        for node in mesh.nodes:
            node.start()
    await wait_until(SEND_FROM_S)
    sent: list[Sent] = []
    sending = []
    while record.now < acknowledged_at + SEND_UNTIL_S:
        for node in mesh.nodes:
            attempt = f"q{len(sent)}"
            sent.append(
                Sent(record.note("client-sends", id=attempt, node=node.name), node, attempt)
            )
            sending.append(asyncio.create_task(_send(mesh, node, attempt)))
        await asyncio.sleep(SEND_INTERVAL_S)
    await asyncio.gather(*sending)
    by_old = {
        attempt
        for backend in mesh.backends
        if backend.service == "desk"
        for _, attempt in backend.runs
    }
    late = [
        f"{item.attempt}@{item.at - acknowledged_at:.2f}s"
        for item in sent
        if item.attempt in by_old
        and item.at > acknowledged_at + CONFIG_APPLY_S
        and item.at > item.node.started_at + STABLE_WINDOW_S
    ]
    return bool(late), (
        f"{len(late)} requests, sent over {CONFIG_APPLY_S} s after the acknowledgement to machines "
        f"in touch, were run by the old service: {' '.join(late[:3]) or '-'} .. "
        f"{late[-1] if late else '-'}"
    )


if __name__ == "__main__":
    m.run_case(Path(__file__).resolve().parent, play, trouble=TROUBLE)
