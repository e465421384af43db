"""Finding out whether a target has ended, or only broke an exchange off."""

import curio
from curio import socket


async def has_ended(entry, parts):
    """Return whether nothing listens at a target's address any more.

    Parameters
    ----------
    entry : TargetEntry
        The target, which has just broken an exchange off.
    parts : GatewayParts
        Has the settings.

    Returns
    -------
    bool
        Only a refused connection shows it: the target's host is there, its process is
        not.  A host without power or behind a cut does not answer at all.
    """
    checking = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        wait_s = parts.settings.end_check_limit_s
        await curio.timeout_after(wait_s, checking.connect, (entry.host, entry.port))
    except ConnectionRefusedError:
        return True
    except (OSError, curio.TaskTimeout):
        return False
    finally:
        await checking.close()
    return False
