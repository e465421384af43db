"""Finds the groups that can take a further stream without making streams late.

When slots are nearly full or the expert map of a group is unbalanced, each further
stream lengthens the forward passes of its group. Beyond the pause between events that
callers permit, all streams of the group are late at once. A group therefore admits a
further stream only while the predicted pass with that stream stays within the permitted
pause.
"""

import math

from siskinthread.observability import part_logger

_logger = part_logger("load_control")


class _GroupLoad:
    """State from which the passes of a group are predicted.

    Parameters
    ----------
    passes : PassView
        Measured passes of the group.
    """

    __slots__ = ("closed_shares", "noted_at_s", "passes", "running")

    def __init__(self, passes):
        self.passes = passes
        # Requests per rank, smoothed like the measured passes, and time of the last
        # sample, monotonic seconds.
        self.running = None
        self.noted_at_s = None
        # Fractions of the permitted pause at which the group admits no stream now.
        self.closed_shares = set()

    def note(self, running, now_s, memory_s):
        """Add a sample of the mean requests per rank to the smoothed value."""
        if self.running is None:
            self.running = running
        else:
            weight = 1 - math.exp((self.noted_at_s - now_s) / memory_s)
            self.running += weight * (running - self.running)
        self.noted_at_s = now_s


class PassLimit:
    """Bounds the streams of groups by their pass times.

    Parameters
    ----------
    settings : LoadControlSettings
        Fractions of the permitted pause.
    clock : siskinthread.timing.Clock
        Clock of the passes.
    loads : TargetLoads
        Requests at each target.
    progress : GroupProgress
        Measured passes.

    Attributes
    ----------
    services : dict of str to Service
        Published settings of each service.

    Notes
    -----
    The measured pass time includes the imbalance of the expert map and slow ranks,
    which the model does not know; the model only scales the measured time to one more
    request. The shorter of the last and the mean pass time is used, so that a single
    long pass, such as during a change of the map, closes no group: it is over before
    the first event of a new stream.
    """

    __slots__ = ("_clock", "_groups", "_loads", "_progress", "_settings", "services")

    def __init__(self, settings, clock, loads, progress):
        self._settings = settings
        self._clock = clock
        self._loads = loads
        self._progress = progress
        self._groups = {}
        self.services = {}

    def admitting(self, request, entries, group_of, share):
        """Return the targets whose groups admit a further stream.

        Parameters
        ----------
        request : GatewayRequest
            The request.
        entries : list of TargetEntry
            The candidate targets.
        group_of : callable
            Returns the name of the group of a target by its instance id, or None.
        share : float
            Fraction of the permitted pause that passes may take.
        """
        layout = self._layout(request)
        if layout is None:
            return entries
        by_group = {}
        for entry in entries:
            by_group.setdefault(group_of(entry.instance_id), []).append(entry)
        closed = {
            group
            for group, ranks in by_group.items()
            if group is not None and not self._admits(group, ranks, layout, share)
        }
        if not closed:
            return entries
        return [
            entry
            for group, ranks in by_group.items()
            if group not in closed
            for entry in ranks
        ]

    def _layout(self, request):
        """Return the `ExpertLayout` whose pass limit applies to a request, or None."""
        service = self.services.get(request.service_name)
        if not self._settings.are_passes_used or not request.kind.is_stream:
            return None
        if service is None or service.experts is None:
            return None
        return service.experts if math.isfinite(service.experts.pass_limit_s) else None

    def _admits(self, group, ranks, layout, share):
        state = self._groups.get(group)
        if state is None:
            state = _GroupLoad(self._progress.pass_view(group))
            self._groups[group] = state
        now_s = self._clock.monotonic_s()
        counts = [self._loads.total(entry.instance_id) for entry in ranks]
        running = sum(counts) / len(counts)
        state.note(running, now_s, self._settings.pass_memory_s)
        current_s = state.passes.current_s(now_s)
        if current_s is None:
            state.closed_shares.clear()
            return True
        measured_s = min(current_s, state.passes.usual_s)
        unreported = self._loads.unseen_count() / max(1, len(self._groups))
        model_pass_s = _predicted_pass_s(layout.model, counts, running, unreported)
        predicted_s = (
            measured_s * model_pass_s / layout.model.even_pass_s(state.running)
        )
        limit_s = share * layout.pass_limit_s
        if share in state.closed_shares:
            limit_s *= self._settings.reopen_share
        admits = predicted_s <= limit_s
        if admits == (share in state.closed_shares):
            state.closed_shares ^= {share}
            _logger.event(
                "group admits streams again" if admits else "group admits no streams",
                group=group,
                pass_s=round(measured_s, 3),
                predicted_s=round(predicted_s, 3),
                limit_s=round(limit_s, 3),
                requests_of_a_rank=round(running, 2),
            )
        return admits


def _predicted_pass_s(model, counts, running, unreported):
    """Return the time of a pass with one more request at the least loaded rank.

    The expert work of all requests is shared by all ranks, including that of requests
    that other hosts have started since their last report. All ranks wait for the rank
    with the most other work.
    """
    own_growth = max(0, min(counts) + 1 - max(counts))
    growth = (
        model.expert_share * (1 + unreported) / len(counts)
        + (1 - model.expert_share) * own_growth
    )
    return model.even_pass_s(running) + model.request_s * growth
