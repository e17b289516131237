"""What docs/CAPACITY.md works out follows from the code."""

from benchmarks.control_traffic import BEGIN, END, PAGE, render


def test_the_page_holds_what_follows_from_the_code():
    _, _, rest = PAGE.read_text().partition(BEGIN)
    block, _, _ = rest.partition(END)
    assert block == render()
