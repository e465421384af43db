"""A server's own entry in the platform's store, decoded to a target entry."""

from siskinthread.errors import DocumentError
from siskinthread.gateway import TargetEntry

DRAINING = "draining"


def read_target_entry(key, document):
    """Return the `TargetEntry` of a server.

    Parameters
    ----------
    key : str
        The server's id, which stands nowhere else.
    document : dict
        The decoded JSON.

    Raises
    ------
    DocumentError
        If something that is needed is missing or has another form.
    """
    try:
        host, _, port = document["address"].rpartition(":")
        return TargetEntry(
            instance_id=key,
            service_name=document["service"],
            host=host,
            port=int(port),
            failure_domain=document.get("zone", ""),
            slot_count=int(document.get("slots", 1)),
            is_leaving=document.get("state") == DRAINING,
        )
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise DocumentError([f"{key}: {error!r}"]) from error
