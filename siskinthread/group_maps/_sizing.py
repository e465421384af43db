"""How much one change of a map copies.

A change helps only once all of it is copied, and copying makes passes longer.  Demand
that shifts every few seconds is answered late by a change that copies much.
"""


def choose_plan(plans, even_pass_s, layout, settings):
    """Return the `Plan` to carry out, or None if none is worth it.

    Parameters
    ----------
    plans : list of Plan
        Each copies one more expert a rank than the one before it.
    even_pass_s : float
        Time of a pass if all ranks were loaded evenly, seconds.
    layout : ExpertLayout
        Times of copying, and the longest pass that is in time.
    settings : GroupMapSettings
        Limits.

    Notes
    -----
    The smallest change after which streams are in time is the first to bring them
    there; another one follows while passes are not short.  If none is enough, the one
    that shortens passes most for each second until it is in force comes first.
    """
    if not plans:
        return None
    if is_short(even_pass_s * plans[0].time_before, layout, settings):
        # Streams are in time as it is; only much that is had soon is worth copying.
        return plans[0] if plans[0].gain >= settings.least_gain_of_short else None
    if is_settled(even_pass_s * plans[0].time_before, layout, settings):
        # The next demand may be worse; a map that is much better is a better start.
        least_gain = settings.least_gain_of_settled
    else:
        least_gain = settings.least_gain
    worthy = [plan for plan in plans if plan.gain >= least_gain]
    if not worthy:
        return None
    in_time_s = layout.pass_limit_s * settings.in_time_share
    for plan in worthy:
        if even_pass_s * plan.time_after <= in_time_s:
            return plan
    return max(worthy, key=lambda plan: _gain_rate(plan, layout, settings))


def is_enough(plan, even_pass_s, layout, settings):
    """Return whether `choose_plan` needs no plan behind this one."""
    if is_short(even_pass_s * plan.time_before, layout, settings):
        return True
    in_time_s = layout.pass_limit_s * settings.in_time_share
    return (
        plan.gain >= settings.least_gain and even_pass_s * plan.time_after <= in_time_s
    )


def is_settled(pass_s, layout, settings):
    """Return whether streams are surely in time with passes reckoned to be so long.

    Prompts and slow ranks make passes longer than reckoned.  With 0.8 of the limit
    instead, seconds 8 to 16 of a day with orders carried out late earned 0.65 of what
    is owed instead of 0.9.
    """
    return pass_s <= layout.pass_limit_s * settings.settled_pass_share


def is_short(pass_s, layout, settings):
    """Return whether a pass is well within the longest one that is in time."""
    return pass_s <= layout.pass_limit_s * settings.short_pass_share


def _gain_rate(plan, layout, settings):
    """Return the part of a pass that is saved, for each second until it is."""
    return plan.gain / (settings.change_overhead_s + plan.copies * layout.copy_s)
