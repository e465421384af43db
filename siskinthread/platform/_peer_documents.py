"""JSON documents that entry hosts fetch from one another."""

from siskinthread.shared_services import HttpClient, parse_json

SERVICE = "peer"


async def fetch_document(address, path, wait_s):
    """Return the decoded JSON that a peer serves at a path.

    Parameters
    ----------
    address : siskinthread.settings.Address
        Address of the peer.
    path : str
        Path of the document.
    wait_s : float
        Longest wait, seconds.

    Raises
    ------
    PlatformUnavailableError
        If no readable answer came in time.
    """
    http = HttpClient(SERVICE, address, wait_s)
    try:
        return parse_json(SERVICE, await http.get(path))
    finally:
        await http.close()
