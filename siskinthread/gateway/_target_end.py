"""Check whether a target process has ended or only broke off an exchange."""

import curio
from curio import socket

# An exiting process may close its connections before its listener.  The first check is
# then accepted and reset; the second check finds no listener.
CHECK_COUNT = 2


async def has_ended(entry, settings):
    """Return whether no process listens at a target's address any more.

    Parameters
    ----------
    entry : TargetEntry
        The target, which has just broken off an exchange.
    settings : GatewaySettings
        Limits.

    Returns
    -------
    bool
        True only if the connection is refused: the host is up, but the process has
        ended.  A host that has lost power or is cut off by the network does not answer
        at all, which gives False.
    """
    wait_s = settings.end_check_limit_s
    try:
        return await curio.timeout_after(wait_s, _check_repeatedly, entry, settings)
    except curio.TaskTimeout:
        return False


async def _check_repeatedly(entry, settings):
    for _ in range(CHECK_COUNT):
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
    """Connect, and return whether the target keeps the connection open for a time.

    Parameters
    ----------
    entry : TargetEntry
        The target.
    wait_s : float
        How long the connection must stay open, seconds.

    Raises
    ------
    OSError
        If the connection is refused or reset.
    """
    probe = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        await probe.connect((entry.host, entry.port))
        return await curio.ignore_after(wait_s, probe.recv, 1) is None
    finally:
        await probe.close()
