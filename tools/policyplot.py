"""Draws paired differences as an SVG plot, for tools/measure-policy."""

import html
import math

ROW_PX = 18
LEFT_PX = 330
WIDTH_PX = 460
TOP_PX = 34


def plot_text(rows, base):
    """SVG with a row for each (site, variant, mean difference, standard error): a point and a bar of 2 errors."""
    half_range = max([abs(mean) + 2 * (0 if math.isnan(error) else error) for _, _, mean, error in rows] + [0.01])
    scale = WIDTH_PX / 2 / half_range
    middle = LEFT_PX + WIDTH_PX / 2
    height = TOP_PX + ROW_PX * len(rows) + 10
    lines = [f'<svg xmlns="http://www.w3.org/2000/svg" width="{LEFT_PX + WIDTH_PX + 20}" height="{height}" '
             'font-family="sans-serif" font-size="12">',
             f'<text x="8" y="18">Difference in worth from "{html.escape(base)}"; bars: two standard errors; '
             f'edges: {half_range:.3f}</text>',
             f'<line x1="{middle}" y1="{TOP_PX - 8}" x2="{middle}" y2="{height}" stroke="#999"/>']
    for index, (site, variant, mean, error) in enumerate(rows):
        y = TOP_PX + ROW_PX * index + 8
        x = middle + mean * scale
        lines.append(f'<text x="8" y="{y + 4}">{html.escape(site)}: {html.escape(variant)}</text>')
        if not math.isnan(error):
            error_px = 2 * error * scale
            lines.append(f'<line x1="{x - error_px:.1f}" y1="{y}" x2="{x + error_px:.1f}" y2="{y}" stroke="#36c"/>')
        lines.append(f'<circle cx="{x:.1f}" cy="{y}" r="3.5" fill="#36c"/>')
    return "\n".join(lines + ["</svg>", ""])
