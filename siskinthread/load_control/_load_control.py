"""Decides which requests a host refuses as its targets fill up."""

from siskinthread.load_control._admission import Admission
from siskinthread.load_control._arrival_rates import ArrivalRates
from siskinthread.load_control._binding_cause import BindingCause
from siskinthread.load_control._host_shares import HostShares
from siskinthread.load_control._pass_limit import PassLimit
from siskinthread.load_control._peer_loads import PeerLoads
from siskinthread.load_control._queue_support import QueueSupport
from siskinthread.load_control._reserve import Reserve
from siskinthread.load_control._running_request import RunningRequest
from siskinthread.load_control._service_durations import ServiceDurations
from siskinthread.load_control._slot_forecast import SlotForecast
from siskinthread.load_control._speeds import Speeds
from siskinthread.load_control._surges import Surges
from siskinthread.load_control._token_usage import TokenUsage


class LoadControl:
    """Decides whether a request may be added to the candidate targets.

    Parameters
    ----------
    parts : GatewayParts
        Settings, clock, loads and client accounts.

    Attributes
    ----------
    speeds : Speeds
        Measured speeds of the targets.
    """

    __slots__ = (
        "_arrivals",
        "_clock",
        "_durations",
        "_gateway_settings",
        "_loads",
        "_passes",
        "_peer_loads",
        "_queue_support",
        "_reserve",
        "_settings",
        "_shares",
        "_slot_forecast",
        "_surges",
        "_token_usage",
        "speeds",
    )

    def __init__(self, parts):
        self._settings = settings = parts.settings.load_control
        self._gateway_settings = parts.settings
        self._clock = parts.clock
        self._loads = parts.loads
        self._durations = ServiceDurations(settings)
        self._arrivals = ArrivalRates(settings, settings.rate_memory_s, parts.clock)
        peer_loads = PeerLoads(settings, parts.clock, parts.loads)
        self._surges = Surges(
            settings, parts.clock, parts.accounts, peer_loads, self._durations
        )
        self._slot_forecast = SlotForecast(
            settings, parts.clock, self._arrivals, peer_loads, self._durations
        )
        self._peer_loads = peer_loads
        self._queue_support = QueueSupport(settings, parts.clock)
        self._reserve = Reserve(
            settings, self._arrivals, peer_loads, self._durations, self._queue_support
        )
        self._passes = PassLimit(settings, parts.clock, parts.loads, parts.progress)
        self.speeds = Speeds(parts)
        self._token_usage = TokenUsage(
            settings, parts.clock, parts.loads, peer_loads, self._durations
        )
        self._shares = HostShares(
            settings,
            parts.clock,
            parts.loads,
            self._arrivals,
            peer_loads,
            self._durations,
            parts.random,
        )

    def note_asked(self, request):
        """Count an incoming request."""
        self._arrivals.note(request.service_name, request.priority)
        if not request.is_late:
            self._slot_forecast.note_in_time(request)
        self._surges.note(request)

    def started(self, request, entry):
        """Return the `RunningRequest` of a request that is sent to a target now."""
        load = self._loads.total(entry.instance_id) / max(1, entry.slot_count)
        timed = self.speeds.started(request, entry.instance_id, load)
        return RunningRequest(
            self._durations,
            self._token_usage,
            self._clock,
            request,
            entry,
            self._slot_forecast,
            timed,
        )

    def note_declined(self, request, load):
        """Process the load of a target that has declined a request.

        Takes the `LoadReport` of the target, or None if the target sent none.
        """
        self._queue_support.note_declined(request.service_name, load)

    def in_time_per_s(self, service_name, priority):
        """Return the rate of requests that have precedence over a late request.

        Counts requests per second that can still meet their objective. Takes the
        priority of the late request, 0 first.
        """
        return self._slot_forecast.in_time_per_s(service_name, priority)

    def excess_tokens(self):
        """Return the excess tokens by target that are reported to peers."""
        return self._token_usage.excess_tokens()

    def take_table(self, table):
        """Apply the published settings of the services, a `RouteTable`."""
        self._passes.services = table.services
        self._token_usage.services = table.services

    def evaluate(self, request, candidates, group_of):
        """Return the `Admission` of a request.

        Parameters
        ----------
        request : GatewayRequest
            The request.
        candidates : list of TargetEntry
            The targets that could serve it.
        group_of : callable
            Returns the name of the group of a target by its instance id, or None.
        """
        admission = Admission(request, candidates)
        self._peer_loads.update(request.service_name, candidates)
        admission.is_surging = self._surges.is_surging(request)
        slot_count = sum(entry.slot_count for entry in candidates)
        admission.reserved_share = self._reserve.share(request, slot_count)
        self._keep_usable(admission, group_of)
        has_precedence = self._has_precedence(admission)
        queue_share = self._reserve.queue_share(request) if has_precedence else 0.0
        if self._has_shares(admission, has_precedence, slot_count):
            queue_share = self._idle_share(request)
            self._apply_shares(admission, queue_share)
            is_exact = True
        else:
            # Queued requests are sent at the rate of this host's share, so they need no
            # margin. Streams do: streams in the last slots lengthen the passes of their
            # group.
            is_paced = request.is_paced and not request.kind.is_stream
            is_exact = queue_share > 0 or is_paced
        admission.max_load += queue_share
        # The margin below full slots covers slots that several hosts fill at once.
        # Shares prevent that, and a request that may queue at the target tolerates it.
        full_load = self._gateway_settings.full_load
        admission.max_mean_load = 1 + queue_share if is_exact else full_load
        return admission

    def refusal_cause(self, admission, chosen, load):
        """Return why a request is refused, or None if it is admitted.

        Parameters
        ----------
        admission : Admission
            The evaluation of the request.
        chosen : TargetEntry
            The best of the targets that admit it.
        load : float
            Mean requests per slot of the targets whose loads are as current as that of
            `chosen`.

        Returns
        -------
        BindingCause or None
        """
        chosen_load = self._loads.total(chosen.instance_id) / max(1, chosen.slot_count)
        if chosen_load >= admission.max_load or load >= admission.max_mean_load:
            return BindingCause.FULL
        if admission.is_surging and load >= self._fair_load:
            return BindingCause.SURGING
        if load >= admission.max_mean_load - admission.reserved_share:
            return BindingCause.RESERVED
        if self._yields_slots(admission.request) and not self._has_slot_for_late(
            admission
        ):
            return BindingCause.RESERVED
        return admission.cause

    def explain(self, cause, admission, chosen, load):
        """Return a sentence on a refusal for the log and the caller.

        Takes a `BindingCause` and the parameters of `refusal_cause`.
        """
        request, count = admission.request, len(admission.candidates)
        if cause is BindingCause.SURGING:
            return (
                f"The client account {request.account.name} uses several times its "
                f"usual, and {load:.2f} for each slot are in use."
            )
        if cause is BindingCause.RESERVED and self._yields_slots(request):
            return (
                f"Its objective is past, and {load:.2f} for each slot of the {count} "
                f"targets that could take it are in use; the others are left to "
                f"requests that are expected and can be in time."
            )
        if cause is BindingCause.RESERVED:
            return (
                f"{load:.2f} for each slot of the {count} targets that could take it "
                f"are in use, and {admission.reserved_share:.2f} for each are reserved "
                f"for requests of a priority before {request.priority}."
            )
        if cause is BindingCause.NO_MEMORY:
            counts = request.facts.token_counts
            return (
                f"None of the {count} targets that could take it has memory for "
                f"{counts.prompt} tokens and up to {counts.most_output} of the answer, "
                f"beside what is kept for larger requests."
            )
        if cause is BindingCause.LATE_PASSES:
            return (
                f"One more stream would make those of its group late: each of the "
                f"{count} targets that could take it is in a group whose passes would "
                f"be longer than the part of the permitted pause that it may use."
            )
        return (
            f"The {count} targets that could take it have as many requests "
            f"as they can serve in time: {chosen.instance_id} has "
            f"{self._loads.total(chosen.instance_id)} for {chosen.slot_count} slots, "
            f"and {load:.2f} for each slot are in use around it, as told by "
            f"{self._loads.source()}."
        )

    @property
    def _fair_load(self):
        """Requests per slot above which some requests leave slots to others."""
        return self._gateway_settings.fair_load

    def _yields_slots(self, request):
        """Return whether a request leaves slots to those not yet late."""
        has_promise = request.has_promise
        return request.is_late and not has_promise and self._settings.late_gives_way

    def _has_slot_for_late(self, admission):
        """Return whether a late request takes no slot needed by requests in time."""
        slot_count = sum(entry.slot_count for entry in admission.candidates)
        used_count = sum(
            self._loads.total(entry.instance_id) for entry in admission.candidates
        )
        free_count = slot_count * self._gateway_settings.full_load - used_count
        return self._slot_forecast.has_free_slot(
            admission.request, slot_count, free_count
        )

    def _has_precedence(self, admission):
        """Return whether a request has precedence over other current requests."""
        if admission.is_surging:
            return False
        service_name = admission.request.service_name
        has_surge = self._surges.has_recent_surge(service_name)
        return has_surge or self._reserve.has_precedence(admission.request)

    def _keep_usable(self, admission, group_of):
        """Keep the targets that would serve the request in time."""
        request = admission.request
        fitting = self._token_usage.with_free_memory(request, admission.usable)
        admission.keep_usable(fitting, BindingCause.NO_MEMORY)
        share = self._pass_share(admission)
        entries = self._passes.admitting(request, admission.usable, group_of, share)
        admission.keep_usable(entries, BindingCause.LATE_PASSES)
        admission.admitting = self._token_usage.without_long_prompts(
            request, admission.usable
        )

    def _pass_share(self, admission):
        """Return the fraction of the permitted pause that passes may take."""
        if admission.reserved_share:
            return self._settings.less_urgent_pass_share
        if self._reserve.has_precedence(admission.request):
            return self._settings.urgent_pass_share
        return self._settings.pass_share

    def _has_shares(self, admission, has_precedence, slot_count):
        """Return whether a request may only use the slot shares of this host.

        A request with precedence has reserved slots, and one with a promised slot has
        that slot, so neither is limited to the shares. A surge reaches all hosts at
        once and would fill the slots left for other accounts before load reports show
        it.
        """
        service_name = admission.request.service_name
        if not self._shares.are_loads_stale(service_name):
            return False
        if admission.is_surging:
            return True
        if has_precedence or admission.request.has_promise:
            return False
        return self._shares.is_overloaded(service_name, slot_count)

    def _apply_shares(self, admission, idle_share):
        """Keep the targets at which the share of this host has a free slot."""
        usable_share, cause = 1 + idle_share, BindingCause.FULL
        if admission.reserved_share:
            usable_share -= admission.reserved_share
            cause = BindingCause.RESERVED
        if admission.is_surging:
            usable_share = min(usable_share, self._gateway_settings.fair_load)
            cause = BindingCause.SURGING
        entries = self._shares.admitting(
            admission.request.service_name, admission.admitting, usable_share
        )
        admission.keep_admitting(entries, cause)

    def _idle_share(self, request):
        """Return the fraction of its slots by which a target may be overfilled.

        Overfilling makes up for slots that lie idle in the shares of hosts.
        """
        wait_allowance = self._reserve.wait_allowance(request)
        return min(wait_allowance, self._shares.idle_share(request.service_name))
