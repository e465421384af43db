"""Connecting with a timeout that tolerates delays of this process."""

import curio


async def connect(sock, address, wait_s):
    """Connect a socket with a timeout.

    Parameters
    ----------
    sock : curio.io.Socket
        A TCP socket that is not connected.
    address : tuple of str, int
        IP address and port.
    wait_s : float
        Longest wait for the connection, seconds.

    Raises
    ------
    curio.TaskTimeout
        If the connection was not established in time.
    OSError
        If the connection was refused or failed.

    Notes
    -----
    The kernel completes the TCP handshake while this process is busy or stopped, so
    that a timeout noticed late does not show that the peer failed.  Therefore, after a
    timeout, the state of the socket decides.
    """
    try:
        await curio.timeout_after(wait_s, sock.connect, address)
    except curio.TaskTimeout:
        if not _is_connected(sock):
            raise


def _is_connected(sock):
    try:
        sock.getpeername()
    except OSError:
        return False
    return True
