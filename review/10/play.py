"""A departure is forgotten when the store comes back from a copy while all nodes are restarted."""

import asyncio
import signal
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
# The copy is this much older than the acknowledgement of the departure.
COPY_AGE_S = 1.0
DRILL_AFTER_S = 2.5
AWAY_S = 1.0
RESTART_S = 1.5
STAY_S = 15.0


async def play(mesh) -> int:
    zones = ("pannon-a", "pannon-b", "pannon-c")
    mesh.nodes = [Node(mesh, number, zones[number % 3], "counter") for number in range(1, 6)]
    mesh.backends = [Backend(mesh, node, capacity=3, work_s=0.05) for node in mesh.nodes]
    mesh.write_configuration(RULES, ["counter"], 12)
    for part in (*mesh.backends, *mesh.nodes):
        await part.start()
    await mesh.wait_ready(mesh.nodes, 20.0)
    clients = [
        asyncio.create_task(mesh.send_forever(node, "GET", "/read/x", pause_s=0.05))
        for node in mesh.nodes[1:]
        for _ in range(5)
    ]
    await asyncio.sleep(4.0)
    copy = mesh.store.make_copy()
    await asyncio.sleep(COPY_AGE_S)
    # Planned: a backend leaves. The store takes the entry of its node.
    leaving = mesh.backends[0]
    exit_task = asyncio.create_task(leaving.leave(serves_s=STAY_S))
    await asyncio.sleep(DRILL_AFTER_S)
    if leaving.acked_at is None:
        raise CaseError("the departure was not acknowledged")
    if mesh.trouble:
        # The drill: the store is away for a moment and comes back from the copy. All processes are
        # killed meanwhile.
        mesh.store.set_down("reset")
        for node in mesh.nodes:
            node.send_signal(signal.SIGKILL)
        await asyncio.sleep(AWAY_S)
        mesh.store.restore(copy)
        mesh.store.set_down("")
        await asyncio.sleep(RESTART_S - AWAY_S)
        for node in mesh.nodes:
            await node.wait_end(1.0)
            await node.start()
        await mesh.wait_ready(mesh.nodes, 10.0)
    await exit_task
    for client in clients:
        client.cancel()
    # From here on, the store and every machine have been calm for `stable_window`.
    calm_at = max(node.started_at for node in mesh.nodes) + STABLE_WINDOW_S
    late = [
        at for at, _ in leaving.arrivals if at > max(calm_at, leaving.acked_at + DRAIN_S)
    ]
    served = sum(answer == "200" for answer in mesh.answers.values())
    mesh.record.note(
        "result", late=len(late), broken=int(bool(late)), acked_at=f"{leaving.acked_at:.3f}",
        calm_at=f"{calm_at:.3f}", sent=len(mesh.answers), served=served,
    )
    if served < len(mesh.answers) / 2:
        raise CaseError("too few calls were served")
    return BROKEN if late else HELD


run_case(FOLDER, play)
