"""Which requests may be sent although one of their prompt parts is suspected."""

from siskinthread.observability import part_logger
from siskinthread.poison_requests._suspicion import Suspicion
from siskinthread.poison_requests._usual_parts import UsualParts
from siskinthread.timing import Deadline

_logger = part_logger("poison_requests")

# Limit on the doublings of the hosts that may run a trial: 4,096 exceed any fleet.
DOUBLINGS_LIMIT = 12
# Trial steps after which a refused caller may retry.
RETRY_STEPS = 2
# Maximum number of parts whose exemption is logged.
LOGGED_LIMIT = 256


class PartTrial:
    """A request that is sent to find out whether suspected parts crash targets.

    Parameters
    ----------
    names : frozenset of str
        The suspected parts.
    """

    __slots__ = ("names",)

    def __init__(self, names):
        self.names = names


class Admission:
    """Whether a request may be sent to a target.

    Parameters
    ----------
    blocked_until : siskinthread.timing.Deadline or None
        When its caller may retry; None if the request may be sent.
    part : str
        The part because of which the request may not be sent.
    trial : PartTrial or None
        The trial if the request is one; to be released at its end.
    """

    __slots__ = ("blocked_until", "part", "trial")

    def __init__(self, blocked_until=None, part="", trial=None):
        self.blocked_until = blocked_until
        self.part = part
        self.trial = trial


ADMITTED = Admission()


class PartGuard:
    """Blocks requests with prompt parts that crash targets.

    Parameters
    ----------
    settings : PoisonSettings
        Limits and times.
    clock : siskinthread.timing.Clock
        Clock of the times.
    register : PoisonRegister
        What all hosts know of suspected parts.

    Attributes
    ----------
    peers : siskinthread.peer_news.PeerGossip or None
        Provides this host's position in an order that is the same on all hosts.

    Notes
    -----
    Without this guard, different requests with one part in common crashed 17 servers
    within 35 s, and while groups re-formed only one request in nine was answered in
    time.
    """

    __slots__ = (
        "_clock",
        "_logged_names",
        "_cached_suspicion",
        "_cached_change_count",
        "_register",
        "_settings",
        "_under_trial",
        "_usual",
        "peers",
    )

    def __init__(self, settings, clock, register):
        self._settings = settings
        self._clock = clock
        self._register = register
        self._usual = UsualParts(settings)
        # Suspected parts in a trial of this host.
        self._under_trial = set()
        self._logged_names = set()
        self._cached_suspicion = None
        self._cached_change_count = 0
        self.peers = None

    def note_asked(self, service_name, names):
        """Record a request that has arrived, with the names of its shared parts."""
        if names:
            self._usual.note(service_name, names)

    def admit(self, service_name, names):
        """Decide whether a request may be sent now.

        Parameters
        ----------
        service_name : str
            Its service.
        names : tuple of str
            Its shared parts, see `part_name`.

        Returns
        -------
        Admission
        """
        if not any(self._register.find(name) for name in names):
            return ADMITTED
        suspicion = self._suspicion()
        suspects = [
            one
            for one in suspicion.suspected_of(names)
            if not self._is_exempt(service_name, one)
        ]
        if not suspects:
            return ADMITTED
        return self._try(suspicion, suspects)

    def release(self, trial):
        """Record the end of a trial, whatever its result."""
        self._under_trial -= trial.names

    async def target_crashed(self, names, instance_id, trial):
        """Record that a target crashed during a request of this host.

        Parameters
        ----------
        names : tuple of str
            The shared parts of the request.
        instance_id : str
            The target.
        trial : PartTrial or None
            The trial if the request was one.
        """
        tried = trial.names if trial is not None else frozenset()
        for name in self._candidates(names):
            await self._register.target_crashed_with_part(
                name, instance_id, is_trial=name in tried
            )

    async def answered(self, names):
        """Record that a target has answered a request in full."""
        for name in names:
            await self._register.part_answered(name)

    def _suspicion(self):
        """Return the current `Suspicion`, which is rebuilt after each change."""
        change_count = self._register.change_count
        if self._cached_suspicion is None or self._cached_change_count != change_count:
            self._cached_suspicion = Suspicion(
                self._settings, self._register.suspected_parts()
            )
            self._cached_change_count = change_count
        return self._cached_suspicion

    def _candidates(self, names):
        """Return the parts to record for a crash, the most probable causes first."""
        register = self._register
        ordered = sorted(
            names,
            key=lambda name: (
                register.find(name) is None,
                register.answered_parts.knows(name),
            ),
        )
        return ordered[: self._settings.candidate_limit]

    def _is_exempt(self, service_name, suspect):
        """Return whether a part is in too many requests to be blocked."""
        if not suspect.was_answered:
            return False
        if not self._usual.is_usual(service_name, suspect.fingerprint):
            return False
        if (
            suspect.fingerprint not in self._logged_names
            and len(self._logged_names) < LOGGED_LIMIT
        ):
            self._logged_names.add(suspect.fingerprint)
            _logger.event(
                "part is in most requests and not kept off",
                part=suspect.fingerprint,
                service=service_name,
                ended_targets=len(suspect.counting_tags()),
            )
        return True

    def _try(self, suspicion, suspects):
        """Return the `Admission` of a request with suspected parts."""
        now_s = self._clock.monotonic_s()
        settings = self._settings
        names = frozenset(one.fingerprint for one in suspects)
        part = min(names)
        confirmed_at_s = suspicion.confirmed_at_s(suspects, names)
        last_at_s = max(one.last_at_s for one in suspects)
        first_at_s = last_at_s + settings.trial_wait_s
        if confirmed_at_s is not None:
            first_at_s = max(first_at_s, confirmed_at_s + settings.keep_off_s)
        elif len(suspects) > 1:
            first_at_s += settings.joint_trial_wait_s
        step_s = settings.trial_step_s
        if now_s < first_at_s:
            is_confirmed = confirmed_at_s is not None
            until_s = first_at_s + (0 if is_confirmed else RETRY_STEPS * step_s)
            return Admission(Deadline(self._clock, until_s), part)
        doublings = min((now_s - first_at_s) // step_s, DOUBLINGS_LIMIT)
        if names & self._under_trial or self._turn(part) >= 2**doublings:
            until_s = now_s + RETRY_STEPS * step_s
            return Admission(Deadline(self._clock, until_s), part)
        self._under_trial |= names
        _logger.event("suspected part is tried", parts=sorted(names))
        return Admission(trial=PartTrial(names))

    def _turn(self, part):
        if self.peers is None or not self.peers.has_peers():
            return 0
        return self.peers.rendezvous_position(part)
