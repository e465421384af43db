"""Preference for targets to which a reusable connection exists."""

import enum


class PreferenceBasis(enum.Enum):
    """How connections influenced the selection of a target."""

    # The request must not run twice, the targets have no group, or the preference is
    # disabled.
    NOT_APPLIED = "not_applied"
    # None of the eligible targets has a reusable connection.
    NO_CONNECTION = "no_connection"
    # Targets with a connection whose load is indistinguishable from the lowest.
    ALIKE = "alike"
    # Ranks with a connection that have more requests than the least loaded target.
    BUSIER_RANK = "busier_rank"


class ConnectionDecision:
    """Targets that are preferred for their connections.

    Parameters
    ----------
    entries : list of TargetEntry
        The preferred targets; empty if connections make no difference.
    basis : PreferenceBasis
        Reason for the decision.
    """

    __slots__ = ("basis", "entries")

    def __init__(self, entries, basis):
        self.entries = entries
        self.basis = basis


class ConnectionPreference:
    """Decides which targets are preferred for their connections.

    Parameters
    ----------
    settings : ConnectionSettings
        Whether connections are preferred.
    has_connection : callable
        Called with an instance id; returns whether a reusable connection to that target
        exists.

    Notes
    -----
    A new connection costs a round trip and, briefly, a slot of the target.  With 37
    hosts and 72 targets, each host sends about four requests per second, so there is
    seldom a connection to a target that is drawn at random.
    """

    __slots__ = ("_has_connection", "_settings")

    def __init__(self, settings, has_connection):
        self._settings = settings
        self._has_connection = has_connection

    def decide(self, alike, may_reuse, busier=()):
        """Return the `ConnectionDecision` for a request.

        Parameters
        ----------
        alike : list of TargetEntry
            Targets with indistinguishable load, speed and failure domain.
        may_reuse : bool
            Whether the request may be sent on a kept connection.
        busier : iterable of tuple of int, TargetEntry
            Further ranks with a free slot in the group of the best target, each with
            the number of requests that it has more than the best target, in ascending
            order.
        """
        if not (may_reuse and self._settings.is_preferred):
            return ConnectionDecision([], PreferenceBasis.NOT_APPLIED)
        connected = [one for one in alike if self._has_connection(one.instance_id)]
        if connected:
            return ConnectionDecision(connected, PreferenceBasis.ALIKE)
        most_count = self._settings.busier_limit_count
        ranks = []
        for extra_count, rank in busier:
            if extra_count > most_count:
                break
            if self._has_connection(rank.instance_id):
                most_count = extra_count
                ranks.append(rank)
        if ranks:
            return ConnectionDecision(ranks, PreferenceBasis.BUSIER_RANK)
        return ConnectionDecision([], PreferenceBasis.NO_CONNECTION)
