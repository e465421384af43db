"""Period at the end of a run in which recovery is judged."""

# Time within which all gateways must serve again after the last fault has ended.
RECOVERY_S = 6.0
JUDGED_END_S = 2.0
# Each crash of a server adds 1 s until its restart and 4 s in which it is cold; two
# requests may crash six servers.  With servers that crash repeatedly, the period still
# starts after this time.
LONGEST_COLD_S = 30.0


class JudgedPeriod:
    """Last seconds of a run, after servers have restarted and are no longer cold.

    While all servers are cold, gateways must refuse most requests, also if the servers
    restarted after the last fault because a request had crashed them.

    Parameters
    ----------
    servers : list of scripts.soak._system.ServerNode
        Servers whose ``cold_until_s`` is read.
    recovered_s : float
        Earliest start of the period, monotonic seconds.
    pauses : scripts.soak._pauses.Pauses
        Pauses of the soak's own process extend the period, so that callers have the
        same time to send requests.

    Attributes
    ----------
    from_s : float
        Start of the period, monotonic seconds; moves to a later time if a server starts
        before the end of the period.
    """

    __slots__ = ("_has_ended", "_latest_s", "_pauses", "_servers", "from_s")

    def __init__(self, servers, recovered_s, pauses):
        self._servers = servers
        self._pauses = pauses
        self._latest_s = recovered_s + LONGEST_COLD_S
        self._has_ended = False
        self.from_s = recovered_s

    def has_ended(self, now_s):
        """Return whether the period has ended; once ended, it stays ended.

        Parameters
        ----------
        now_s : float
            Present time, monotonic seconds.
        """
        if not self._has_ended:
            warm_s = max(server.cold_until_s for server in self._servers)
            self.from_s = max(self.from_s, min(warm_s, self._latest_s))
            paused_s = sum(
                one.overlap_s(self.from_s, now_s) for one in self._pauses.of_soak
            )
            self._has_ended = now_s - paused_s >= self.from_s + JUDGED_END_S
        return self._has_ended
