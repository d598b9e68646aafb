"""Build the policies of calls and admission for nodes of the direct plane."""

from __future__ import annotations

from collections.abc import Callable

from ..calls.exchanges import ByteBudget
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
# Limit for all buffered responses together; the smallest VM gives a process 200 MB, of which it
# uses 30 MB.
MAX_BUFFERED_TOTAL_BYTES = 64 * 1024 * 1024
# Larger bodies are sent only when the other node asks for them; for smaller ones, the round trip
# costs more.
EXPECT_CONTINUE_ABOVE_BYTES = 4 * 1024
# Statuses of a backend server after which an idempotent call is retried at another one.
RETRY_STATUSES = frozenset((500, 502, 503))
# Bounds only the memory; targets and deadlines limit the wait for a slot.
QUEUE_LENGTH_PER_SLOT = 8
# See `AdmissionPolicy.estimates_capacity`.
ESTIMATES_CAPACITY = True


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


def build_buffer_budget() -> ByteBudget:
    """Build the limit of all buffered responses of a node together."""
    return ByteBudget(limit=MAX_BUFFERED_TOTAL_BYTES)
