"""Documents that entry hosts ask one another for."""

from siskinthread.shared_services import HttpClient, parse_json

SERVICE = "peer"


async def fetch_document(address, path, wait_s):
    """Return the decoded JSON that a peer has at a path.

    Parameters
    ----------
    address : siskinthread.settings.Address
        The peer.
    path : str
        Which document.
    wait_s : float
        Longest wait, seconds.

    Raises
    ------
    PlatformUnavailableError
        If there was no readable answer in time.
    """
    http = HttpClient(SERVICE, address, wait_s)
    try:
        return parse_json(SERVICE, await http.get(path))
    finally:
        await http.close()
