"""Validates and parses the rows and reports of replicas.

Other writers may store rows in the replicas' table. A row with a field that is missing, has
another type or is out of range is rejected as a whole.
"""

from __future__ import annotations

import re
from dataclasses import replace
from typing import Annotated

import msgspec
from msgspec import Meta

from mulleinreach.common.checked import CheckError, Count, Name, Number, parse_address, validate
from mulleinreach.gateway.upstream import (
    Membership,
    MemberState,
    Upstream,
    UpstreamState,
    incarnation_id,
    start_time_ms,
    upstream_name,
)

# Excludes "@", which separates the key from the start time in an upstream's id.
_ROW_KEY = re.compile(r"[!-?A-~]{1,200}")
# In milliseconds, at most one day.
_ColdMs = Annotated[float, Meta(ge=0, le=86_400_000)]


class _NamedModel(msgspec.Struct):
    name: Name


class _Group(msgspec.Struct):
    name: Name
    epoch: Number
    rank: Count
    state: MemberState

    def membership(self) -> Membership:
        """Return the host's membership of the group."""
        return Membership(self.name, self.epoch, self.rank, self.state)


class _ReplicaState(msgspec.Struct, kw_only=True):
    """Fields that are common to the rows and reports of replicas.

    Parameters
    ==========

    born : Unix time of the replica's start, in milliseconds; optional.
    models : models that it serves.
    staged : models whose weights are stored on its host.
    """

    born: Number | None = None
    models: list[_NamedModel] | None = None
    staged: list[Name | _NamedModel] | None = None
    group: _Group | None = None

    def model_names(self) -> tuple[str, ...]:
        """Return the names of the models that the replica serves."""
        return tuple(model.name for model in self.models or ())

    def staged_names(self) -> tuple[str, ...]:
        """Return the names of the models whose weights are stored on its host."""
        return tuple(s if isinstance(s, str) else s.name for s in self.staged or ())

    def membership(self) -> Membership | None:
        """Return the replica's membership of a group."""
        return self.group and self.group.membership()


class _Row(_ReplicaState, kw_only=True):
    service: Name
    address: str
    zone: Name
    # Required but unused: the version of its software and the number of its orders.
    version: str
    seq: Number
    slots: Annotated[int, Meta(ge=1, le=65_535)]
    state: UpstreamState
    cold_remaining_ms: _ColdMs
    domain: Name | None = None


class _Report(_ReplicaState, kw_only=True):
    pace: Annotated[float, Meta(gt=0, le=1000)] = 1.0
    queued: Count = 0
    active: Count = 0


def parse_upstream(name: str, raw: object) -> Upstream:
    """Return the upstream that a row describes; raises :class:`CheckError`.

    Parameters
    ==========

    name : the row's key.
    """
    if not _ROW_KEY.fullmatch(name):
        raise CheckError("key: invalid characters or length")
    row = validate(_Row, raw)
    return Upstream(
        id=incarnation_id(name, row.born),
        service=row.service,
        address=parse_address(row.address),
        hall=row.zone,
        state=row.state,
        slots=row.slots,
        models=row.model_names(),
        staged=row.staged_names(),
        domain=row.domain,
        membership=row.membership(),
        cold_s=row.cold_remaining_ms / 1000,
    )


def parse_report(known: Upstream, raw: object) -> Upstream:
    """Return an upstream updated from its report; raises :class:`CheckError`.

    A report is rejected if the replica has restarted since ``known`` was read.
    """
    report = validate(_Report, raw)
    start = start_time_ms(known.id)
    if start is not None and report.born not in (None, start):
        raise CheckError(f"{upstream_name(known.id)} has restarted")
    return replace(
        known,
        models=report.model_names(),
        staged=report.staged_names(),
        membership=report.membership(),
        pace=report.pace,
        running=report.queued + report.active,
    )
