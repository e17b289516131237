"""Checks and translates what replicas tell of themselves, in their rows and their reports.

Explanation
===========

Anybody may write a row among the replicas'. One whose fields are missing, of another type or
out of their ranges names no upstream to use; nothing of it gets any further than here.
"""

from __future__ import annotations

import re
from dataclasses import replace
from typing import Annotated, Literal, TypeVar

from pydantic import (
    BaseModel,
    ConfigDict,
    Field,
    PlainValidator,
    StringConstraints,
    ValidationError,
)

from mulleinreach.common import Address
from mulleinreach.gateway.upstream import (
    Membership,
    MemberState,
    Upstream,
    UpstreamState,
    incarnation_id,
    name_of,
    start_of,
)

# What names may hold: they go into headers, log lines and messages between nodes.
_NAME = r"^[!-~]{1,200}$"
# Keys leave out the mark before the start in an upstream's id.
_KEY = re.compile(r"[!-?A-~]{1,200}")
_HOST = re.compile(r"[0-9A-Za-z.\-]{1,253}|\[[0-9A-Fa-f:.]{2,45}\]")
# The most that messages between nodes hold.
_MAX_COUNT = 65_535
_MAX_NUMBER = 2**63 - 1
# A host is cold for seconds; a day bounds what another writer may claim.
_MAX_COLD_MS = 86_400_000
_MAX_PACE = 1000.0


class RowError(ValueError):
    """What was read is no word of a replica; the text names the field and says why."""


def _parse_address(value: object) -> Address:
    if not isinstance(value, str):
        raise ValueError("not a text")
    address = Address.parse(value)
    if not _HOST.fullmatch(address.host) or address.port == 0:
        raise ValueError("not host:port")
    return address


_Name = Annotated[str, StringConstraints(pattern=_NAME)]
_Number = Annotated[int, Field(ge=0, le=_MAX_NUMBER)]


class _Wire(BaseModel):
    """Fields by the platform's names; none is taken for another type than it has."""

    model_config = ConfigDict(strict=True, frozen=True, extra="ignore", allow_inf_nan=False)


class _Named(_Wire):
    name: _Name


class _Group(_Wire):
    name: _Name
    epoch: _Number
    rank: Annotated[int, Field(ge=0, le=_MAX_COUNT)]
    state: Literal["joining", "ready", "open", "closing", "broken"]


_Schema = TypeVar("_Schema", bound=_Wire)


class _OfItself(_Wire):
    """What a replica says of itself wherever it does.

    Parameters
    ==========

    born : the Unix millisecond of its start; releases of replicas that keep no id don't tell it.
    models : those that it runs, while it serves.
    staged : those whose weights lie on its host.
    """

    born: _Number | None = None
    models: list[_Named] | None = None
    staged: list[_Name | _Named] | None = None
    group: _Group | None = None

    def model_names(self) -> tuple[str, ...]:
        """Return the names of the models that it runs."""
        return tuple(model.name for model in self.models or ())

    def staged_names(self) -> tuple[str, ...]:
        """Return the names of the models that lie on its host."""
        staged = self.staged or ()
        return tuple(item if isinstance(item, str) else item.name for item in staged)

    def membership(self) -> Membership | None:
        """Return its place in a group."""
        group = self.group
        if group is None:
            return None
        return Membership(group.name, group.epoch, group.rank, MemberState(group.state))


class _Row(_OfItself):
    service: _Name
    address: Annotated[Address, PlainValidator(_parse_address)]
    zone: _Name
    # Of its software, and the count of its orders: not used, and told by every replica.
    version: str
    seq: _Number
    slots: Annotated[int, Field(ge=1, le=_MAX_COUNT)]
    state: Literal["ready", "draining"]
    cold_remaining_ms: Annotated[float, Field(ge=0, le=_MAX_COLD_MS)]
    domain: _Name | None = None


class _Report(_OfItself):
    pace: Annotated[float, Field(gt=0, le=_MAX_PACE)] = 1.0


def parse_upstream(name: str, raw: object) -> Upstream:
    """Return an upstream from its row; raises :class:`RowError`.

    Parameters
    ==========

    name : the row's key.
    """
    if not _KEY.fullmatch(name):
        raise RowError("key: not a name")
    row = _check(_Row, raw)
    return Upstream(
        id=incarnation_id(name, row.born),
        service=row.service,
        address=row.address,
        hall=row.zone,
        state=UpstreamState(row.state),
        slots=row.slots,
        models=row.model_names(),
        staged=row.staged_names(),
        domain=row.domain,
        membership=row.membership(),
        cold_s=row.cold_remaining_ms / 1000,
    )


def parse_report(known: Upstream, raw: object) -> Upstream:
    """Return an upstream with what it reported itself; raises :class:`RowError`.

    The process that answers may be a later start of the one that was asked.
    """
    report = _check(_Report, raw)
    start = start_of(known.id)
    if start is not None and report.born not in (None, start):
        raise RowError(f"{name_of(known.id)} has started again")
    return replace(
        known,
        models=report.model_names(),
        staged=report.staged_names(),
        membership=report.membership(),
        pace=report.pace,
    )


def _check(schema: type[_Schema], raw: object) -> _Schema:
    try:
        return schema.model_validate(raw)
    except ValidationError as error:
        first = error.errors(include_url=False, include_context=False, include_input=False)[0]
        place = ".".join(str(part) for part in first["loc"])
        raise RowError(f"{place}: {first['msg']}") from error
