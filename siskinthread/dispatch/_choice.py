"""Choice of the target of the next attempt, and the wait for a link to one."""

import curio

from siskinthread.outcomes import End, Outcome, Reason
from siskinthread.timing import Deadline


class ChosenTarget:
    """A target and the configuration by which it was chosen.

    Parameters
    ----------
    host : str
        Name of the target's host.
    state : siskinthread.configuration.State
        The configuration in force at the choice.
    """

    __slots__ = ("host", "state")

    def __init__(self, host, state):
        self.host = host
        self.state = state


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

    async def choose(self):
        """Choose a target; wait a little for a link if there is none.

        Returns
        -------
        ChosenTarget or siskinthread.outcomes.End
            The target, or why there is none.

        Notes
        -----
        A link that is being replaced is back within milliseconds.  A key has no other
        target to go to; and an entry that was paused finds all of its links closed when
        it goes on, and would refuse everything that came meanwhile.
        """
        limit = self._wait_limit()
        while True:
            chosen = self._choose_now()
            if isinstance(chosen, ChosenTarget) or limit.passed():
                return chosen
            interval_s = self._dispatcher.settings.link_check_interval_s
            await curio.sleep(min(interval_s, limit.left_s()))

    def _wait_limit(self):
        dispatcher = self._dispatcher
        wait_s = min(
            dispatcher.settings.link_wait_s, self._request.deadline.left_s() / 2
        )
        if self._tried_hosts and not self._keyed:
            # Its other targets have refused it; its caller shall hear so at once.
            wait_s = 0.0
        return Deadline.after(dispatcher.clock, wait_s)

    def _choose_now(self):
        # The target and the version of the homes that the frame states have to come
        # from one state, hence no await between the two.
        state = self._dispatcher.view.state
        if state is None:
            return _refusal(Reason.NOT_READY, "No configuration is known yet.")
        if self._request.deadline.passed():
            message = "The deadline passed before a target got the request."
            return _refusal(Reason.DEADLINE_PASSED, message)
        host = self._connected_host()
        if host is None:
            return _refusal(Reason.NO_TARGET, "No target can take the request now.")
        self._tried_hosts.add(host)
        return ChosenTarget(host, state)

    def _connected_host(self):
        excluded = frozenset() if self._keyed else self._tried_hosts
        host = self._dispatcher.router.choose(self._request, excluded)
        if self._keyed and host is not None:
            self._dispatcher.want_link(host)
        # Handed to a link that is down, the request would wait there; the caller would
        # hear "not run" too late to go anywhere else.
        return host if self._dispatcher.is_connected(host) else None

    @property
    def _keyed(self):
        return self._request.idempotency_key is not None


def _refusal(reason, message):
    return End(Outcome.REFUSED_NOT_RUN, reason, message)
