"""Which requests have the same fingerprint."""

from hypothesis import given, strategies as st

from siskinthread.poison_requests import fingerprint

REQUEST = ("host.example", "/drafts/2f?page=3", "inspectorate", b"report")


def test_retries_of_a_request_have_one_fingerprint():
    """The case of the host and the query are ignored."""
    _, _, *rest = REQUEST
    tries = [("Host.Example", "/drafts/2f"), ("host.example", "/drafts/2f?page=4")]
    assert {fingerprint(*one, *rest) for one in tries} == {fingerprint(*REQUEST)}


@given(st.integers(0, 3), st.text(max_size=5))
def test_request_that_differs_in_one_part_has_another_fingerprint(number, text):
    """Another caller's request, or another body, must have another fingerprint."""
    parts = list(REQUEST)
    before = parts[number]
    parts[number] = text.encode() if isinstance(before, bytes) else text
    if _without_query(parts[number]) != _without_query(before):
        assert fingerprint(*parts) != fingerprint(*REQUEST)


def test_boundaries_between_parts_are_distinguished():
    """The end of one part must not count as the beginning of the next."""
    assert fingerprint("h", "/a", "b", b"") != fingerprint("h", "/", "ab", b"")


def _without_query(part):
    return str(part).lower().partition("?")[0]
