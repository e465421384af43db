"""Where an answer of a target ends."""

# Answers that have no body, whatever their headers say.
BODILESS_STATUSES = (204, 304)


def ends_with_connection(head):
    """Return whether an answer has neither a length nor chunks.

    Parameters
    ----------
    head : siskinthread.outcomes.Head
        Status and headers of the answer.

    Returns
    -------
    bool
        Its connection's end is then its end (RFC 9112, section 6.3).
    """
    if head.status in BODILESS_STATUSES:
        return False
    names = {name.lower() for name, _ in head.headers}
    return not names & {"content-length", "transfer-encoding"}
