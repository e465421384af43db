"""Message framing of the answers of targets."""

# Answers with these statuses have no body, regardless of their headers.
BODILESS_STATUSES = (204, 304)


def ends_with_connection(head):
    """Return whether the end of an answer is marked only by the end of its connection.

    Parameters
    ----------
    head : siskinthread.outcomes.Head
        Status and headers of the answer.

    Returns
    -------
    bool
        True if the answer has a body, but neither a length nor chunked encoding
        (RFC 9112, section 6.3).
    """
    if head.status in BODILESS_STATUSES:
        return False
    names = {name.lower() for name, _ in head.headers}
    return not names & {"content-length", "transfer-encoding"}
