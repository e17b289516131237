"""Each of the three ways of docs/OPERATIONS.md leads from a request's id to its cause."""

from pathlib import Path

import pytest
from typer.testing import CliRunner

from mulleinreach.cli.main import app

ROOT = Path(__file__).parent.parent
RECORDED = ROOT / "docs" / "recorded" / "trouble.log"
WAYS = [
    ("c1bdb3e7585cc92b", ["no configuration was read yet"], ["request_sent"]),
    ("a98661d5a5d014d4", ["outcome=Broken", "sends=2", "status=502"], ["status=200"]),
    (
        "2373e7a6e2573ee4",
        ["group_checked", "lost=i-bd965f34a2", "upstream_lost", "after=10", "status=200"],
        ["status=502"],
    ),
]


@pytest.mark.parametrize(("request_id", "told", "not_told"), WAYS)
def test_way_from_an_id_to_its_cause(request_id, told, not_told):
    command = ["explain", "request", request_id, "--log", str(RECORDED)]
    result = CliRunner().invoke(app, command)
    assert result.exit_code == 0
    for text in told:
        assert text in result.output
    for text in not_told:
        assert text not in result.output
    assert " ".join(["mulleinreach", *command[:3]]) in (ROOT / "docs/OPERATIONS.md").read_text()


def test_unknown_request_is_said_so():
    result = CliRunner().invoke(app, ["explain", "request", "none", "--log", str(RECORDED)])
    assert "no line names request 'none'" in result.output
