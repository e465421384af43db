"""Finding out whether a target has ended, or only broke an exchange off."""

import curio
from curio import socket

# A process that exits may end its connections before its listener.  The first look is
# then accepted and reset; the second one meets no listener.
LOOK_COUNT = 2


async def has_ended(entry, settings):
    """Return whether nothing listens at a target's address any more.

    Parameters
    ----------
    entry : TargetEntry
        The target, which has just broken an exchange off.
    settings : GatewaySettings
        Limits.

    Returns
    -------
    bool
        Only a refused connection shows it: the target's host is there, its process is
        not.  A host without power or behind a cut does not answer at all.
    """
    wait_s = settings.end_check_limit_s
    try:
        return await curio.timeout_after(wait_s, _find_out, entry, settings)
    except curio.TaskTimeout:
        return False


async def _find_out(entry, settings):
    for _ in range(LOOK_COUNT):
        try:
            if await _stays_open(entry, settings.end_settle_s):
                return False
        except ConnectionRefusedError:
            return True
        except ConnectionResetError:
            continue
        except OSError:
            return False
    return False


async def _stays_open(entry, wait_s):
    """Connect; return whether the target does not close the connection at once."""
    checking = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        await checking.connect((entry.host, entry.port))
        return await curio.ignore_after(wait_s, checking.recv, 1) is None
    finally:
        await checking.close()
