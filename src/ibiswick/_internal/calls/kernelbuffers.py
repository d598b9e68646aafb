"""Read how many bytes of a connection the kernel holds."""

from __future__ import annotations

import asyncio
import fcntl
import sys
import termios


def count_unacknowledged(transport: asyncio.BaseTransport) -> int:
    """Return the bytes in the kernel that the other machine has not acknowledged."""
    raw_socket = transport.get_extra_info("socket")
    if raw_socket is None:
        return 0
    try:
        packed = fcntl.ioctl(raw_socket.fileno(), termios.TIOCOUTQ, b"\0" * 4)
    except OSError:
        return 0
    return int.from_bytes(packed, sys.byteorder)
