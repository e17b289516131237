"""Optional settings of the platform for allowed regions and cold hosts are parsed."""

from __future__ import annotations

import pytest

from mulleinreach.platform.configuration import parse_configuration
from mulleinreach.platform.rows import parse_upstream
from mulleinreach.platform.tests.port_kinds import DOCUMENT, HOST
from mulleinreach.platform.tests.standin import row_of


def test_allowed_regions_and_cold_settings_of_a_configuration_are_parsed():
    raw = {
        **DOCUMENT,
        "routes": [{**DOCUMENT["routes"][0], "allowed_regions": ["north", "south"]}],
        "services": [{"name": "s", "cold_s": 8, "cold_per_s": 2.5}, {"name": "t"}],
        "tenants": [{"name": "o", "api_keys": ["k"], "allowed_regions": ["south"]}],
    }
    configuration = parse_configuration(raw)
    assert configuration.match("h.example", "/a/").allowed_regions == {"north", "south"}
    assert configuration.organisation_for_key("k").allowed_regions == {"south"}
    services = configuration.services
    assert (services["s"].cold_s, services["s"].cold_per_s) == (8.0, 2.5)
    assert (services["t"].cold_s, services["t"].cold_per_s) == (0.0, 0.0)


def test_configuration_without_allowed_regions_allows_all_regions():
    configuration = parse_configuration(DOCUMENT)
    assert configuration.match("h.example", "/a/").allowed_regions is None
    assert configuration.organisation_for_key("k").allowed_regions is None


@pytest.mark.parametrize(("fields", "cold_s"), [({}, 0.0), ({"cold_remaining_ms": 2500}, 2.5)])
def test_cold_time_of_a_row_is_parsed(fields, cold_s):
    assert parse_upstream("u-1", {**row_of(HOST), **fields}).cold_s == cold_s
