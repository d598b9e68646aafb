"""Start the processes of one deployment on loopback, inject faults and clean up.

Only the rig starts other processes; ibiswick's own programs never do.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import random
import signal
import tempfile
import time
from collections.abc import Iterable, Iterator, Mapping
from pathlib import Path
from types import TracebackType
from typing import Any, NamedTuple, Self

import httpx

from .events import Event, read_events
from .load import Target
from .oracle import Outage
from .processes import Process, ProcessFailedError, find_ports, run_program

HOST = "127.0.0.1"
_READY_TIMEOUT_S = 30.0
_POLL_INTERVAL_S = 0.05
_START_GROUP_SIZE = 12


class ServicePlan(NamedTuple):
    """Describe the backend servers of a service; `service_ms` holds times by path prefix."""

    name: str
    backend_servers: int
    slots: int = 6
    connections: int = 130
    service_ms: tuple[tuple[str, float], ...] = ()
    cold_s: float = 0.0


class ProcessPlan(NamedTuple):
    """Describe the processes of a deployment.

    * `node_settings`: additional settings of every node.
    * `shared_backends`: whether all nodes of a service use one backend server process, which saves
      memory in large fleets.
    """

    workspace: str
    region: str
    availability_zones: tuple[str, ...]
    services: tuple[ServicePlan, ...]
    node_settings: tuple[tuple[str, Any], ...] = ()
    shared_backends: bool = False


class NodePlan(NamedTuple):
    """Hold the identity and the ports of one node and its backend server."""

    vm: str
    service: ServicePlan
    availability_zone: str
    backend_vm: str
    backend_port: int
    caller_port: int
    peer_port: int
    control_port: int
    operations_port: int


class Rig:
    """Run a deployment in a temporary directory, as an asynchronous context manager."""

    def __init__(self, *, plan: ProcessPlan, directory: Path | None = None) -> None:
        self.plan = plan
        self.outages: list[Outage] = []
        self.processes: dict[str, Process] = {}
        self._temporary = None if directory else tempfile.TemporaryDirectory(prefix="ibiswick-")
        self.directory = directory or Path(self._temporary.name)  # type: ignore[union-attr]
        self._ports = find_ports(random.Random(os.getpid()))
        self.platform_port = next(self._ports)
        self.admin_port = next(self._ports)
        self.nodes = {node.vm: node for node in self._plan_nodes()}
        self._token = ""
        self._launch_lock = asyncio.Lock()
        self._http = httpx.AsyncClient(timeout=5.0, trust_env=False)

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await asyncio.shield(self.close())

    async def close(self) -> None:
        """End every process that the rig started and remove its directory."""
        started = [process for process in self.processes.values() if process.running]
        for process in started:
            process.resume()
            process.kill()
        await asyncio.gather(*(process.stop() for process in started), return_exceptions=True)
        await self._http.aclose()
        if self._temporary is not None:
            self._temporary.cleanup()

    async def start(self) -> None:
        """Start all processes and wait until all listeners accept connections."""
        await self.start_platform_and_admin()
        await self.start_nodes(self.nodes)

    async def start_platform_and_admin(self) -> None:
        """Start the platform and the administration API and create an administrator's token."""
        await self._launch("platform", "platform", ("--port", str(self.platform_port)))
        await self._wait_until_listening(self.platform_port, "platform")
        settings = self._write_settings("admin", self._build_admin_settings())
        output = await run_program(
            "admin",
            *("token", "add", "--settings", str(settings), "bench", "--role", "admin"),
        )
        self._token = output.split()[-1]
        await self._launch("admin", "admin", ("serve", "--settings", str(settings)))
        await self._wait_until_listening(self.admin_port, "admin")

    async def start_nodes(self, vms: Iterable[str]) -> None:
        """Start nodes with their backend servers in groups, and wait for their listeners."""
        names = list(vms)
        for first in range(0, len(names), _START_GROUP_SIZE):
            group = names[first : first + _START_GROUP_SIZE]
            await asyncio.gather(*(self.start_vm(vm) for vm in group))

    async def start_vm(self, vm: str) -> None:
        """Start a node, and its backend server unless that already runs."""
        await self.start_backend(vm)
        node = self.nodes[vm]
        await self._launch_node(node)
        await self._wait_until_listening(node.caller_port, f"node-{vm}")

    async def start_backend(self, vm: str) -> None:
        """Start the backend server beside a node unless it already runs."""
        node = self.nodes[vm]
        backend = f"backend-{node.backend_vm}"
        async with self._launch_lock:
            # Nodes that share a backend server start at the same time.
            if backend not in self.processes or not self.processes[backend].running:
                await self._launch(backend, "backend", self._build_backend_arguments(node))
        await self._wait_until_listening(node.backend_port, backend)

    async def _launch_node(self, node: NodePlan) -> None:
        settings = self._write_settings(f"node-{node.vm}", self._build_node_settings(node))
        await self._launch(f"node-{node.vm}", "node", (str(settings),))

    def get_node(self, vm: str) -> Process:
        """Return the process of a node."""
        return self.processes[f"node-{vm}"]

    def get_backend(self, vm: str) -> Process:
        """Return the process of the backend server beside a node."""
        return self.processes[f"backend-{self.nodes[vm].backend_vm}"]

    def kill_vm(self, vm: str) -> None:
        """Kill a node, and its backend server unless others share it."""
        self.outages.append(Outage(vm, time.time(), float("inf")))
        self.get_node(vm).kill()
        if not self.plan.shared_backends:
            self.get_backend(vm).kill()

    async def restart_vms(self, vms: Iterable[str]) -> None:
        """Restart killed nodes, all at once and with the same addresses."""
        await asyncio.gather(*(self.start_vm(vm) for vm in vms))

    def end_outage(self, vm: str, at: float) -> None:
        """Record the end of a node's outage."""
        self.outages = [
            item._replace(until=at) if item.vm == vm and item.until == float("inf") else item
            for item in self.outages
        ]

    async def run_ctl(self, *arguments: str) -> Any:
        """Run `ibiswickctl ... --json` and return the document it prints."""
        environment = {
            "IBISWICK_URL": f"http://{HOST}:{self.admin_port}",
            "IBISWICK_TOKEN": self._token,
        }
        output = await run_program("ctl", *arguments, "--json", environment=environment)
        return json.loads(output) if output.strip() else None

    async def submit_change(self, change_id: str, workspace: Mapping[str, Any]) -> int:
        """Submit a workspace's document; return its generation once it is accepted."""
        name = workspace["name"]
        url = f"http://{HOST}:{self.admin_port}/v1"
        headers = {"authorization": f"Bearer {self._token}"}
        current = await self._http.get(f"{url}/workspaces/{name}", headers=headers)
        body = {
            "change_id": change_id,
            "workspaces": {name: workspace},
            "base": {f"workspace/{name}": current.json()["digest"]},
        }
        response = await self._http.post(f"{url}/changes", headers=headers, json=body)
        if response.status_code != 200:
            raise ProcessFailedError(f"change refused: {response.status_code} {response.text}")
        return response.json()["generation"]

    async def start_program(self, program: str, *arguments: str) -> Process:
        """Start another ibiswick program; `close` ends it."""
        name = f"{program}-{len(self.processes)}"
        await self._launch(name, program, arguments)
        return self.processes[name]

    def list_targets(self) -> list[Target]:
        """List the caller ports of the running nodes."""
        return [
            Target(vm, HOST, node.caller_port)
            for vm, node in self.nodes.items()
            if f"node-{vm}" in self.processes and self.get_node(vm).running
        ]

    def locate_backend(self, vm: str) -> Target:
        """Return the address of the backend server beside a node."""
        return Target(vm, HOST, self.nodes[vm].backend_port)

    def read_node_events(self) -> Iterator[tuple[str, Event]]:
        """Yield the log events of every node, VM by VM."""
        for vm in self.nodes:
            path = self.directory / f"node-{vm}.log"
            if path.exists():
                yield from ((vm, event) for event in read_events(path))

    async def wait_events(
        self,
        name: str,
        vms: Iterable[str],
        *,
        after: float = 0.0,
        timeout_s: float = _READY_TIMEOUT_S,
        **fields: str,
    ) -> dict[str, Event]:
        """Wait until each VM has logged an event with the given fields; return the first ones."""
        wanted = set(vms)
        deadline = time.monotonic() + timeout_s
        while True:
            found: dict[str, Event] = {}
            for vm, event in self.read_node_events():
                if vm not in wanted or event.name != name or event.at < after:
                    continue
                if fields.items() <= event.fields.items():
                    found.setdefault(vm, event)
            if len(found) == len(wanted):
                return found
            if time.monotonic() > deadline:
                missing = sorted(wanted - set(found))
                raise ProcessFailedError(f"no event {name} from {missing} within {timeout_s:g} s")
            await asyncio.sleep(4 * _POLL_INTERVAL_S)

    async def fetch_object(self, key: str) -> Any:
        """Return the value of one object of the platform, or None."""
        response = await self._http.get(f"http://{HOST}:{self.platform_port}/v1/objects/{key}")
        if response.status_code == 404:
            return None
        response.raise_for_status()
        return response.json()

    async def fetch_platform_counts(self) -> dict[str, Any]:
        """Return the platform's counts of calls."""
        response = await self._http.get(f"http://{HOST}:{self.platform_port}/_counts")
        return response.json()

    async def set_platform_faults(self, faults: dict[str, Any]) -> None:
        """Start or end faults of the platform; faults not named stay as they are."""
        url = f"http://{HOST}:{self.platform_port}/_faults"
        (await self._http.post(url, json=faults)).raise_for_status()

    async def set_backend_faults(self, vm: str, faults: dict[str, Any]) -> None:
        """Replace the faults of one backend server."""
        url = f"http://{HOST}:{self.nodes[vm].backend_port}/_faults"
        (await self._http.post(url, json=faults)).raise_for_status()

    async def read_metrics(self, vm: str) -> dict[str, float]:
        """Return the metrics of a node; names include their labels."""
        url = f"http://{HOST}:{self.nodes[vm].operations_port}/metrics"
        response = await self._http.get(url, headers={"accept": "text/plain"})
        pairs = (
            line.rsplit(" ", 1) for line in response.text.splitlines() if line[:1] not in ("", "#")
        )
        return {name: float(value) for name, value in pairs}

    async def _launch(self, name: str, program: str, arguments: tuple[str, ...]) -> None:
        log = self.directory / f"{name}.log"
        if name in self.processes and self.processes[name].running:
            raise ProcessFailedError(f"{name} is already running")
        process = Process(name=name, program=program, arguments=arguments, log=log)
        self.processes[name] = process
        await process.start()

    async def _wait_until_listening(self, port: int, name: str) -> None:
        deadline = time.monotonic() + _READY_TIMEOUT_S
        while True:
            try:
                _, writer = await asyncio.open_connection(HOST, port)
            except OSError:
                self._check_alive(name, deadline)
                await asyncio.sleep(_POLL_INTERVAL_S)
            else:
                writer.close()
                return

    def _check_alive(self, name: str, deadline: float) -> None:
        process = self.processes[name]
        if not process.running or time.monotonic() > deadline:
            state = "is not ready" if process.running else "ended"
            raise ProcessFailedError(f"{name} {state}: {process.log.read_text()[-2000:]}")

    def _plan_nodes(self) -> Iterator[NodePlan]:
        zones = itertools.cycle(self.plan.availability_zones)
        for service in self.plan.services:
            shared_port = next(self._ports) if self.plan.shared_backends else None
            for index in range(1, service.backend_servers + 1):
                vm = f"{service.name}-{index}"
                yield NodePlan(
                    vm=vm,
                    service=service,
                    availability_zone=next(zones),
                    backend_vm=service.name if shared_port else vm,
                    backend_port=shared_port or next(self._ports),
                    caller_port=next(self._ports),
                    peer_port=next(self._ports),
                    control_port=next(self._ports),
                    operations_port=next(self._ports),
                )

    def _build_backend_arguments(self, node: NodePlan) -> tuple[str, ...]:
        arguments = [
            *("--vm", node.backend_vm, "--service", node.service.name),
            *("--port", str(node.backend_port), "--slots", str(self._count_slots(node))),
            *("--connections", str(self._count_connections(node))),
            *("--cold-s", str(node.service.cold_s)),
            *("--ledger", str(self.directory / f"{node.backend_vm}.ledger")),
        ]
        for prefix, ms in node.service.service_ms:
            arguments += ["--service-ms", f"{prefix}={ms}"]
        return tuple(arguments)

    def _count_slots(self, node: NodePlan) -> int:
        return node.service.slots * self._count_nodes_per_backend(node)

    def _count_connections(self, node: NodePlan) -> int:
        return node.service.connections * self._count_nodes_per_backend(node)

    def _count_nodes_per_backend(self, node: NodePlan) -> int:
        return node.service.backend_servers if self.plan.shared_backends else 1

    def _build_platform_settings(self) -> dict[str, Any]:
        return {"url": f"http://{HOST}:{self.platform_port}"}

    def _build_admin_settings(self) -> dict[str, Any]:
        return {
            "listen": _build_address(self.admin_port),
            "platform": self._build_platform_settings(),
            "allow_plaintext": True,
        }

    def _build_node_settings(self, node: NodePlan) -> dict[str, Any]:
        return {
            "vm": node.vm,
            "workspace": self.plan.workspace,
            "service": node.service.name,
            "region": self.plan.region,
            "availability_zone": node.availability_zone,
            "backend_server": _build_address(node.backend_port),
            "caller": _build_address(node.caller_port),
            "peer": _build_address(node.peer_port),
            "control": _build_address(node.control_port),
            "operations": _build_address(node.operations_port),
            "platform": self._build_platform_settings(),
            "slots": node.service.slots,
            "allow_plaintext": True,
            "directory_jitter_s": 1.0,
            **dict(self.plan.node_settings),
        }

    def _write_settings(self, name: str, settings: dict[str, Any]) -> Path:
        path = self.directory / f"{name}.json"
        path.write_text(json.dumps(settings, indent=1))
        return path


def cancel_on_signals() -> None:
    """Make SIGTERM cancel the current task as Ctrl-C does, so that a rig cleans up."""
    task = asyncio.current_task()
    if task is not None:
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)


def _build_address(port: int) -> dict[str, Any]:
    return {"host": HOST, "port": port}
