"""Errors name the missing or malformed settings field; unknown fields are ignored."""

import subprocess
import sys

import pytest

from mulleinreach.common.fields import SettingsError, parse_lines
from mulleinreach.gateway.deployment import DeploymentBounds
from mulleinreach.platform.settings import make_settings

COMPLETE = """\
node_name=front-a-1
ip=10.1.0.40
zone=a
listen.front=10.1.0.40:8227
listen.readiness=10.1.0.40:8220
internal_ports=7340,7355
a.new.field=1
limits.cores=2
limits.cpu_fraction=0.5
bootstrap=false
bounds.drain_ms=2000
bounds.grace_s=8
bounds.revoke_ms=5000
bounds.strict_revoke=true
bounds.config_ms=2000
bounds.outer_ms=5000
bounds.stall_ms=5000
bounds.require_fence=false
bounds.retry_budget_ratio=0.2
bounds.budget_window_s=10
bounds.retry_slack=136
platform.address=10.200.1.7:8223
"""
# Present in some deployments only; the others use the defaults.
OPTIONAL = """\
bounds.evac_ms=4000
bounds.cold_overage=1.5
bounds.cold_slack=5
fault_tolerance.zones=1
zones.a=north
zones.b=south
"""
LENIENT = COMPLETE.replace("strict_revoke=true", "strict_revoke=false")
# Required only if revoked keys may be accepted longer during an outage of the store.
LENIENT_REQUIRED_FIELDS = ("bounds.outer_ms",)
REQUIRED_FIELDS = [
    name for name in parse_lines(COMPLETE) if name not in ("a.new.field", *LENIENT_REQUIRED_FIELDS)
]


def test_complete_settings_are_read():
    settings = make_settings(parse_lines(COMPLETE))
    assert settings.identity.peers_address.port == 7340
    assert settings.bounds.max_key_evidence_age_s == 4.5
    assert settings.identity.processor_cores == 1.0
    assert str(settings.store) == "10.200.1.7:8223"


@pytest.mark.parametrize("name", REQUIRED_FIELDS)
def test_missing_field_is_named(name):
    fields = parse_lines(COMPLETE)
    del fields[name]
    with pytest.raises(SettingsError, match=f"field '{name}' is missing"):
        make_settings(fields)


def test_optional_fields_are_read():
    settings = make_settings(parse_lines(COMPLETE + OPTIONAL))
    bounds = settings.bounds
    assert (bounds.evacuation_s, bounds.cold_ratio, bounds.cold_slack) == (4.0, 1.5, 5.0)
    assert bounds.max_lost_halls == 1
    assert settings.identity.regions == {"a": "north", "b": "south"}


def test_deployment_without_optional_fields_has_default_bounds():
    settings = make_settings(parse_lines(COMPLETE))
    bounds, defaults = settings.bounds, DeploymentBounds()
    assert bounds.evacuation_s == defaults.evacuation_s
    assert (bounds.cold_ratio, bounds.cold_slack) == (defaults.cold_ratio, defaults.cold_slack)
    assert bounds.max_lost_halls == 0
    assert settings.identity.regions == {}


@pytest.mark.parametrize("name", LENIENT_REQUIRED_FIELDS)
def test_missing_bound_of_a_lenient_deployment_is_named(name):
    fields = parse_lines(LENIENT)
    del fields[name]
    with pytest.raises(SettingsError, match=f"field '{name}' is missing"):
        make_settings(fields)


def test_keys_of_a_lenient_deployment_have_the_configuration_bound():
    bounds = make_settings(parse_lines(LENIENT)).bounds
    assert bounds.max_key_evidence_age_s == pytest.approx(0.9 * (2 + 5))
    assert bounds.trusts_keys_in_outages
    assert not make_settings(parse_lines(COMPLETE)).bounds.trusts_keys_in_outages


def test_whether_engines_check_the_token_of_orders_is_read():
    assert not make_settings(parse_lines(COMPLETE)).engines_check_token
    fencing = COMPLETE.replace("require_fence=false", "require_fence=true")
    assert make_settings(parse_lines(fencing)).engines_check_token


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("bounds.strict_revoke", "maybe"),
        ("bounds.require_fence", "maybe"),
        ("bounds.grace_s", "soon"),
        ("bounds.evac_ms", "soon"),
        ("bounds.cold_overage", "some"),
        ("bounds.cold_slack", "nan"),
        ("fault_tolerance.zones", "nan"),
        ("platform.address", "nowhere"),
        ("internal_ports", "first"),
        ("listen.front", "10.1.0.40:99999"),
    ],
)
def test_malformed_field_is_named(name, value):
    with pytest.raises(SettingsError, match=f"field '{name}'"):
        make_settings({**parse_lines(COMPLETE), name: value})


def test_process_stops_with_one_line_that_names_the_field(tmp_path):
    file = tmp_path / "settings.conf"
    file.write_text(COMPLETE.replace("zone=a\n", ""))
    result = subprocess.run(
        [sys.executable, "-m", "mulleinreach.platform"],
        env={"MULLEINREACH_NODE_FILE": str(file), "PATH": ""},
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert result.returncode == 2
    assert result.stderr.strip() == "MULLEINREACH_NODE_FILE: field 'zone' is missing"
