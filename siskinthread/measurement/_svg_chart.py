"""Line charts in SVG."""

import math

WIDTH = 900
HEIGHT = 300
LEFT = 70
RIGHT = 20
TOP = 10
BOTTOM = 60
MARK_COUNT = 5
LEGEND_STEP = 170


class Line:
    """One line of a chart.

    Attributes
    ----------
    name : str
        Label in the legend, escaped for XML.
    colour : str
        CSS colour.
    values : list of float
        Value of each interval.
    """

    __slots__ = ("colour", "name", "values")

    def __init__(self, name, colour, values):
        self.name = name
        self.colour = colour
        self.values = values


def render_chart(lines):
    """Return the SVG element of a chart of lines over the interval number.

    Parameters
    ----------
    lines : list of Line
        At least one line, each with at least one value.
    """
    length = max(len(line.values) for line in lines)
    highest = max(max(line.values) for line in lines)
    top = _round_up(highest)
    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 {WIDTH} {HEIGHT}" '
        'font-family="sans-serif" font-size="12">'
    ]
    parts += _draw_axes(length, top)
    for position, line in enumerate(lines):
        parts += _draw_line(line, position, length, top)
    return "\n".join([*parts, "</svg>"])


def _draw_axes(length, top):
    parts = []
    for mark in range(MARK_COUNT + 1):
        value = top * mark / MARK_COUNT
        y = _y(value, top)
        parts.append(
            f'<line x1="{LEFT}" x2="{WIDTH - RIGHT}" y1="{y}" y2="{y}" '
            'stroke="#dddddd"/>'
        )
        parts.append(_text(LEFT - 6, y + 4, f"{value:g}", "end"))
        interval = round((length - 1) * mark / MARK_COUNT)
        x = _x(interval, length)
        parts.append(_text(x, HEIGHT - BOTTOM + 16, f"{interval}", "middle"))
    return parts


def _draw_line(line, position, length, top):
    points = " ".join(
        f"{_x(interval, length)},{_y(value, top)}"
        for interval, value in enumerate(line.values)
    )
    x, y = LEFT + position * LEGEND_STEP, HEIGHT - 12
    return [
        f'<polyline fill="none" stroke="{line.colour}" points="{points}"/>',
        f'<rect x="{x}" y="{y - 10}" width="12" height="12" fill="{line.colour}"/>',
        _text(x + 16, y, line.name, "start"),
    ]


def _text(x, y, text, anchor):
    return f'<text x="{x}" y="{y}" text-anchor="{anchor}">{text}</text>'


def _x(interval, length):
    share = interval / max(1, length - 1)
    return round(LEFT + share * (WIDTH - LEFT - RIGHT), 1)


def _y(value, top):
    return round(HEIGHT - BOTTOM - value / top * (HEIGHT - TOP - BOTTOM), 1)


def _round_up(value):
    """Round up to a value with one or two significant digits, as top of the scale."""
    if value <= 0:
        return 1
    unit = 10 ** math.floor(math.log10(value))
    return math.ceil(value / unit * 2) * unit / 2
