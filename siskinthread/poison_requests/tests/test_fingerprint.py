"""What makes two requests the same one."""

from hypothesis import given, strategies as st

from siskinthread.poison_requests import fingerprint

REQUEST = ("host.example", "/drafts/2f?page=3", "inspectorate", b"report")


def test_tries_of_one_request_have_one_fingerprint():
    """It depends on nothing but the parts; neither case of the host nor query count."""
    _, _, *rest = REQUEST
    tries = [("Host.Example", "/drafts/2f"), ("host.example", "/drafts/2f?page=4")]
    assert {fingerprint(*one, *rest) for one in tries} == {fingerprint(*REQUEST)}


@given(st.integers(0, 3), st.text(max_size=5))
def test_request_that_differs_in_one_part_is_another_one(number, text):
    """Another caller's request, or another body, must not be taken for this one."""
    parts = list(REQUEST)
    before = parts[number]
    parts[number] = text.encode() if isinstance(before, bytes) else text
    if _without_query(parts[number]) != _without_query(before):
        assert fingerprint(*parts) != fingerprint(*REQUEST)


def test_parts_that_run_into_one_another_are_told_apart():
    """The end of one part can't pass for the beginning of the next."""
    assert fingerprint("h", "/a", "b", b"") != fingerprint("h", "/", "ab", b"")


def _without_query(part):
    return str(part).lower().partition("?")[0]
