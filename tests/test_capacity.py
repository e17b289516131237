"""The figures of docs/CAPACITY.md are those that follow from the measured slopes."""

from benchmarks.capacity import BEGIN, END, PAGE, Slopes, render


def test_the_page_holds_what_follows_from_the_slopes():
    _, _, rest = PAGE.read_text().partition(BEGIN)
    block, _, _ = rest.partition(END)
    assert block == render()


def test_each_slope_was_measured_at_three_sizes_or_more():
    lines = Slopes.load().lines
    assert len(lines) >= 20
    assert all(len(line["sizes"]) >= 3 for line in lines.values())
