"""Manages the controllers of the groups that this process controls."""

import functools
import zlib

import curio

from siskinthread.errors import PlatformUnavailableError
from siskinthread.group_maps._controller import GroupController
from siskinthread.group_maps._group_state import GroupState
from siskinthread.group_maps._ranks import GroupRanks
from siskinthread.group_maps._slow_ranks import SlowRanks
from siskinthread.observability import part_logger
from siskinthread.timing import Deadline

_logger = part_logger("group_maps")


class GroupManager:
    """Runs a controller for each group whose share this process holds.

    Parameters
    ----------
    directory : GroupDirectory
        Directory of the groups.
    shares : object
        ``async renew()`` returns the `Shares` that this process holds, ``async
        leave()`` gives them up; both raise `PlatformUnavailableError`.
    find_layout : callable
        Takes the instance id of any rank and returns the `ExpertLayout` of its group,
        or None.
    home : object
        State of this entry and of its streams.  ``is_control_candidate()``: whether
        this entry should control groups; ``is_draining()``: whether it should hand over
        its shares; ``is_heir_of(name)``: whether it should control a group whose
        controller has stopped sending; ``note_controlled(names)`` receives the groups
        that this process controls; ``is_home(name, domains)``: whether a group whose
        ranks are in the given failure domains is controlled from this entry's domain;
        ``is_store_unreachable()``: whether no entry can get shares at present;
        ``should_release(name)``: whether a group is stalled and this process should
        recover it; ``is_broken(name)``: whether a group is known to be broken;
        ``pass_view(name)`` returns the pass times of a group; ``note_slow(name, ids)``
        receives the targets of a group that should get no requests.
    settings : GroupMapSettings
        Intervals and limits.
    clock : siskinthread.timing.Clock
        Clock for all intervals.
    measures : MapMeasures
        Metrics.
    random : random.Random
        Source of the random steps of map versions.

    Notes
    -----
    Two processes may control one group for a while.  Changes are safe then too, see
    `MapChange`, but the processes hinder each other.

    A controller that is stopped in the middle of a change leaves its group held, and
    its share moves only when the share expires, so groups were held for 4 s.  So
    stalled groups are recovered before that.  For the same reason, a stand-in replaces
    the controller of a group that has stopped sending until its share moves.
    """

    __slots__ = (
        "_clock",
        "_controllers",
        "_directory",
        "_expiry",
        "_find_layout",
        "_held_shares",
        "_measures",
        "_group_states",
        "_home",
        "_is_handing_over",
        "_knows_groups",
        "_random",
        "_recoveries",
        "_settings",
        "_shares",
    )

    def __init__(
        self,
        directory,
        shares,
        find_layout,
        home,
        settings,
        clock,
        measures,
        random,
    ):
        self._home = home
        self._random = random
        self._directory = directory
        self._shares = shares
        self._find_layout = find_layout
        self._settings = settings
        self._clock = clock
        self._measures = measures
        self._controllers = {}
        # By group; the states outlive the controllers.
        self._group_states = {}
        # By group: the task that recovers a stalled group of another controller, and
        # the deadline before which no further recovery starts.
        self._recoveries = {}
        self._held_shares = None
        self._is_handing_over = False
        # Whether any group was ever complete.
        self._knows_groups = False
        self._expiry = Deadline.after(clock, 0.0)

    def controlled_groups(self):
        """Return the names of the groups that this process controls."""
        return list(self._controllers)

    async def run(self):
        """Renew the shares and control their groups until cancelled."""
        try:
            next_renewal = Deadline.after(self._clock, 0.0)
            while True:
                if self._home.is_draining():
                    await self._hand_over_shares()
                elif next_renewal.passed() and self._has_known_groups():
                    wait_s = self._settings.renew_interval_s
                    next_renewal = Deadline.after(self._clock, wait_s)
                    await self._renew()
                await self._reconcile()
                await curio.sleep(self._settings.reconcile_interval_s)
        finally:
            await self._stop_all()

    def _has_known_groups(self):
        """Return whether any group was ever complete; shares are of no use before.

        Each renewal is a call that is charged for.
        """
        self._knows_groups |= bool(self._directory.complete_groups())
        return self._knows_groups

    async def hand_over(self, limit_s):
        """Wait until the shares of a draining entry are handed over.

        Parameters
        ----------
        limit_s : float
            Longest wait, seconds.

        Returns
        -------
        bool
            Whether the shares were handed over in time.
        """
        limit = Deadline.after(self._clock, limit_s)
        while self._held_shares is not None or self._is_handing_over:
            if limit.passed():
                return False
            await curio.sleep(self._settings.watch_interval_s)
        return True

    async def _renew(self):
        if not self._home.is_control_candidate():
            await self._hand_over_shares()
            return
        expiry = Deadline.after(self._clock, self._settings.share_lapse_s)
        try:
            self._held_shares = await self._shares.renew()
        except PlatformUnavailableError as error:
            # While no entry reaches the store, no other entry can get the shares, and
            # the demand keeps shifting. Giving them up would stop map changes for the
            # rest of an outage.
            may_be_taken_over = (
                self._expiry.passed() and not self._home.is_store_unreachable()
            )
            if self._held_shares is not None and may_be_taken_over:
                _logger.event("shares have expired", reason=str(error))
                self._held_shares = None
            return
        self._expiry = expiry

    async def _hand_over_shares(self):
        """Hand the shares over after the changes under way have ended."""
        if self._held_shares is None:
            return
        self._held_shares = None
        self._is_handing_over = True
        _logger.event("shares are left to others")
        try:
            await self._reconcile()
            await self._shares.leave()
        except PlatformUnavailableError as error:
            _logger.event(
                "shares can't be handed over and will expire", reason=str(error)
            )
        finally:
            self._is_handing_over = False

    async def _reconcile(self):
        complete = self._directory.complete_groups()
        await self._recover_stalled(complete)
        groups = {
            name: clients
            for name, clients in complete.items()
            if self._should_control(name, clients)
        }
        for name in list(self._controllers):
            ids, task = self._controllers[name]
            if task.terminated:
                # The controller ended with an error, which its task has logged.
                del self._controllers[name]
                _logger.event("controller of a group failed", group=name)
            elif name not in groups or list(groups[name]) != ids:
                del self._controllers[name]
                await task.cancel()
                _logger.event("group is no longer controlled here", group=name)
        for name, clients in groups.items():
            if name not in self._controllers:
                await self._start(name, clients)
        self._home.note_controlled(self._controllers)

    def _should_control(self, name, clients):
        if not self._home.is_home(name, self._directory.domains_of(clients)):
            return False
        is_held = self._held_shares is not None and self._held_shares.contains(name)
        return is_held or self._home.is_heir_of(name)

    async def _recover_stalled(self, groups):
        for name, (task, pause) in list(self._recoveries.items()):
            if task.terminated and pause.passed():
                del self._recoveries[name]
        for name, clients in groups.items():
            if name in self._controllers or name in self._recoveries:
                continue
            if self._home.should_release(name):
                controller = self._build_controller(name, clients)
                if controller is not None:
                    task = await curio.spawn(controller.recover, daemon=True)
                    _logger.event("group that stands still is looked at", group=name)
                    wait_s = self._settings.relief_interval_s
                    self._recoveries[name] = task, Deadline.after(self._clock, wait_s)

    def _build_controller(self, name, clients):
        layout = self._find_layout(next(iter(clients)))
        if layout is None:
            return None
        ranks = GroupRanks(
            list(clients.values()), self._settings, self._clock, self._measures
        )
        return GroupController(
            name,
            ranks,
            layout,
            self._home.pass_view(name),
            self._group_states.setdefault(name, GroupState(self._settings)),
            self._settings,
            self._clock,
            self._measures,
            SlowRanks(
                list(clients),
                functools.partial(self._home.note_slow, name),
                self._settings,
            ),
            self._random,
            functools.partial(self._home.is_broken, name),
        )

    async def _start(self, name, clients):
        controller = self._build_controller(name, clients)
        if controller is None:
            return
        layout = self._find_layout(next(iter(clients)))
        task = await curio.spawn(controller.run, daemon=True)
        self._controllers[name] = (list(clients), task)
        _logger.event(
            "group is controlled here",
            group=name,
            by_share=self._held_shares is not None and self._held_shares.contains(name),
            ranks=len(clients),
            pass_fixed_s=layout.model.fixed_s,
            pass_request_s=layout.model.request_s,
        )

    async def _stop_all(self):
        async with curio.disable_cancellation():
            for _, task in self._controllers.values():
                await task.cancel()
            for task, _ in self._recoveries.values():
                await task.cancel()
        self._controllers.clear()
        self._recoveries.clear()


class Shares:
    """The shares of a process; each share is a hash bucket of group names.

    Parameters
    ----------
    numbers : set of int
        Numbers of the shares that the process holds.
    count : int
        Total number of shares.
    """

    __slots__ = ("_count", "_numbers")

    def __init__(self, numbers, count):
        self._numbers = numbers
        self._count = count

    def contains(self, name):
        """Return whether a group belongs to one of the shares."""
        return zlib.crc32(name.encode()) % self._count in self._numbers
