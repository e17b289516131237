"""Checks and translates what replicas tell of themselves, in their rows and their reports.

Explanation
===========

Anybody may write a row among the replicas'. One whose fields are missing, of another type or
out of their ranges names no upstream to use; nothing of it gets any further than here.
"""

from __future__ import annotations

import re
from dataclasses import replace
from typing import Annotated

import msgspec
from msgspec import Meta

from mulleinreach.common.checked import CheckError, Count, Name, Number, check, parse_address
from mulleinreach.gateway.upstream import (
    Membership,
    MemberState,
    Upstream,
    UpstreamState,
    incarnation_id,
    start_time_ms,
    upstream_name,
)

# Without the mark that stands before the start in an upstream's id.
_ROW_KEY = re.compile(r"[!-?A-~]{1,200}")
# A host is cold for seconds; a day bounds what another writer may claim.
_ColdMs = Annotated[float, Meta(ge=0, le=86_400_000)]


class _NamedModel(msgspec.Struct):
    name: Name


class _Group(msgspec.Struct):
    name: Name
    epoch: Number
    rank: Count
    state: MemberState

    def membership(self) -> Membership:
        """Return a host's place in the group."""
        return Membership(self.name, self.epoch, self.rank, self.state)


class _ReplicaState(msgspec.Struct, kw_only=True):
    """What a replica says of itself wherever it does.

    Parameters
    ==========

    born : the Unix millisecond of its start; a replica that keeps no id need not tell it.
    models : those that it runs, while it serves.
    staged : those whose weights lie on its host.
    """

    born: Number | None = None
    models: list[_NamedModel] | None = None
    staged: list[Name | _NamedModel] | None = None
    group: _Group | None = None

    def model_names(self) -> tuple[str, ...]:
        """Return the names of the models that it runs."""
        return tuple(model.name for model in self.models or ())

    def staged_names(self) -> tuple[str, ...]:
        """Return the names of the models that lie on its host."""
        return tuple(s if isinstance(s, str) else s.name for s in self.staged or ())

    def membership(self) -> Membership | None:
        """Return its place in a group."""
        return self.group and self.group.membership()


class _Row(_ReplicaState, kw_only=True):
    service: Name
    address: str
    zone: Name
    # Of its software, and the count of its orders: not used, and told by every replica.
    version: str
    seq: Number
    slots: Annotated[int, Meta(ge=1, le=65_535)]
    state: UpstreamState
    cold_remaining_ms: _ColdMs
    domain: Name | None = None


class _Report(_ReplicaState, kw_only=True):
    pace: Annotated[float, Meta(gt=0, le=1000)] = 1.0


def parse_upstream(name: str, raw: object) -> Upstream:
    """Return an upstream from its row; raises :class:`CheckError`.

    Parameters
    ==========

    name : the row's key.
    """
    if not _ROW_KEY.fullmatch(name):
        raise CheckError("key: not a name")
    row = check(_Row, raw)
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
    """Return an upstream with what it reported itself; raises :class:`CheckError`.

    The process that answers may be a later start of the one that was asked.
    """
    report = check(_Report, raw)
    start = start_time_ms(known.id)
    if start is not None and report.born not in (None, start):
        raise CheckError(f"{upstream_name(known.id)} has started again")
    return replace(
        known,
        models=report.model_names(),
        staged=report.staged_names(),
        membership=report.membership(),
        pace=report.pace,
    )
