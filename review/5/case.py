"""Kill the nodes while the store is down and a node has acknowledged that its backend leaves."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
import mesh as m

# With TROUBLE=0 the case runs without its disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

DRAIN_S = 2.0
STABLE_WINDOW_S = 3.0
# Times in seconds after the beginning of the store's outage.
DEREGISTER_AT_S = 0.5
KILL_AT_S = 1.0
RESTART_AT_S = 1.3
OUTAGE_S = 2.0
# The last heartbeat leaves the backend just before it deregisters, and arrives late.
BEAT_ARRIVES_AT_S = 3.0
SEND_FROM_S = 5.3
WORKERS = 8
REQUESTS_PER_WORKER = 8


async def _send_requests(mesh: m.Mesh, node: m.Node, worker: int) -> None:
    for number in range(REQUESTS_PER_WORKER):
        attempt = f"w{worker}q{number}"
        mesh.record.note("client-sends", id=attempt, node=node.name)
        response = await m.call(
            node.outbound,
            "GET",
            f"/status/{attempt}?ms=100",
            host="shop.example",
            headers={"Ibiswick-Attempt-Id": attempt, "Ibiswick-Deadline-Ms": "800"},
        )
        status = response.status if response else "-"
        mesh.record.note("client-answer", id=attempt, status=status)
        await asyncio.sleep(0.2)


async def play(mesh: m.Mesh) -> tuple[bool, str]:
    record = mesh.record
    rules = [m.build_rule("status", "/status/", "desk")]
    await mesh.start_store(m.build_configuration(1, rules, ["desk"]))
    await mesh.add_machine("desk", "a")
    other = await mesh.add_machine("desk", "a")
    backend = mesh.backends[0]
    await mesh.wait_ready()
    await asyncio.sleep(4.0)

    began_at = record.now

    async def wait_until(at_s: float) -> None:
        await asyncio.sleep(max(0.0, began_at + at_s - record.now))

    if TROUBLE:
        mesh.store.set_down(True)
    await wait_until(DEREGISTER_AT_S)
    backend.stop_beats()
    late_beat = backend.build_beat()
    record.note("heartbeat-sent", instance=backend.name, state="ready", sequence=backend.sequence)
    if await backend.deregister() != 200:
        raise m.CannotRunError("the node did not acknowledge the deregistration")
    acknowledged_at = record.now
    if TROUBLE:
        await wait_until(KILL_AT_S)
        for node in mesh.nodes:
            node.kill()
        await wait_until(RESTART_AT_S)
        for node in mesh.nodes:
            node.start()
        await wait_until(OUTAGE_S)
        up_at = mesh.store.set_down(False)
        in_touch_from = max(up_at, *(node.started_at for node in mesh.nodes)) + STABLE_WINDOW_S
    else:
        in_touch_from = acknowledged_at
    await wait_until(BEAT_ARRIVES_AT_S)
    await backend.send_beat(late_beat)

    await wait_until(SEND_FROM_S)
    await asyncio.gather(*(_send_requests(mesh, other, worker) for worker in range(WORKERS)))
    late = [
        f"{attempt}@{at - acknowledged_at:.1f}s"
        for at, attempt in backend.runs
        if at > acknowledged_at + DRAIN_S and at > in_touch_from
    ]
    return bool(late), (
        f"{len(late)} requests reached {backend.name} later than {DRAIN_S} s after the "
        f"acknowledgement that it leaves, by machines in touch: {' '.join(late[:5]) or '-'}"
    )


if __name__ == "__main__":
    m.run_case(Path(__file__).resolve().parent, play, trouble=TROUBLE)
