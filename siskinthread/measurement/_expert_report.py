"""HTML page with the skew and moves of each policy over time."""

from html import escape

from siskinthread.measurement._svg_chart import Line, render_chart

COLOURS = ("#7f7f7f", "#d62728", "#2ca02c", "#1f77b4", "#9467bd")
"""Colour of each policy, in the order of the runs."""

STYLE = "body { font: 14px sans-serif; margin: 2em; max-width: 960px; }"


def render_expert_report(seed, runs):
    """Return a self-contained HTML page.

    Parameters
    ----------
    seed : int
        Seed of the day.
    runs : list of PolicyRun
        Run of each policy.

    Returns
    -------
    str
    """
    skews = _lines(runs, lambda run: run.skews)
    moves = _lines(runs, lambda run: _running_sums(run.moves))
    return (
        '<!DOCTYPE html>\n<html lang="en">\n<head><meta charset="utf-8">'
        f"<title>Expert maps, seed {seed}</title><style>{STYLE}</style></head>\n"
        f"<body>\n<h1>Expert maps over a day, seed {seed}</h1>\n"
        "<h2>Step-time skew in each interval (slowest rank over the mean)</h2>\n"
        f"{render_chart(skews)}\n"
        "<h2>Experts moved since the start</h2>\n"
        f"{render_chart(moves)}\n</body>\n</html>\n"
    )


def _lines(runs, values_of):
    return [
        Line(escape(run.policy.name), colour, values_of(run))
        for run, colour in zip(runs, COLOURS, strict=True)
    ]


def _running_sums(values):
    total = 0
    sums = []
    for value in values:
        total += value
        sums.append(total)
    return sums
