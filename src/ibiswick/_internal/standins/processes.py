"""Start the processes of a rig and send each its signals by process id."""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import signal
import socket
import sys
from collections.abc import Iterator, Mapping
from pathlib import Path

_SOURCE_DIRECTORY = Path(__file__).resolve().parents[3]
_STOP_TIMEOUT_S = 5.0
# Ports below the ephemeral range cannot collide with outgoing connections of other processes.
_LOWEST_PORT = 12_000
_HIGHEST_PORT = 32_000


class ProcessFailedError(Exception):
    """Report a program that ended with an error or before it was ready."""


class Process:
    """Run one of ibiswick's programs; its output goes to a log file."""

    def __init__(
        self,
        *,
        name: str,
        program: str,
        arguments: tuple[str, ...],
        log: Path,
        environment: Mapping[str, str] | None = None,
    ) -> None:
        self.name = name
        self.log = log
        self._command = _build_command(program, arguments)
        self._environment = _build_environment(environment)
        self._process: asyncio.subprocess.Process | None = None

    @property
    def pid(self) -> int:
        """Return the process id; raise ProcessFailedError when it was never started."""
        if self._process is None:
            raise ProcessFailedError(f"{self.name} was not started")
        return self._process.pid

    @property
    def running(self) -> bool:
        """Return whether the process was started and has not ended."""
        return self._process is not None and self._process.returncode is None

    async def start(self) -> None:
        """Start the process; its output is appended to the log file."""
        with self.log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *self._command,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=self._environment,
                # Ctrl-C goes to the rig, which then ends its processes itself.
                start_new_session=True,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal unless the process has ended."""
        if self.running and self._process is not None:
            with contextlib.suppress(ProcessLookupError):
                self._process.send_signal(number)

    def kill(self) -> None:
        """Kill the process."""
        self.signal(signal.SIGKILL)

    def terminate(self) -> None:
        """Ask the process to end."""
        self.signal(signal.SIGTERM)

    def pause(self) -> None:
        """Suspend the process, which cannot catch the signal."""
        self.signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Continue a suspended process."""
        self.signal(signal.SIGCONT)

    async def wait(self, *, timeout_s: float) -> int:
        """Wait for the end; raise TimeoutError."""
        if self._process is None:
            raise ProcessFailedError(f"{self.name} was not started")
        async with asyncio.timeout(timeout_s):
            return await self._process.wait()

    async def stop(self) -> None:
        """Terminate the process, and kill it if it does not end in time."""
        if not self.running:
            return
        self.resume()
        self.terminate()
        try:
            await self.wait(timeout_s=_STOP_TIMEOUT_S)
        except TimeoutError:
            self.kill()
            await self.wait(timeout_s=_STOP_TIMEOUT_S)


async def run_program(
    program: str, *arguments: str, environment: Mapping[str, str] | None = None
) -> str:
    """Run a program to its end and return its output; raise ProcessFailedError."""
    process = await asyncio.create_subprocess_exec(
        *_build_command(program, arguments),
        stdin=asyncio.subprocess.DEVNULL,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
        env=_build_environment(environment),
    )
    try:
        output, errors = await process.communicate()
    except asyncio.CancelledError:
        with contextlib.suppress(ProcessLookupError):
            process.kill()
        await process.wait()
        raise
    if process.returncode:
        text = f"{output.decode()}{errors.decode()}".strip()
        raise ProcessFailedError(f"{program} {' '.join(arguments)}: {process.returncode}: {text}")
    return output.decode()


def _build_environment(extra: Mapping[str, str] | None) -> dict[str, str]:
    # The programs must come from the same checkout as the rig.
    return {**os.environ, "PYTHONPATH": str(_SOURCE_DIRECTORY), **(extra or {})}


def _build_command(program: str, arguments: tuple[str, ...]) -> tuple[str, ...]:
    # Works without installed entry points.
    script = f"from ibiswick._internal.commands.{program} import main; main()"
    return (sys.executable, "-c", script, *arguments)


def find_ports(rng: random.Random) -> Iterator[int]:
    """Yield ports of the loopback interface that are free now, each at most once."""
    first = rng.randrange(_LOWEST_PORT, _HIGHEST_PORT)
    for offset in range(_HIGHEST_PORT - _LOWEST_PORT):
        port = _LOWEST_PORT + (first - _LOWEST_PORT + offset) % (_HIGHEST_PORT - _LOWEST_PORT)
        if _is_free(port):
            yield port


def _is_free(port: int) -> bool:
    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            listener.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
