"""Test the datagrams about limits."""

from __future__ import annotations

import cbor2
import pytest
from hypothesis import given
from hypothesis import strategies as st

from ibiswick._internal.shared.errors import MessageError
from ibiswick._internal.tenants import limits
from ibiswick._internal.tenants.limit_messages import (
    GrantItem,
    Loan,
    RequestItem,
    Stamp,
    TokenGrant,
    TokenRequest,
    decode_message,
    encode_message,
)
from ibiswick._internal.tenants.limits import LoanBook

REQUEST = TokenRequest(
    "vm-1", 5, 7, 3, Loan(Stamp(9, 12.5), 74, 2**63), (RequestItem("acme", 1, 2, 3, 449, 449),)
)
GRANT = TokenGrant("vm-2", 5, 7, Stamp(9, 12.5), True, (GrantItem("acme", 0, 0.25, False),))


@pytest.mark.parametrize("message", [REQUEST, GRANT, REQUEST._replace(items=())])
def test_messages_survive_the_wire(message: TokenRequest | TokenGrant) -> None:
    """Guards against fields that the codec loses or mixes up."""
    assert decode_message(encode_message(message)) == message


@given(raw=st.binary(max_size=1300))
def test_noise_is_refused(raw: bytes) -> None:
    """Guards against an exception other than MessageError for a foreign datagram."""
    with pytest.raises(MessageError):
        decode_message(raw)


@given(st.data())
def test_changed_messages_are_decoded_or_refused(data: st.DataObject) -> None:
    """Guards against values of other types or out of range that pass the decoder."""
    row = cbor2.loads(encode_message(data.draw(st.sampled_from([REQUEST, GRANT]))))
    index = data.draw(st.integers(0, len(row) - 1))
    row[index] = data.draw(
        st.none() | st.integers() | st.floats() | st.text(max_size=5) | st.lists(st.integers())
    )
    try:
        decode_message(cbor2.dumps(row))
    except MessageError:
        return


@pytest.mark.parametrize("value", [-1, float("nan"), float("inf")])
def test_values_out_of_range_are_refused(value: float) -> None:
    """Guards against levels that become negative, infinite or not a number."""
    wish = REQUEST.items[0]
    for item in (wish._replace(rate=value), wish._replace(burst=value)):
        with pytest.raises(MessageError):
            decode_message(encode_message(REQUEST._replace(items=(item,))))
    loan = REQUEST.loan._replace(stamp=Stamp(9, value))
    with pytest.raises(MessageError):
        decode_message(encode_message(REQUEST._replace(loan=loan)))


def test_state_of_a_coordinator_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against memory that grows with the names in requests."""
    monkeypatch.setattr(limits, "MAX_LENDERS", 10)
    monkeypatch.setattr(limits, "MAX_POOLS", 10)
    book = LoanBook(vm="vm-0", process=9)
    for index in range(50):
        item = RequestItem(f"tenant-{index}", 1, 0, 0, 5, 5)
        loan = Loan(Stamp(9, 100.0), 74, 1)
        request = TokenRequest(f"vm-{index}", 1, 1, 1, loan, (item,))
        book.handle(request, now=100.1)
    assert book.count_state() == (10, 10)
    book.expire(102.0)
    assert book.count_state() == (0, 10)
