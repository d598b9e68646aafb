"""Carry calls to the platform over httpx.

Plain nodes do not import this module, because httpx costs several megabytes of memory.
"""

from __future__ import annotations

import ssl
from collections.abc import Mapping

import httpx

from .errors import ExchangeTimeoutError, NotSentError, ResponseLostError
from .objectapi import FetchResponse, HttpPlatform
from .settings import PlatformSettings

# Errors that httpx raises before it has a connection, so that nothing was sent.
_NOT_SENT = (
    httpx.ConnectError,
    httpx.ConnectTimeout,
    httpx.PoolTimeout,
    httpx.UnsupportedProtocol,
    httpx.InvalidURL,
)


class HttpxFetch:
    """Implement `Fetch` with a pooled httpx client bound to the origin of a URL."""

    def __init__(
        self,
        *,
        base_url: str,
        tls: ssl.SSLContext | None = None,
        transport: httpx.AsyncBaseTransport | None = None,
    ) -> None:
        origin = httpx.URL(base_url).copy_with(raw_path=b"/")
        self._client = httpx.AsyncClient(
            base_url=origin,
            verify=tls if tls is not None else True,
            transport=transport,
            # VMs reach each other by IP address, so proxies from the environment do not apply.
            trust_env=False,
        )

    async def __call__(
        self, method: str, target: str, headers: Mapping[str, str], body: bytes, timeout_s: float
    ) -> FetchResponse:
        """Return the response, regardless of its status."""
        try:
            response = await self._client.request(
                method, target, headers=dict(headers), content=body or None, timeout=timeout_s
            )
        except _NOT_SENT as error:
            raise NotSentError(f"{type(error).__name__}: {error}") from error
        except httpx.TimeoutException as error:
            raise ExchangeTimeoutError(f"no response within {timeout_s} s") from error
        except httpx.HTTPError as error:
            raise ResponseLostError(f"{type(error).__name__}: {error}") from error
        return FetchResponse(response.status_code, response.headers, response.content)

    async def close(self) -> None:
        """Close all connections."""
        await self._client.aclose()


def connect_platform(settings: PlatformSettings, *, caller: str) -> tuple[HttpPlatform, HttpxFetch]:
    """Return a client of the platform and its transport, which the caller must close."""
    fetch = HttpxFetch(base_url=settings.url)
    platform = HttpPlatform(
        fetch=fetch, base_url=settings.url, caller=caller, timeout_s=settings.timeout_s
    )
    return platform, fetch
