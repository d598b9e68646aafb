"""Run `ibiswick-backend`, a stand-in for a backend server."""

from __future__ import annotations

import os
from pathlib import Path

import cyclopts
import uvicorn
import uvloop

from ..shared.logs import EventLog, install_handler
from ..standins.backend import BackendServer, BackendSettings, limit_connections

app = cyclopts.App(name="ibiswick-backend", help="Run a stand-in for a backend server.")


@app.default
def serve(
    *,
    vm: str,
    service: str,
    port: int,
    host: str = "127.0.0.1",
    slots: int = 6,
    connections: int = 130,
    default_ms: float = 4.0,
    service_ms: tuple[str, ...] = (),
    cold_s: float = 0.0,
    health_lag_s: float = 0.0,
    seed: int = 1,
    ledger: Path | None = None,
) -> None:
    """Serve until SIGTERM.

    Parameters
    ----------
    vm
        VM that the backend server runs on.
    service
        Service that the backend server belongs to.
    port
        Port to listen on.
    host
        IP address to listen on.
    slots
        Requests that are processed at the same time.
    connections
        Connections that are accepted at the same time; further ones are closed at once.
    default_ms
        Mean service time in ms of paths without a `--service-ms`.
    service_ms
        PREFIX=MS, the mean service time of a path prefix; may be repeated.
    cold_s
        Seconds after the start in which service times fall from four times to the normal ones.
    health_lag_s
        Age in seconds of the health that is reported.
    seed
        Seed of the random service times and faults.
    ledger
        File to which the work that took effect or was aborted is appended.
    """
    install_handler(program="ibiswick-backend")
    settings = BackendSettings(
        vm=vm,
        service=service,
        slots=slots,
        connections=connections,
        default_ms=default_ms,
        service_ms=tuple(_parse_service_time(item) for item in service_ms),
        cold_s=cold_s,
        health_lag_s=health_lag_s,
        seed=seed,
        ledger_file=str(ledger) if ledger else None,
    )
    EventLog(component="backend").info("backend-started", vm=vm, port=port, pid=os.getpid())
    uvloop.run(_run(settings, host, port))


async def _run(settings: BackendSettings, host: str, port: int) -> None:
    config = uvicorn.Config(
        BackendServer(settings=settings),
        host=host,
        port=port,
        http=limit_connections(settings.connections),
        ws="none",
        lifespan="off",
        access_log=False,
        log_level="error",
        timeout_keep_alive=60,
    )
    await uvicorn.Server(config).serve()


def _parse_service_time(text: str) -> tuple[str, float]:
    prefix, _, ms = text.partition("=")
    return prefix, float(ms)


def main() -> None:
    """Run the program."""
    app()


if __name__ == "__main__":
    main()
