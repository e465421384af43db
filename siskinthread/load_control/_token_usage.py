"""Finds the targets that have free memory for the tokens of a request.

Requests differ in size, and a target with free slots may lack the memory for a large
one: it would decline the request, or evict others. Small requests, which fit anywhere,
take the memory that becomes free, so that large ones find no target for as long as
targets are busy.
"""

from siskinthread.load_control._arrival_rates import ArrivalRates
from siskinthread.load_control._output_lengths import OutputLengths


class _OwnTokens:
    """Tokens and number of this host's requests at one target.

    Parameters
    ----------
    model : TokenModel
        Model of the target's service.
    """

    __slots__ = ("count", "model", "tokens")

    def __init__(self, model):
        self.model = model
        self.tokens = 0
        self.count = 0


class TokenUsage:
    """Tokens of the requests in flight at each target.

    Parameters
    ----------
    settings : LoadControlSettings
        Memory reserved for large requests.
    clock : siskinthread.timing.Clock
        Clock of the times.
    loads : TargetLoads
        Requests at each target.
    peer_loads : PeerLoads
        Number of hosts, and the excess tokens that they report.
    durations : ServiceDurations
        Mean request durations.

    Attributes
    ----------
    services : dict of str to Service
        Published settings of each service.

    Notes
    -----
    Requests of this host count with their own tokens. Requests of other hosts count
    with the published typical size, plus the reported excess of some of them. Callers'
    hints of the output length are often far off, so the observed output lengths of the
    route take precedence.
    """

    __slots__ = (
        "_clock",
        "_durations",
        "_loads",
        "_long_prompt_counts",
        "_outputs",
        "_own",
        "_peer_loads",
        "_settings",
        "_shortage_sizes",
        "_shortages",
        "services",
    )

    def __init__(self, settings, clock, loads, peer_loads, durations):
        self._settings = settings
        self._clock = clock
        self._loads = loads
        self._outputs = OutputLengths()
        self._own = {}
        # Own requests with a long prompt and no event yet, by target.
        self._long_prompt_counts = {}
        # Rates of requests that found no free memory, and the size of the latest one,
        # by service.
        self._shortages = ArrivalRates(settings, settings.shortage_memory_s, clock)
        self._shortage_sizes = {}
        self._peer_loads = peer_loads
        self._durations = durations
        self.services = {}

    def model(self, service_name):
        """Return the `TokenModel` of a service, or None if memory is not bounded."""
        service = self.services.get(service_name)
        if service is None or not self._settings.are_sizes_used:
            return None
        return service.tokens

    def with_free_memory(self, request, entries):
        """Return the targets that have free memory for a request.

        Parameters
        ----------
        request : GatewayRequest
            The request.
        entries : list of TargetEntry
            The candidate targets.
        """
        model = self.model(request.service_name)
        if model is None or request.facts.token_counts is None:
            return entries
        size = self.size(request, model)
        excess = self._peer_loads.excess_tokens()
        free = {entry: self._free(entry, model, excess) for entry in entries}
        # An empty target always qualifies: it decides itself whether the request is too
        # large.
        fitting = [
            entry
            for entry in entries
            if size <= free[entry] or not self._loads.total(entry.instance_id)
        ]
        if not fitting:
            self._note_shortage(request, size, model)
            return fitting
        return self._without_reserved(request, size, fitting, free)

    def without_long_prompts(self, request, entries):
        """Return the targets that read no long prompt of this host, else all.

        Reading a prompt delays the first event of the requests behind it.
        """
        model = self.model(request.service_name)
        if model is None or not self._long_prompt_counts:
            return entries
        others = [e for e in entries if e.instance_id not in self._long_prompt_counts]
        return others or entries

    def size(self, request, model):
        """Return the expected tokens of a request including its output.

        Parameters
        ----------
        request : GatewayRequest
            A request that states its token counts.
        model : TokenModel
            Model of its service.
        """
        counts = request.facts.token_counts
        expected = self._outputs.expected(request.route.name)
        if expected is None:
            expected = request.facts.output_hint or model.usual_output
        return counts.prompt + min(expected, counts.most_output)

    def started(self, instance_id, tokens, model, has_long_prompt):
        """Add the tokens of a request that is sent to a target."""
        own = self._own.setdefault(instance_id, _OwnTokens(model))
        own.tokens += tokens
        own.count += 1
        if has_long_prompt:
            count = self._long_prompt_counts.get(instance_id, 0)
            self._long_prompt_counts[instance_id] = count + 1

    def prompt_was_read(self, instance_id):
        """Record that a target has read a long prompt, or that its request ended."""
        left = self._long_prompt_counts[instance_id] - 1
        if left:
            self._long_prompt_counts[instance_id] = left
        else:
            del self._long_prompt_counts[instance_id]

    def add_tokens(self, instance_id, tokens):
        """Add tokens of a request beyond the expected ones."""
        self._own[instance_id].tokens += tokens

    def ended(self, instance_id, tokens):
        """Remove the tokens of a request that has ended."""
        own = self._own[instance_id]
        own.tokens -= tokens
        own.count -= 1
        if not own.count:
            del self._own[instance_id]

    def note_output(self, request, tokens):
        """Record the output tokens of a complete response."""
        self._outputs.note(request.route.name, tokens)

    def excess_tokens(self):
        """Return the excess tokens by target that are reported to peers.

        The excess is the difference, positive or negative, between the tokens of this
        host's requests and their number times the typical size, rounded to whole
        typical requests. The largest differences are kept if there are too many.
        """
        excess = {}
        for instance_id, own in self._own.items():
            usual_size = own.model.usual_size
            excess_count = own.tokens / usual_size - own.count
            if abs(excess_count) >= 1:
                excess[instance_id] = round(excess_count) * usual_size
        if len(excess) <= self._settings.excess_told_limit:
            return excess
        largest = sorted(excess, key=lambda name: -abs(excess[name]))
        return {
            name: excess[name] for name in largest[: self._settings.excess_told_limit]
        }

    def is_long(self, request, model):
        """Return whether a prompt takes clearly longer to read than a typical one."""
        limit = self._settings.long_prompt_ratio * model.usual_prompt
        return request.facts.token_counts.prompt > limit

    def _free(self, entry, model, excess):
        """Return the tokens for which a target has free memory."""
        instance_id = entry.instance_id
        own = self._own.get(instance_id)
        total = self._loads.total(instance_id)
        free = model.capacity - excess.get(instance_id, 0)
        if own is None:
            return free - total * model.usual_size
        return free - own.tokens - (total - own.count) * model.usual_size

    def _note_shortage(self, request, size, model):
        if size <= model.capacity:
            self._shortages.note(request.service_name, 0)
            self._shortage_sizes[request.service_name] = size

    def _without_reserved(self, request, size, fitting, free):
        """Return the targets that are not reserved for larger requests.

        The targets with most free memory are reserved, as many as requests that found
        no memory within one request duration, until they have memory for both a larger
        request and this one. All hosts reserve about the same targets.
        """
        service_name = request.service_name
        shortage_size = self._shortage_sizes.get(service_name, 0)
        if size > shortage_size * self._settings.smaller_share:
            return fitting
        short_per_s = self._shortages.all_per_s(service_name)
        short_per_s *= self._peer_loads.fleet_factor(service_name)
        short_count = short_per_s * (self._durations.mean_s(service_name) or 0.0)
        limit = int(len(free) * self._settings.kept_limit_share)
        reserved_count = min(limit, round(short_count))
        if not reserved_count:
            return fitting
        reserved = set(sorted(free, key=free.get)[-reserved_count:])
        least_free = shortage_size + size
        return [e for e in fitting if e not in reserved or free[e] >= least_free]
