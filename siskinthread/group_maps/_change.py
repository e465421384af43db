"""Changes the expert map of a group without a pass that mixes two maps.

The change to a map with version V takes these steps:

1. ``Prepare`` on every rank, until each has accepted it; then a wait for the slowest
   rank to copy its experts.  The group keeps running meanwhile.
2. ``Hold`` of the next pass P on rank 0.  Once this is confirmed, the group does not
   start P without ``Release``.
3. ``Arm`` of V at P on every rank, until all have confirmed.  A rank that still copies
   refuses, and the order is sent again.
4. ``Release`` of P, normally before the group gets to P, so that it never stalls.

Two invariants keep every pass unmixed, also with lost or late orders and with two
controllers.  First, P starts only after a release, and a release is sent only once all
ranks are armed with one version for P, or once no rank is armed and none can be any
more.  Second, once all ranks are armed they stay armed until P starts: `finish_or_undo`
disarms only if some rank is not armed and can't be.  Orders that are carried out late
change nothing: an arm or a hold for a pass that has started is refused, and so is a
prepare whose version is not the highest.  Versions are not used twice: plans have even
versions, and maps that only invalidate late orders have odd versions.
"""

import enum

import curio

from siskinthread.group_maps._layout import GroupMap
from siskinthread.group_maps._orders import (
    Arm,
    Disarm,
    Hold,
    OrderResult,
    Prepare,
    Release,
)
from siskinthread.group_maps._passes import passes_to_hold
from siskinthread.observability import part_logger
from siskinthread.timing import Deadline

_logger = part_logger("group_maps")

# Ranks start copying some milliseconds after they have sent the response to an order.
COPY_MARGIN_S = 0.01
HOLDING_RANK = 0


class ChangeResult(enum.Enum):
    """Result of a change."""

    IN_FORCE = "in force"
    # Some rank did not prepare; no pass is held.
    NOT_BEGUN = "not begun"
    # A pass may be held; a call of `finish_or_undo` has to follow.
    LEFT_HELD = "left held"


class _Copying:
    """Tracks when the ranks of a group have copied the experts of a new map.

    Parameters
    ----------
    old_map, new_map : GroupMap
        The map in force, and the map to put in force.
    copy_s : float
        Time to copy one expert, seconds.
    clock : siskinthread.timing.Clock
        Clock for the times.
    earlier_attempts : AttemptCounts
        Counts of attempts before this change.

    Attributes
    ----------
    earlier_attempts : AttemptCounts
        Counts of attempts before this change.
    end : Deadline
        When the last rank that has started to copy will be done.
    """

    __slots__ = ("_clock", "_copying_s", "earlier_attempts", "end")

    def __init__(self, old_map, new_map, copy_s, clock, earlier_attempts):
        self._clock = clock
        self._copying_s = [count * copy_s for count in old_map.new_experts(new_map)]
        self.earlier_attempts = earlier_attempts
        self.end = Deadline.after(clock, 0.0)

    def note_started(self, rank):
        """Record that a rank has accepted the order to copy."""
        if self._copying_s[rank]:
            end_s = self._clock.monotonic_s() + self._copying_s[rank] + COPY_MARGIN_S
            self.end = Deadline(self._clock, max(self.end.at_s, end_s))


class MapChange:
    """Changes the map of one group.

    Parameters
    ----------
    ranks : GroupRanks
        The ranks.
    layout : ExpertLayout
        Shape of the maps.
    settings : GroupMapSettings
        Timeouts and intervals.
    clock : siskinthread.timing.Clock
        Clock for the waits.
    """

    __slots__ = ("_clock", "_layout", "_ranks", "_settings")

    def __init__(self, ranks, layout, settings, clock):
        self._ranks = ranks
        self._layout = layout
        self._settings = settings
        self._clock = clock

    async def run(self, epoch, old_map, new_map, passes):
        """Put a new map in force.

        Parameters
        ----------
        epoch : int
            Epoch in which the change was planned.
        old_map, new_map : GroupMap
            The map in force, and the map to put in force.
        passes : PassEstimate
            Estimate of the current pass, to hold a pass that has not started.

        Returns
        -------
        ChangeResult
        """
        copying = await self._prepare(epoch, old_map, new_map)
        if copying is None:
            return ChangeResult.NOT_BEGUN
        await curio.sleep(copying.end.left_s())
        pass_number = await self._hold(epoch, passes, copying)
        if pass_number is None:
            return ChangeResult.LEFT_HELD
        if not await self._arm_all(Arm(epoch, new_map.version, pass_number)):
            return ChangeResult.LEFT_HELD
        released = await self._ranks.send(HOLDING_RANK, Release(epoch, pass_number))
        if released is not OrderResult.TAKEN:
            return ChangeResult.LEFT_HELD
        return ChangeResult.IN_FORCE

    async def _prepare(self, epoch, old_map, new_map):
        """Make all ranks copy; return the `_Copying`, None if a rank does not accept.

        All ranks alike refuse while the pass of their last change has not started.  So
        the holding rank is asked first, until it accepts the order: otherwise 96 ranks
        refused each attempt, in 12 of 35 changes.
        """
        earlier_attempts = self._ranks.attempts.copy()
        prepare = Prepare(epoch, new_map)
        limit_s = self._settings.prepare_retry_s
        if not await self._send_until_accepted(prepare, limit_s, {HOLDING_RANK}):
            return None
        copying = _Copying(
            old_map, new_map, self._layout.copy_s, self._clock, earlier_attempts
        )
        copying.note_started(HOLDING_RANK)
        others = set(range(len(self._ranks.clients))) - {HOLDING_RANK}
        if not await self._send_until_accepted(
            prepare, 0.0, others, copying.note_started
        ):
            return None
        return copying

    async def _hold(self, epoch, passes, copying):
        """Return the number of the held pass, None if no hold was confirmed.

        The next pass is best, since each further pass before the change is a long one.
        But orders may need retries, as preceding orders of the change show, and a group
        that reaches the held pass before all ranks are armed stalls.
        """
        for pass_number in passes_to_hold(
            passes, lambda: self._ranks.retry_allowance_s(copying.earlier_attempts)
        ):
            result = await self._ranks.send(HOLDING_RANK, Hold(epoch, pass_number))
            if result is OrderResult.TAKEN:
                self._log_held(epoch, pass_number, passes, copying.earlier_attempts)
                return pass_number
            if result is OrderResult.UNKNOWN:
                return None
        return None

    def _log_held(self, epoch, pass_number, passes, earlier_attempts):
        """Log a pass that is held further ahead than the next one."""
        retry_allowance_s = self._ranks.retry_allowance_s(earlier_attempts)
        if not retry_allowance_s:
            return
        share = self._ranks.attempts.unanswered_share(earlier_attempts)
        _logger.event(
            "pass is held ahead for repeated orders",
            epoch=epoch,
            held_pass=pass_number,
            current_pass=passes.number_now(),
            pass_s=round(passes.pass_s, 3),
            unanswered_share=round(share, 3),
            repeating_s=round(retry_allowance_s, 3),
        )

    async def _arm_all(self, arm):
        """Arm all ranks; return whether all of them are armed.

        Orders are sent without waiting for reports, which show the end of a rank's
        copying only after their lag.
        """
        ranks = set(range(len(self._ranks.clients)))
        limit_s = self._settings.prepare_margin_s
        return await self._send_until_accepted(arm, limit_s, ranks)

    async def _send_until_accepted(self, order, limit_s, ranks, on_accepted=None):
        """Send an order until no rank refuses; return whether all have accepted it.

        A rank refuses to arm while it copies, and to prepare while the pass of its last
        change has not started.
        """
        waiting = ranks
        limit = Deadline.after(self._clock, limit_s)
        while True:
            results = await self._ranks.send_all(
                dict.fromkeys(waiting, order), on_accepted
            )
            waiting = {
                rank
                for rank, result in results.items()
                if result is OrderResult.REFUSED
            }
            if OrderResult.UNKNOWN in results.values():
                return False
            if not waiting or limit.passed():
                return not waiting
            await curio.sleep(self._settings.arm_interval_s)

    async def finish_or_undo(self, current_map):
        """Finish or undo a change that left the group held or armed.

        Parameters
        ----------
        current_map : GroupMap
            The map in force; prepared again under a new version to invalidate late
            orders of a change that is undone.

        Returns
        -------
        bool
            Whether nothing is held or armed any more, according to the reports.

        Raises
        ------
        TargetError
            If a rank does not report; the state of the group is unknown then.
        """
        reports = await self._ranks.reports()
        if not _is_running(reports):
            # The group is re-forming, which drops all holds and armed maps.
            return True
        held_pass = reports[HOLDING_RANK].held_pass
        armed = {
            report.rank: report.armed for report in reports if report.armed is not None
        }
        if held_pass is None and not armed:
            return True
        versions = {armed_map.version for armed_map in armed.values()}
        # A change that was released comes into force with its pass and needs no
        # recovery.
        _logger.event(
            "a change waits" if held_pass is None else "a change was left",
            group=reports[0].group_name,
            epoch=reports[HOLDING_RANK].epoch,
            pass_number=reports[HOLDING_RANK].pass_number,
            held_pass=held_pass,
            armed_passes=sorted(
                {str(armed_map.pass_number) for armed_map in armed.values()}
            ),
            armed_ranks=sorted(armed),
            versions=sorted(versions),
        )
        if held_pass is None:
            # Already released; the ranks switch as the armed pass starts.
            return True
        if not await self._finish(reports):
            await self._undo(reports, armed, current_map)
        # Reports show the effect of the orders only after their lag.
        await curio.sleep(self._layout.report_lag_s)
        return False

    async def finish(self):
        """Put an unfinished change in force if all ranks are armed or can be armed.

        No rank is disarmed, so this does not interfere with other controllers that
        finish the change, including its own, and needs no waiting for them.

        Returns
        -------
        bool
            Whether arm orders were sent, or the held pass was released.

        Raises
        ------
        TargetError
            If a rank does not report; no order was sent then.
        """
        reports = await self._ranks.reports()
        is_held = _is_running(reports) and reports[HOLDING_RANK].held_pass is not None
        return is_held and await self._finish(reports)

    async def _finish(self, reports):
        """Arm the ranks that are not armed yet, or release the held pass.

        Parameters
        ----------
        reports : list of RankReport
            Reports of all ranks in one epoch; that of the holding rank has a held pass.

        Returns
        -------
        bool
            Whether either was possible.
        """
        epoch = reports[HOLDING_RANK].epoch
        held_pass = reports[HOLDING_RANK].held_pass
        versions = {
            report.armed.version for report in reports if report.armed is not None
        }
        if len(versions) != 1:
            return False
        unarmed = [report for report in reports if report.armed is None]
        if not unarmed:
            await self._ranks.send(HOLDING_RANK, Release(epoch, held_pass))
            return True
        if any(report.prepared_version not in versions for report in unarmed):
            return False
        arm = Arm(epoch, *versions, held_pass)
        await self._ranks.send_all({report.rank: arm for report in unarmed})
        return True

    async def _undo(self, reports, armed, current_map):
        """Disarm the armed ranks, or release the held pass if no rank is armed."""
        epoch = reports[HOLDING_RANK].epoch
        if armed:
            await self._ranks.send_all(
                {
                    rank: Disarm(epoch, armed_map.version)
                    for rank, armed_map in armed.items()
                }
            )
            return
        held_pass = reports[HOLDING_RANK].held_pass
        await self._invalidate_and_release(epoch, reports, current_map, held_pass)

    async def _invalidate_and_release(self, epoch, reports, current_map, held_pass):
        """Release a pass without armed ranks once no rank can be armed for it any more.

        A controller that was paused may still send an arm.  The arm has a version that
        is no longer prepared once a higher version is, so it is refused.
        """
        version = _release_version(reports)
        unchanged_map = GroupMap(
            version, current_map.holdings, self._layout.expert_count
        )
        if await self._prepare(epoch, current_map, unchanged_map) is None:
            return
        await curio.sleep(self._layout.report_lag_s)
        after = await self._ranks.reports()
        is_invalidated = all(
            report.epoch == epoch
            and report.armed is None
            and report.prepared_version == version
            for report in after
        )
        if is_invalidated:
            await self._ranks.send(HOLDING_RANK, Release(epoch, held_pass))


def _is_running(reports):
    """Return whether all ranks are open and in the same epoch."""
    epoch = reports[HOLDING_RANK].epoch
    return all(report.is_open and report.epoch == epoch for report in reports)


def planned_version(known, step):
    """Return an even version that is about `step` above `known`.

    Even versions are for plans and odd versions for `_release_version`, so that the two
    never collide: a rank that still copies a plan does not report the plan's version,
    and would take an order to prepare another map under the same version for a retry.
    """
    version = known + step
    return version + version % 2


def _release_version(reports):
    """Return an odd version above all reported versions."""
    version = highest_version(reports) + 1
    return version + (version + 1) % 2


def highest_version(reports):
    """Return the highest map version that any rank has received."""
    versions = [0]
    for report in reports:
        versions.append(report.map_version)
        versions.append(report.prepared_version or 0)
        versions.append(0 if report.armed is None else report.armed.version)
    return max(versions)
