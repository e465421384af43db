"""Tracks a request at a target until its end."""


class RunningRequest:
    """A request at a target.

    Parameters
    ----------
    durations : ServiceDurations
        Records how long the request takes.
    token_usage : TokenUsage
        Counts its tokens.
    clock : siskinthread.timing.Clock
        Clock of the times.
    request : GatewayRequest
        The request.
    entry : TargetEntry
        The target.
    slot_forecast : SlotForecast
        Counts the running requests of this host.
    timed : TimedRequest or None
        Measures the speed of the target; None if that is not measured.
    """

    __slots__ = (
        "_clock",
        "_durations",
        "_event_count",
        "_instance_id",
        "_is_reading_prompt",
        "_model",
        "_request",
        "_slot_forecast",
        "_started_at_s",
        "_timed",
        "_token_usage",
        "_tokens",
    )

    def __init__(
        self, durations, token_usage, clock, request, entry, slot_forecast, timed
    ):
        self._timed = timed
        self._durations = durations
        self._token_usage = token_usage
        self._clock = clock
        self._request = request
        self._instance_id = entry.instance_id
        self._started_at_s = clock.monotonic_s()
        self._slot_forecast = slot_forecast
        slot_forecast.started(request, self._started_at_s)
        self._event_count = 0
        self._tokens = 0
        self._is_reading_prompt = False
        self._model = token_usage.model(request.service_name)
        if request.facts.token_counts is None:
            self._model = None
        if self._model is not None:
            self._note_size()

    def events_came(self, count):
        """Record `count` further events of its response."""
        self._event_count += count
        self._end_prompt()
        if self._timed is not None:
            self._timed.event_came()
        if self._model is None:
            return
        counts = self._request.facts.token_counts
        held = counts.prompt + self._event_count * self._model.per_event
        if held > self._tokens:
            self._token_usage.add_tokens(self._instance_id, held - self._tokens)
            self._tokens = held

    def ended(self, is_served, is_failed=False):
        """Record its end.

        Parameters
        ----------
        is_served : bool
            Whether the target has answered it completely.
        is_failed : bool
            Whether the target has failed it.
        """
        self._end_prompt()
        self._slot_forecast.ended(self._request, self._started_at_s)
        if self._timed is not None:
            self._timed.ended(is_served, is_failed, self._event_count)
        if self._model is not None:
            self._token_usage.ended(self._instance_id, self._tokens)
        if not is_served:
            return
        took_s = self._clock.monotonic_s() - self._started_at_s
        self._durations.note(self._request.service_name, took_s)
        if self._model is not None and self._event_count:
            tokens = self._event_count * self._model.per_event
            self._token_usage.note_output(self._request, tokens)

    def _note_size(self):
        self._tokens = self._token_usage.size(self._request, self._model)
        self._is_reading_prompt = self._token_usage.is_long(self._request, self._model)
        self._token_usage.started(
            self._instance_id, self._tokens, self._model, self._is_reading_prompt
        )

    def _end_prompt(self):
        if self._is_reading_prompt:
            self._is_reading_prompt = False
            self._token_usage.prompt_was_read(self._instance_id)
