"""Exchange of the places of ranks in their groups between entry hosts."""

import json

from siskinthread.errors import PlatformUnavailableError
from siskinthread.gateway import STATUS_OK, StatusPage
from siskinthread.group_maps import RankPlace
from siskinthread.platform._peer_documents import fetch_document

RANK_PLACES_PATH = "/rank-places"


def rank_places_page(places):
    """Return the `StatusPage` of the rank places that this process knows.

    Parameters
    ----------
    places : dict of str to RankPlace
        Places by instance id.
    """
    document = {
        instance_id: [place.group_name, place.rank, place.size]
        for instance_id, place in places.items()
    }
    return StatusPage(STATUS_OK, json.dumps(document).encode())


async def fetch_rank_places(address, wait_s):
    """Return the rank places that a peer knows, a dict of instance id to `RankPlace`.

    Parameters
    ----------
    address : siskinthread.settings.Address
        Address of the peer.
    wait_s : float
        Longest wait, seconds.

    Raises
    ------
    PlatformUnavailableError
        If no readable answer came in time.
    """
    document = await fetch_document(address, RANK_PLACES_PATH, wait_s)
    try:
        return {
            instance_id: RankPlace(str(group_name), int(rank), int(size))
            for instance_id, (group_name, rank, size) in document.items()
        }
    except (TypeError, ValueError, AttributeError, OverflowError) as error:
        raise PlatformUnavailableError(f"unreadable rank places: {error!r}") from error
