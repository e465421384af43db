"""Simulations of streams at groups whose ranks run in lock-step."""

from siskinthread.gateway import RequestKind, Route, RouteTable, Service
from siskinthread.group_maps import ExpertLayout, PassModel
from siskinthread.load_control.tests.replay import Kind, Replay, SERVICE

PAUSE_LIMIT_S = 0.12
MODEL = PassModel(0.85, fixed_s=0.018, request_s=0.0072)
EVENTS = 23
READING_S = 0.1
IDLE_S = 0.01


class StreamKind(Kind):
    """A kind of streams; see `Kind` for the parameters."""

    def __init__(self, name, priority, objective_s=0.4, **facts):
        super().__init__(name, priority, objective_s, **facts)
        self.route = Route(
            name,
            "app.example",
            f"/{name}/",
            RequestKind.STREAM_RESUMABLE,
            [],
            attempt_limit=2,
            wait_limit_s=8.0,
            priority=priority,
            is_public=True,
            objective_s=objective_s,
            pause_limit_s=PAUSE_LIMIT_S,
        )


class _Stream:
    """A stream at a rank."""

    def __init__(self, host, running, call, target, reads_until_s):
        self.host = host
        self.running = running
        self.call = call
        self.target = target
        self.reads_until_s = reads_until_s
        self.last_event_s = None
        self.event_count = 0


class StreamReplay(Replay):
    """Groups of targets; each forward pass yields one event per stream.

    Parameters
    ----------
    skews : dict of str to callable
        By the name of each group, a function that returns the pass time relative to
        that with evenly loaded ranks, at a time since the start, seconds.
    ranks, slots : int
        Targets of a group, and slots of each.
    pause_limit_s : float
        Longest pause between events that callers permit, seconds.
    """

    def __init__(self, skews, ranks=8, slots=6, pause_limit_s=PAUSE_LIMIT_S, **shape):
        count = ranks * len(skews)
        super().__init__(target_count=count, slots=slots, queue=0, **shape)
        self._skews = skews
        self._streams = {name: [] for name in skews}
        names = list(skews)
        self._groups = {
            one: names[number // ranks] for number, one in enumerate(self.targets)
        }
        layout = ExpertLayout(1, 96, 11, 4, MODEL, 0.4, 0.1, pause_limit_s)
        table = RouteTable(1, [], [Service(SERVICE, layout)], None, None)
        for host in self.hosts:
            host.parts.choice.group_of = self._groups.get
            host.parts.load_control.take_table(table)
            host.parts.progress.peers = host.parts.loads.peers
        for name in names:
            self.at(0.0, self._begin_pass, name)

    def steady_count(self, kind, from_s, to_s):
        """Return how many streams of a kind were complete without a long pause."""
        return sum(
            call.answered_at_s is not None and call.longest_pause_s <= PAUSE_LIMIT_S
            for call in self.calls_of(kind, from_s, to_s)
        )

    def late_count(self, from_s, to_s):
        """Return how many streams had a pause longer than permitted."""
        return sum(
            call.longest_pause_s > PAUSE_LIMIT_S
            for call in self.calls
            if from_s <= call.at_s < to_s
        )

    def _run(self, host, running, call, target):
        target.running += 1
        stream = _Stream(host, running, call, target, self.now_s() + READING_S)
        self._streams[self._groups[target.entry.instance_id]].append(stream)

    def _begin_pass(self, name):
        streams = [
            one for one in self._streams[name] if one.reads_until_s <= self.now_s()
        ]
        if not streams:
            self.at(self.now_s() + IDLE_S, self._begin_pass, name)
            return
        ranks = [one for one in self.targets if self._groups[one] == name]
        counts = [self.targets[one].running for one in ranks]
        mean = sum(counts) / len(counts)
        work = MODEL.expert_share * mean + (1 - MODEL.expert_share) * max(counts)
        pass_s = self._skews[name](self.now_s()) * MODEL.even_pass_s(work)
        self.at(self.now_s() + pass_s, self._end_pass, name, streams)

    def _end_pass(self, name, streams):
        for stream in streams:
            self._note_event(name, stream)
        self._begin_pass(name)

    def _note_event(self, name, stream):
        call, now_s = stream.call, self.now_s()
        progress = stream.host.parts.progress
        stream.event_count += 1
        if stream.last_event_s is None:
            progress.stream_began(name, stream.target.entry.instance_id)
        else:
            pause_s = now_s - stream.last_event_s
            call.longest_pause_s = max(call.longest_pause_s, pause_s)
        progress.event_came(name)
        stream.last_event_s = now_s
        if stream.event_count == EVENTS:
            self._streams[name].remove(stream)
            progress.stream_ended(name, stream.target.entry.instance_id)
            self._end(stream.host, stream.running, call, stream.target)
