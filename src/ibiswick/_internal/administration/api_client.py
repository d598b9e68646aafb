"""Call the administration API over HTTP."""

from __future__ import annotations

import asyncio
import ssl
import urllib.parse
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import httpx

from ..shared.errors import IbiswickError, Problem

TIMEOUT_S = 10.0
# Delays before retries; a change whose response was lost is retried with the same change id.
RETRY_DELAYS_S = (0.2, 0.5, 1.0, 2.0)
# A longer delay requested by the API would keep the operator waiting for a result.
MAX_RETRY_AFTER_S = 5.0


class ApiUnavailableError(IbiswickError):
    """Report that the administration API, or the platform behind it, is unavailable."""

    code = "api-unavailable"

    def __init__(self, message: str, *, retry_after_s: float = 0.0) -> None:
        super().__init__(message)
        self.retry_after_s = retry_after_s


class ApiRefusedError(IbiswickError):
    """Report a request that the administration API rejected."""

    code = "api-refused"

    def __init__(self, status: int, body: dict[str, Any]) -> None:
        super().__init__(str(body.get("detail", f"status {status}")))
        self.status = status
        self.refusal_code = str(body.get("code", ""))
        self.problems = tuple(Problem(**item) for item in body.get("problems", ()))
        self.conflicts = body.get("conflicts", [])
        self.current = body.get("current")


class ClientSettings(NamedTuple):
    """Hold the address of the API, the token, and the file with the certificate authority."""

    url: str
    token: str
    authority_file: str | None = None


class ApiClient:
    """Send requests to the administration API; close with `async with`."""

    def __init__(
        self,
        *,
        settings: ClientSettings,
        transport: httpx.AsyncBaseTransport | None = None,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        self._sleep = sleep
        self._http = httpx.AsyncClient(
            base_url=settings.url,
            headers={"Authorization": f"Bearer {settings.token}"},
            timeout=TIMEOUT_S,
            transport=transport,
            verify=_build_tls_verification(settings.authority_file),
        )

    async def __aenter__(self) -> ApiClient:
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._http.aclose()

    async def get(self, path: str, **query: Any) -> dict[str, Any]:
        """Read a resource."""
        query_parameters = {key: value for key, value in query.items() if value is not None}
        return await self._send_with_retries("GET", path, params=query_parameters)

    async def send_change(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        """Post a body with a change id, which makes retries safe."""
        return await self._send_with_retries("POST", path, json=body)

    async def request_drain(self, vm: str, *, undo: bool) -> dict[str, Any]:
        """Request a drain of a VM, or withdraw the request; both are idempotent."""
        path = f"/v1/nodes/{quote_segment(vm)}/drain"
        return await self._send_with_retries("DELETE" if undo else "POST", path)

    async def read_document(self, kind: str, name: str) -> dict[str, Any] | None:
        """Return a template or workspace with its digest, or None if there is none."""
        try:
            return await self.get(f"/v1/{kind}s/{quote_segment(name)}")
        except ApiRefusedError as error:
            if error.status == 404:
                return None
            raise

    async def _send_with_retries(self, method: str, path: str, **options: Any) -> dict[str, Any]:
        for delay_s in RETRY_DELAYS_S:
            try:
                return await self._send(method, path, **options)
            except ApiUnavailableError as error:
                await self._sleep(max(delay_s, min(error.retry_after_s, MAX_RETRY_AFTER_S)))
        return await self._send(method, path, **options)

    async def _send(self, method: str, path: str, **options: Any) -> dict[str, Any]:
        try:
            response = await self._http.request(method, path, **options)
        except httpx.HTTPError as error:
            raise ApiUnavailableError(f"{type(error).__name__}: {error}") from error
        if response.status_code == 429 or response.status_code >= 500:
            raise ApiUnavailableError(
                _describe_response(response), retry_after_s=_parse_retry_after(response)
            )
        body = _decode_body(response)
        if response.status_code >= 400:
            raise ApiRefusedError(response.status_code, body)
        return body


def quote_segment(name: str) -> str:
    """Quote a name as a path segment."""
    return urllib.parse.quote(name, safe="")


def _build_tls_verification(authority_file: str | None) -> ssl.SSLContext | bool:
    return True if authority_file is None else ssl.create_default_context(cafile=authority_file)


def _decode_body(response: httpx.Response) -> dict[str, Any]:
    try:
        body = response.json()
    except ValueError:
        body = None
    if not isinstance(body, dict):
        raise ApiUnavailableError(f"status {response.status_code} without a JSON object")
    return body


def _describe_response(response: httpx.Response) -> str:
    try:
        body = _decode_body(response)
    except ApiUnavailableError:
        return f"status {response.status_code}"
    return f"{body.get('code')}: {body.get('detail')}"


def _parse_retry_after(response: httpx.Response) -> float:
    text = response.headers.get("retry-after", "")
    return float(text) if text.isdigit() else 0.0
