"""Names of requests that stay the same over a caller's tries."""

import hashlib

# 2^48 fingerprints give two of a million requests the same one with a chance of 1 in
# 500; twice as many bytes leave none to speak of and are still short in news.
FINGERPRINT_BYTES = 12
LENGTH_BYTES = 8


def fingerprint(host, path, caller, body):
    """Return the name of a request, hexadecimal.

    Parameters
    ----------
    host : str
        Name of the service that the caller asked for.
    path : str
        Path; a query behind it does not count.
    caller : str
        Client account; without it, a caller would have another's request refused by
        sending the same one.
    body : bytes
        The body.

    Returns
    -------
    str
        The same for each try of a request, at any entry.  The id, the method, the query
        and the other headers don't count: a caller gives each try another id, and may
        state another deadline, page, hint or last event.
    """
    path = path.partition("?")[0]
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (host.lower().encode(), path.encode(), caller.encode(), body):
        # With the lengths, no two different requests give the same bytes.
        digest.update(len(part).to_bytes(LENGTH_BYTES, "big"))
        digest.update(part)
    return digest.hexdigest()
