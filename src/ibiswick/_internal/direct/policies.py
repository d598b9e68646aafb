"""Build the policies of calls and admission for nodes of the direct plane."""

from __future__ import annotations

import resource
from collections.abc import Callable
from typing import NamedTuple

from ..calls.heads import HeaderNames
from ..calls.inbound import AdmissionPolicy
from ..calls.outbound import CallPolicy
from ..calls.retries import RetryBudget, WindowedRetryBudget
from .settings import DirectSettings

# Nodes that a call asks for a free slot before it waits for a slot at one of them.
MAX_POLLS = 3
# In a service with many nodes, the known load of each is older, and the next one is more likely to
# have a free slot.
MAX_POLLS_LARGE_SERVICE = 5
# Responses up to this size are buffered until they are complete, so that a failure can still be
# reported to the caller.
MAX_BUFFERED_RESPONSE_BYTES = 8 * 1024 * 1024
# Larger bodies are sent only when the other node asks for them; for smaller ones, the round trip
# costs more.
EXPECT_CONTINUE_ABOVE_BYTES = 4 * 1024
# Statuses of a backend server after which an idempotent call is retried at another one.
RETRY_STATUSES = frozenset((500, 502, 503))
# Bounds only the memory; targets and deadlines limit the wait for a slot.
QUEUE_LENGTH_PER_SLOT = 8
# See `AdmissionPolicy.estimates_capacity`.
ESTIMATES_CAPACITY = True

# Shares of the descriptors of the process that connections of each kind may use. The rest is for
# connections to other nodes, the backend server and the object API, and for the ports themselves.
CALLER_SHARE = 0.4
PEER_SHARE = 0.2
EXCHANGE_SHARE = 0.05
OTHER_SHARE = 0.03
MIN_CONNECTIONS = 8


class ConnectionLimits(NamedTuple):
    """Limit the connections to each port."""

    caller: int
    peer: int
    exchange: int
    other: int


def compute_connection_limits(max_fds: int) -> ConnectionLimits:
    """Divide the descriptors of the process; 0 stands for those that the system allows.

    >>> compute_connection_limits(1000)
    ConnectionLimits(caller=400, peer=200, exchange=50, other=30)
    """
    descriptors = max_fds or resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    shares = (CALLER_SHARE, PEER_SHARE, EXCHANGE_SHARE, OTHER_SHARE)
    return ConnectionLimits(*(max(MIN_CONNECTIONS, int(descriptors * share)) for share in shares))


def build_call_policy(
    *,
    get_settings: Callable[[], DirectSettings],
    names: HeaderNames,
    count_nodes: Callable[[], int],
    is_current: Callable[[], bool],
) -> CallPolicy:
    """Build the policy of the caller port.

    * `get_settings`: returns the settings in effect, which may have been reloaded.
    * `count_nodes`: returns how many nodes share the retry budget.
    * `is_current`: tells whether the configuration has been confirmed recently.
    """

    def build_retry_budget(now: float) -> RetryBudget:
        return WindowedRetryBudget(
            ratio=get_settings().retry_ratio,
            window_s=get_settings().retry_window_s,
            slack=lambda: get_settings().retry_slack / count_nodes(),
            started_at=now,
        )

    return CallPolicy(
        names=names,
        build_retry_budget=build_retry_budget,
        retry_statuses=RETRY_STATUSES,
        max_polls=MAX_POLLS,
        max_polls_large_service=MAX_POLLS_LARGE_SERVICE,
        buffer_bytes=MAX_BUFFERED_RESPONSE_BYTES,
        serves_while_draining=True,
        fractional_retry_after=True,
        divides_deadline=False,
        prefix_needs_slash=True,
        expect_continue_above_bytes=EXPECT_CONTINUE_ABOVE_BYTES,
        link_bytes_per_s=get_settings().link_bytes_per_s,
        is_current=is_current,
    )


def build_admission_policy(*, names: HeaderNames, link_bytes_per_s: int = 0) -> AdmissionPolicy:
    """Build the policy of the peer port; `link_bytes_per_s` is 0 if the link rate is unknown."""
    return AdmissionPolicy(
        names=names,
        receives_body_first=True,
        requires_instance=True,
        max_queue_s=None,
        queue_length_per_slot=QUEUE_LENGTH_PER_SLOT,
        max_buffered_body_bytes=MAX_BUFFERED_RESPONSE_BYTES,
        link_bytes_per_s=link_bytes_per_s,
        estimates_capacity=ESTIMATES_CAPACITY,
    )
