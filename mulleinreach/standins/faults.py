"""Knobs that make a stand-in, or the way to it, fail."""

from __future__ import annotations

import asyncio
import enum

from aiohttp import web


class Fault(enum.StrEnum):
    """How a stand-in of the platform answers."""

    NONE = "none"
    REFUSE = "refuse"  # 503, nothing done
    HANG = "hang"  # never answers, nothing done
    LOSE_ANSWER = "lose_answer"  # carries out the work, never answers


class FaultyService:
    """The faults that a stand-in of a platform service shares with the others."""

    def __init__(self) -> None:
        self.fault = Fault.NONE
        self.write_fault = Fault.NONE
        self.delay_s = 0.0
        self._lose_next = 0

    def lose_next_answers(self, count: int) -> None:
        """Carry out the next ``count`` writes without answering them."""
        self._lose_next = count

    async def before(self, is_write: bool = False) -> None:
        """Fail or delay a request before it is carried out."""
        own = self.write_fault if is_write else Fault.NONE
        fault = self.fault if own is Fault.NONE else own
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        if fault is Fault.REFUSE:
            raise web.HTTPServiceUnavailable(text="out of order")
        if fault is Fault.HANG:
            await asyncio.Event().wait()

    async def after(self, is_write: bool = False) -> None:
        """Lose the answer of a request that was carried out."""
        if not is_write:
            return
        if Fault.LOSE_ANSWER in (self.fault, self.write_fault):
            await asyncio.Event().wait()
        if self._lose_next > 0:
            self._lose_next -= 1
            await asyncio.Event().wait()
