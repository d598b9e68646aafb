"""Draw the credit of each window of a run and its bound as an SVG chart."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path
from xml.sax.saxutils import escape

from .experiments import Window

WIDTH_PX = 760
HEIGHT_PX = 320
MARGIN_PX = 40
_COLORS = {"credit": "#1f6fb2", "bound": "#999999"}


def draw_window_chart(windows: Sequence[Window], *, title: str) -> str:
    """Return an SVG chart of the share of the worth that each window earned, and of its bound."""
    lines = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH_PX}" height="{HEIGHT_PX}" '
        'font-family="sans-serif" font-size="12">',
        f'<text x="{MARGIN_PX}" y="20">{escape(title)}</text>',
    ]
    for tenths in range(0, 11, 2):
        y = _place_y(tenths / 10)
        lines.append(
            f'<line x1="{MARGIN_PX}" x2="{WIDTH_PX - MARGIN_PX}" y1="{y}" y2="{y}" stroke="#eee"/>'
        )
        lines.append(f'<text x="8" y="{y + 4}">{tenths / 10:.1f}</text>')
    for window in windows[:: max(1, len(windows) // 12)]:
        x = _place_x(window.start_s, windows)
        lines.append(f'<text x="{x}" y="{HEIGHT_PX - 10}">{window.start_s:.0f} s</text>')
    for number, (name, color) in enumerate(_COLORS.items()):
        points = " ".join(
            f"{_place_x(window.start_s, windows)},{_place_y(getattr(window, name))}"
            for window in windows
        )
        lines.append(f'<polyline points="{points}" fill="none" stroke="{color}"/>')
        x = WIDTH_PX - MARGIN_PX - 160 + 80 * number
        lines.append(f'<text x="{x}" y="20" fill="{color}">{name}</text>')
    return "\n".join([*lines, "</svg>", ""])


def write_window_chart(path: Path, windows: Sequence[Window], *, title: str) -> None:
    """Write the chart to a file; raise OSError."""
    path.write_text(draw_window_chart(windows, title=title), encoding="utf-8")


def _place_x(start: float, windows: Sequence[Window]) -> int:
    span = max(1.0, windows[-1].start_s)
    return round(MARGIN_PX + (WIDTH_PX - 2 * MARGIN_PX) * start / span)


def _place_y(share: float) -> int:
    return round(HEIGHT_PX - MARGIN_PX - (HEIGHT_PX - 2 * MARGIN_PX) * max(0.0, min(1.0, share)))
