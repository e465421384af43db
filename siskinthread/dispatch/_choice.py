"""Choose the target of the next attempt and wait for a link to it."""

import curio

from siskinthread.outcomes import End, Outcome, Reason
from siskinthread.timing import Deadline


class ChosenTarget:
    """A target and the configuration with which it was chosen.

    Parameters
    ----------
    host : str
        Name of the target's host.
    state : siskinthread.configuration.State
        Configuration in force when the target was chosen.
    """

    __slots__ = ("host", "state")

    def __init__(self, host, state):
        self.host = host
        self.state = state


class TargetChoice:
    """Chooses a different target for each attempt of a request.

    Parameters
    ----------
    dispatcher : Dispatcher
        Owner of the router, the links and the settings.
    request : CallerRequest
        The request.
    """

    __slots__ = ("_dispatcher", "_request", "_tried_hosts")

    def __init__(self, dispatcher, request):
        self._dispatcher = dispatcher
        self._request = request
        self._tried_hosts = set()

    async def choose(self):
        """Choose a target, waiting up to ``link_wait_s`` while no link is up.

        Returns
        -------
        ChosenTarget or siskinthread.outcomes.End
            The target, or the refusal if there is none.

        Notes
        -----
        A link that is being replaced is up again within milliseconds.  A request with
        an idempotency key can't be sent to another target.  After a pause of the entry
        process all of its links are closed; without the wait it would refuse every
        request that arrived during the pause.
        """
        deadline = self._link_deadline()
        while True:
            chosen = self._choose_now()
            if isinstance(chosen, ChosenTarget) or deadline.passed():
                return chosen
            interval_s = self._dispatcher.settings.link_check_interval_s
            await curio.sleep(min(interval_s, deadline.left_s()))

    def _link_deadline(self):
        dispatcher = self._dispatcher
        wait_s = min(
            dispatcher.settings.link_wait_s, self._request.deadline.left_s() / 2
        )
        if self._tried_hosts and not self._has_key:
            # The other targets have refused the request; report that without delay.
            wait_s = 0.0
        return Deadline.after(dispatcher.clock, wait_s)

    def _choose_now(self):
        # The target and the homes version in the frame must come from the same state,
        # so there is no await between reading the two.
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
        excluded = frozenset() if self._has_key else self._tried_hosts
        host = self._dispatcher.router.choose(self._request, excluded)
        if self._has_key and host is not None:
            self._dispatcher.request_link(host)
        # A link that is down would queue the request, and the caller would learn that
        # it was not run too late to retry elsewhere.
        return host if self._dispatcher.is_connected(host) else None

    @property
    def _has_key(self):
        return self._request.idempotency_key is not None


def _refusal(reason, message):
    return End(Outcome.REFUSED_NOT_RUN, reason, message)
