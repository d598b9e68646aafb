"""The departure of a restarted backend is acknowledged and ignored if it overtakes its heartbeat."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from mesh2 import BROKEN, HELD, Backend, CaseError, Node, run_case  # noqa: E402

RULES = [
    {
        "name": "r-read", "kind": "idempotent", "target_latency": "300ms", "priority": 1,
        "match": {"prefix": "/read/"},
        "action": {"service": "counter", "timeout": "800ms", "attempts": 2},
    }
]
DRAIN_S = 2.0
STABLE_WINDOW_S = 3.0
# "A heartbeat may arrive seconds late."
LATE_S = 3.0
DOWN_S = 1.0
STAY_S = 10.0


async def play(mesh) -> int:
    zones = ("pannon-a", "pannon-b", "pannon-c")
    mesh.nodes = [Node(mesh, number, zones[number % 3], "counter") for number in range(1, 6)]
    mesh.backends = [Backend(mesh, node, capacity=3, work_s=0.05) for node in mesh.nodes]
    mesh.write_configuration(RULES, ["counter"], 12)
    for part in (*mesh.backends, *mesh.nodes):
        await part.start()
    await mesh.wait_ready(mesh.nodes, 20.0)
    await asyncio.sleep(5.0)
    leaving, node = mesh.backends[0], mesh.nodes[0]
    if mesh.trouble:
        # The backend crashes and starts again under its id; its heartbeats arrive late.
        await leaving.stop()
        await asyncio.sleep(DOWN_S)
        leaving = Backend(
            mesh, node, capacity=3, work_s=0.05, instance=leaving.instance,
            heartbeats_late_s=LATE_S,
        )
        mesh.backends.append(leaving)
        await leaving.start()
    clients = [
        asyncio.create_task(mesh.send_forever(node, "GET", "/read/x", pause_s=0.05))
        for node in mesh.nodes
        for _ in range(4)
    ]
    await asyncio.sleep(2.0)
    # Planned: the backend leaves.
    await leaving.leave(serves_s=STAY_S)
    for client in clients:
        client.cancel()
    if leaving.acked_at is None:
        raise CaseError("the departure was not acknowledged")
    # No machine of the system was disturbed, so all of them are in touch all the time.
    late = [at for at, _ in leaving.arrivals if at > leaving.acked_at + DRAIN_S]
    served = sum(answer == "200" for answer in mesh.answers.values())
    mesh.record.note(
        "result", late=len(late), broken=int(bool(late)), acked_at=f"{leaving.acked_at:.3f}", sent=len(mesh.answers),
        served=served,
    )
    if served < len(mesh.answers) / 2:
        raise CaseError("too few calls were served")
    return BROKEN if late else HELD


run_case(FOLDER, play)
