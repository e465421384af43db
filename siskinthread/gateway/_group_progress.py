"""Which groups of targets make no progress.

The ranks of a group run in lock-step, so each pass gives every stream of the group one
event.  When none of this entry's streams there gets any, the group stands still: a rank
is dead or cut off, or the group is held for a change of its map whose controller has
been stopped.
"""

from siskinthread.group_maps import PassClock, PassView, ToldPass
from siskinthread.observability import part_logger
from siskinthread.timing import Deadline

_logger = part_logger("gateway")


class GroupProgress:
    """When own streams of each group last got an event.

    Parameters
    ----------
    settings : GatewaySettings
        How long a group may be silent.
    clock : siskinthread.timing.Clock
        Clock of the times.

    Attributes
    ----------
    peers : siskinthread.peer_news.PeerNews or None
        Tells which groups stand still as peers see them.

    Notes
    -----
    Symptom without this: an entry that was stopped for 4 s held a group; 40 requests
    were sent there and left by their callers after 2 s, though the other group had free
    slots.
    """

    __slots__ = (
        "_clock",
        "_last_event_s",
        "_listeners",
        "_pass_clocks",
        "_settings",
        "_stalled",
        "_streams",
        "peers",
    )

    def __init__(self, settings, clock):
        self._settings = settings
        self._clock = clock
        # Targets of the streams that have begun, by group; one of them may be there
        # more than once.
        self._streams = {}
        self._last_event_s = {}
        self._pass_clocks = {}
        # Until when a group counts that stood still when it was last looked at.  Its
        # streams may have been left by their callers since.
        self._stalled = {}
        self._listeners = []
        self.peers = None

    def listen(self, callback):
        """Call `callback` with the group of each stream that gets its first event."""
        self._listeners.append(callback)

    def event_came(self, group):
        """Note that a stream of a group got an event."""
        now_s = self._clock.monotonic_s()
        if group in self._stalled:
            del self._stalled[group]
            silent_s = round(now_s - self._last_event_s[group], 3)
            _logger.event("group moves again", group=group, silent_s=silent_s)
        self._last_event_s[group] = now_s
        self.pass_clock(group).event_came(now_s)

    def pass_clock(self, group):
        """Return the `PassClock` of a group."""
        return self._pass_clocks.setdefault(group, PassClock())

    def pass_view(self, group):
        """Return the `PassView` of a group, by own streams or as peers tell."""
        return PassView(self.pass_clock(group), lambda: self._newest_peer_pass(group))

    def passes_s(self):
        """Return the time of the last pass of each group with own streams, seconds.

        Coarse, so that news are not sent for a change that means nothing.
        """
        now_s = self._clock.monotonic_s()
        running = {
            group: clock.current_s(now_s)
            for group, clock in self._pass_clocks.items()
            if clock.is_running
        }
        return {group: round(pass_s, 2) for group, pass_s in running.items()}

    def stream_began(self, group, instance_id):
        """Note that a stream has got its first event."""
        self._streams.setdefault(group, []).append(instance_id)
        self.event_came(group)
        for callback in self._listeners:
            callback(group)

    def stream_ended(self, group, instance_id):
        """Note that a stream that had begun is over."""
        streams = self._streams.get(group, [])
        if instance_id not in streams:
            # It began before its group broke and opened again.
            return
        streams.remove(instance_id)
        if not streams:
            del self._streams[group]
            self.pass_clock(group).stop()

    def group_opened(self, group):
        """Note that a group has re-formed; its earlier streams get no more events."""
        if self._streams.pop(group, None) is not None:
            self.pass_clock(group).stop()
        self._stalled.pop(group, None)
        # Peers may still tell that it stands still.
        self._last_event_s[group] = self._clock.monotonic_s()

    def stalled_groups(self):
        """Return the groups that stand still, as own streams show."""
        for group, targets in self._streams.items():
            # One silent target may be cut off from this entry alone; it takes two.
            if len(set(targets)) > 1 and not self._is_moving(group):
                self._note_stalled(group, len(targets))
        return sorted(
            group for group, expiry in self._stalled.items() if not expiry.passed()
        )

    def is_stalled(self, group):
        """Return whether a group stands still, by own streams or as peers see it."""
        if group is None or self._is_moving(group):
            return False
        if group in self.stalled_groups():
            return True
        return self.peers is not None and group in self.peers.stalled_groups()

    def _newest_peer_pass(self, group):
        told = None if self.peers is None else self.peers.newest_pass(group)
        return None if told is None else ToldPass(*told)

    def _note_stalled(self, group, stream_count):
        if group not in self._stalled:
            _logger.event(
                "group stands still", group=group, silent_streams=stream_count
            )
        limit_s = self._settings.stall_memory_s
        self._stalled[group] = Deadline.after(self._clock, limit_s)

    def _is_moving(self, group):
        last_s = self._last_event_s.get(group)
        if last_s is None:
            return False
        return self._clock.monotonic_s() - last_s <= self._settings.stall_limit_s
