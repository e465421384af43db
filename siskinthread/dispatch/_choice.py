"""Choice of the target of the next attempt, and the wait for a link to one."""

import curio

from siskinthread.outcomes import End, Outcome, Reason
from siskinthread.timing import Deadline


class TargetChoice:
    """Chooses the targets of one request, no target twice.

    Parameters
    ----------
    dispatcher : Dispatcher
        The parts that attempts need.
    request : CallerRequest
        The request.
    """

    __slots__ = ("_dispatcher", "_request", "_tried_hosts")

    def __init__(self, dispatcher, request):
        self._dispatcher = dispatcher
        self._request = request
        self._tried_hosts = set()

    async def wait_for_link(self):
        """Wait a little until the request may find a target.

        Notes
        -----
        A link that is being replaced is back within milliseconds.  A key has no other
        target to go to; and an entry that was paused finds all of its links closed when
        it goes on, and would refuse everything that came meanwhile.
        """
        dispatcher = self._dispatcher
        half_left_s = self._request.deadline.left_s() / 2
        wait_s = min(dispatcher.settings.link_wait_s, half_left_s)
        limit = Deadline.after(dispatcher.clock, wait_s)
        if self._request.idempotency_key is None:
            await dispatcher.links.wait_until_connected(limit)
        else:
            await self._wait_for_home(limit)

    def choose(self, state):
        """Choose a host by a state of the configuration.

        Parameters
        ----------
        state : siskinthread.configuration.State or None
            The state in force.

        Returns
        -------
        str or siskinthread.outcomes.End
            Name of the host, or why there is none.
        """
        if state is None:
            return _refusal(Reason.NOT_READY, "No configuration is known yet.")
        if self._request.deadline.passed():
            message = "The deadline passed before a target got the request."
            return _refusal(Reason.DEADLINE_PASSED, message)
        host = self._connected_host()
        if host is None:
            return _refusal(Reason.NO_TARGET, "No target can take the request now.")
        self._tried_hosts.add(host)
        return host

    async def _wait_for_home(self, limit):
        interval_s = self._dispatcher.settings.link_check_interval_s
        while self._connected_host() is None and not limit.passed():
            await curio.sleep(min(interval_s, limit.left_s()))

    def _connected_host(self):
        keyed = self._request.idempotency_key is not None
        excluded = frozenset() if keyed else self._tried_hosts
        host = self._dispatcher.router.choose(self._request, excluded)
        if keyed and host is not None:
            self._dispatcher.want_link(host)
        # Handed to a link that is down, the request would wait there; the caller would
        # hear "not run" too late to go anywhere else.
        return host if self._dispatcher.is_connected(host) else None


def _refusal(reason, message):
    return End(Outcome.REFUSED_NOT_RUN, reason, message)
