"""Plans: what would follow from an intent, shown before anything changes.

Explanation
===========

A plan names the version of the intent that it was made from. Confirming it is
one transaction, conditional on the configuration and on the plan: of two
operators who race, one gets a conflict that names what changed. Confirming a
plan twice is one change, also when the first answer was lost.
"""

from __future__ import annotations

import asyncio
import enum
from collections.abc import Awaitable, Callable
from dataclasses import asdict, dataclass, replace

from mulleinreach.audit import AuditTrail
from mulleinreach.common import Clock, Code, ExecutionStatus, MulleinreachError
from mulleinreach.intents.document import CONFIG_KEY, ConfigDocument
from mulleinreach.intents.force import ConfigInForce
from mulleinreach.intents.intent import Intent
from mulleinreach.stores import (
    ABSENT,
    Committed,
    Condition,
    Conflict,
    Row,
    TableCache,
    TableClient,
    Unavailable,
    Write,
)

PLANS_PREFIX = "plans/"
PLAN_LIFETIME_S = 900.0


class PlanState(enum.StrEnum):
    """The life of a plan."""

    OPEN = "open"
    CONFIRMED = "confirmed"


@dataclass(frozen=True)
class PlanRecord:
    """A plan's row; times in Unix seconds.

    Parameters
    ==========

    basis : the ``intent_version`` that the plan was made from.
    intent : the new intent, or ``None`` for a plan that drains or returns hosts.
    drain, undrain : hosts that get no work any more, or get work again.
    lines : what would follow, for a person.
    """

    id: str
    operator: str
    basis: int
    created: float
    expires: float
    lines: list[str]
    intent: dict | None = None
    drain: list[str] | None = None
    undrain: list[str] | None = None
    state: PlanState = PlanState.OPEN
    config_version: int = 0

    def apply_to(self, document: ConfigDocument) -> ConfigDocument:
        """Return the next configuration, with this plan carried out."""
        changes = {}
        if self.intent is not None:
            changes["intent"] = Intent.model_validate(self.intent)
        if self.drain or self.undrain:
            drained = set(document.drained_hosts) | set(self.drain or [])
            changes["drained_hosts"] = sorted(drained - set(self.undrain or []))
        return document.next(self.id, **changes)


@dataclass(frozen=True)
class Confirmation:
    """What confirming a plan came to: the version that was written."""

    plan: str
    config_version: int
    repeated: bool


class PlanStore:
    """Keeps plans in the table and confirms them."""

    def __init__(
        self,
        node: str,
        table: TableClient,
        cache: TableCache,
        force: ConfigInForce,
        trail: AuditTrail,
        clock: Clock,
        gather_hosts: Callable[[], Awaitable[None]],
        preview: Callable[[ConfigDocument], list[str]],
        tell_peers: Callable[[ConfigDocument], Awaitable[None]],
    ):
        self._node = node
        self._table = table
        self._cache = cache
        self._force = force
        self._trail = trail
        self._clock = clock
        self._gather_hosts = gather_hosts
        self._preview = preview
        self._tell_peers = tell_peers
        self._count = 0

    async def create(self, operator: str, **wanted) -> PlanRecord:
        """Make and keep a plan; ``wanted`` is ``intent``, ``drain`` or ``undrain``.

        Raises
        ======

        MulleinreachError
            ``UNSATISFIABLE`` if it can't be met, ``PLATFORM_UNAVAILABLE`` if the
            table can't be reached; nothing is kept then.
        """
        if not await self._cache.refresh():
            raise unavailable("the plan was not made")
        await self._gather_hosts()
        document = self._force.document
        now = self._clock.wall()
        self._count += 1
        plan = PlanRecord(
            id=f"plan-{self._node}-{int(now * 1000):x}-{self._count}",
            operator=operator,
            basis=document.intent_version,
            created=now,
            expires=now + PLAN_LIFETIME_S,
            lines=[],
            **wanted,
        )
        plan = replace(plan, lines=self._preview(plan.apply_to(document)))
        entry = self._trail.entry(operator, "plan", plan.id, "; ".join(plan.lines))
        key = PLANS_PREFIX + plan.id
        result = await self._table.transact(
            [Condition(key, ABSENT)], [Write(key, asdict(plan)), entry]
        )
        if not isinstance(result, Committed):
            raise unavailable("the plan was not kept")
        self._trail.announce(entry)
        return plan

    async def get(self, plan_id: str) -> tuple[PlanRecord, int]:
        """Return a plan and the version of its row, or raise."""
        row = await self._table.get(PLANS_PREFIX + plan_id)
        if not isinstance(row, Row):
            raise unavailable("the plan was not read")
        if row.value is None:
            raise MulleinreachError(Code.NOT_FOUND, f"there is no plan {plan_id!r}")
        return PlanRecord(**{**row.value, "state": PlanState(row.value["state"])}), row.version

    async def confirm(self, operator: str, plan_id: str) -> Confirmation:
        """Carry a plan out: write the next configuration."""
        # Both reads at once: a slow table should cost its delay only once.
        refreshing = asyncio.ensure_future(self._cache.refresh())
        try:
            plan, plan_version = await self.get(plan_id)
        finally:
            was_refreshed = await refreshing
        if plan.state is PlanState.CONFIRMED:
            return Confirmation(plan_id, plan.config_version, repeated=True)
        if self._clock.wall() > plan.expires:
            raise MulleinreachError(Code.PLAN_EXPIRED, f"plan {plan_id!r} has expired; plan again")
        if not was_refreshed:
            raise unavailable("nothing was changed")
        document = self._force.document
        self._check_basis(plan, document)
        self._check_accepted()
        return await self._write(operator, plan, plan_version, document)

    def _check_basis(self, plan: PlanRecord, document: ConfigDocument) -> None:
        if plan.basis == document.intent_version:
            return
        message = (
            f"plan {plan.id!r} was made from intent version {plan.basis}, but {document.plan!r}"
            f" has made it {document.intent_version}; plan again"
        )
        raise MulleinreachError(Code.CONFLICT, message)

    def _check_accepted(self) -> None:
        if self._force.version == 0:
            return
        acceptance = self._force.acceptance()
        if not acceptance.accepted:
            message = f"the change before is not in force yet: {acceptance.reason}"
            raise MulleinreachError(Code.CONFLICT, message, retry_after_s=1.0)

    async def _write(
        self, operator: str, plan: PlanRecord, plan_version: int, document: ConfigDocument
    ) -> Confirmation:
        following = plan.apply_to(document)
        confirmed = replace(plan, state=PlanState.CONFIRMED, config_version=following.version)
        config_row = self._cache.get(CONFIG_KEY)
        if config_row.value is not None and config_row.value["version"] != document.version:
            raise MulleinreachError(Code.CONFLICT, "the configuration has changed; try again")
        plan_key = PLANS_PREFIX + plan.id
        entry = self._trail.entry(
            operator, "confirm", plan.id, f"configuration {following.version}"
        )
        result = await self._table.transact(
            [Condition(CONFIG_KEY, config_row.version), Condition(plan_key, plan_version)],
            [
                Write(CONFIG_KEY, following.model_dump(mode="json")),
                Write(plan_key, asdict(confirmed)),
                entry,
            ],
        )
        if isinstance(result, Committed):
            self._trail.announce(entry)
            self._force.learn_written(following)
            await self._tell_peers(following)
            return Confirmation(plan.id, following.version, repeated=False)
        return await self._resolve(result, plan)

    async def _resolve(self, result, plan: PlanRecord) -> Confirmation:
        """Tell a conflict from a write whose answer was lost."""
        if isinstance(result, Unavailable):
            raise unavailable("nothing was changed")
        found, _ = await self.get(plan.id)
        if found.state is PlanState.CONFIRMED:
            await self._cache.refresh()
            return Confirmation(plan.id, found.config_version, repeated=True)
        if isinstance(result, Conflict):
            await self._cache.refresh()
            self._check_basis(plan, self._force.document)
            raise MulleinreachError(Code.CONFLICT, "the configuration has changed; confirm again")
        message = f"it is not known whether plan {plan.id!r} was confirmed; confirm it again"
        raise MulleinreachError(
            Code.PLATFORM_UNAVAILABLE, message, ran=ExecutionStatus.UNKNOWN, retry_after_s=2.0
        )


def unavailable(what: str) -> MulleinreachError:
    """Return the error for a table that can't be reached."""
    message = f"the platform's table can't be reached; {what}"
    return MulleinreachError(Code.PLATFORM_UNAVAILABLE, message, retry_after_s=5.0)
