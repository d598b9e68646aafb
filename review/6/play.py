"""An acknowledged departure is forgotten when the node is restarted after an outage of the store."""

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
# At most 8 s in the days of the site.
OUTAGE_S = 6.0
# As long as leaving servers stay in the days of the site.
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
    leaving, node = mesh.backends[0], mesh.nodes[0]
    if mesh.trouble:
        mesh.store.set_down("reset")
    await asyncio.sleep(1.0)
    # Planned: the backend leaves, and its node is stopped and started again.
    exit_task = asyncio.create_task(leaving.leave(serves_s=STAY_S))
    await asyncio.sleep(2.0)
    if leaving.acked_at is None:
        raise CaseError("the departure was not acknowledged")
    node.send_signal(signal.SIGTERM)
    await asyncio.sleep(OUTAGE_S - 3.0)
    if mesh.trouble:
        mesh.store.set_down("")
    up_at = mesh.record.now()
    await node.wait_end(6.0)
    await asyncio.sleep(1.0)
    await node.start()
    await mesh.wait_ready([node], 10.0)
    await exit_task
    for client in clients:
        client.cancel()
    # From here on, the store and every machine have been calm for `stable_window`.
    calm_at = max(node.started_at, up_at) + STABLE_WINDOW_S
    late = [
        (at, attempt)
        for at, attempt in leaving.arrivals
        if at > max(calm_at, leaving.acked_at + DRAIN_S)
    ]
    served = sum(answer == "200" for answer in mesh.answers.values())
    mesh.record.note(
        "result", late=len(late), broken=int(bool(late)), acked_at=f"{leaving.acked_at:.3f}", calm_at=f"{calm_at:.3f}",
        sent=len(mesh.answers), served=served,
    )
    if served < len(mesh.answers) / 2:
        raise CaseError("too few calls were served")
    return BROKEN if late else HELD


run_case(FOLDER, play)
