"""Detection of stalled groups of targets.

The ranks of a group run in lock-step, so each pass gives every stream of the group one
event.  If none of this entry's streams of a group gets an event, the group is stalled:
a rank is dead or partitioned, or the group is held for a change of its expert map whose
controller has been stopped.
"""

from siskinthread.group_maps import PassClock, PassView, ReportedPass
from siskinthread.observability import part_logger
from siskinthread.timing import Deadline

_logger = part_logger("gateway")


class GroupProgress:
    """Tracks when the own streams of each group last got an event.

    Parameters
    ----------
    settings : GatewaySettings
        How long the streams of a group may be silent.
    clock : siskinthread.timing.Clock
        Clock for ages and deadlines.

    Attributes
    ----------
    peers : siskinthread.peer_news.PeerGossip or None
        States which groups are stalled as observed by peers.

    Notes
    -----
    Without stall detection, when an entry was stopped for 4 s while it held a group, 40
    requests were sent to that group and abandoned by their callers after 2 s, although
    another group had free slots.
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
        # Targets of the streams that have begun, by group; a target is listed once for
        # each of its streams.
        self._streams = {}
        self._last_event_s = {}
        self._pass_clocks = {}
        # Deadlines until which a group counts as stalled after the last check that
        # found it so.  Callers may have abandoned its streams since.
        self._stalled = {}
        self._listeners = []
        self.peers = None

    def listen(self, callback):
        """Register a callback for the group of each stream at its first event."""
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
        """Return the `PassView` of a group, from own streams or from peers."""
        return PassView(self.pass_clock(group), lambda: self._newest_peer_pass(group))

    def passes_s(self):
        """Return the time of the last pass of each group with own streams, seconds.

        Rounded to 0.01 s, so that insignificant changes are not sent to peers.
        """
        now_s = self._clock.monotonic_s()
        running = {
            group: clock.current_s(now_s)
            for group, clock in self._pass_clocks.items()
            if clock.is_running
        }
        return {group: round(pass_s, 2) for group, pass_s in running.items()}

    def stream_began(self, group, instance_id):
        """Note that a stream got its first event."""
        self._streams.setdefault(group, []).append(instance_id)
        self.event_came(group)
        for callback in self._listeners:
            callback(group)

    def stream_ended(self, group, instance_id):
        """Note that a stream that had begun has ended."""
        streams = self._streams.get(group, [])
        if instance_id not in streams:
            # The stream began before its group broke and re-formed.
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
        # Counts as an event, since peers may still state that the group is stalled.
        self._last_event_s[group] = self._clock.monotonic_s()

    def stalled_groups(self):
        """Return the groups that are stalled according to own streams."""
        for group, targets in self._streams.items():
            # Requires two silent targets, as a single one may be partitioned from this
            # entry alone.
            if len(set(targets)) > 1 and not self._is_moving(group):
                self._note_stalled(group, len(targets))
        return sorted(
            group for group, expiry in self._stalled.items() if not expiry.passed()
        )

    def is_stalled(self, group):
        """Return whether a group is stalled, by own streams or according to peers."""
        if group is None or self._is_moving(group):
            return False
        if group in self.stalled_groups():
            return True
        return self.peers is not None and group in self.peers.stalled_groups()

    def _newest_peer_pass(self, group):
        newest = None if self.peers is None else self.peers.newest_pass(group)
        return None if newest is None else ReportedPass(*newest)

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
