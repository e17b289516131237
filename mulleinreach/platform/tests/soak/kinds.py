"""What goes on in a soak."""

from __future__ import annotations

from dataclasses import dataclass

from mulleinreach.common.responses import BodyFraming
from mulleinreach.platform.tests.soak.crash_faults import CrashCause


@dataclass(frozen=True)
class SoakKinds:
    """What goes on in a soak.

    Parameters
    ==========

    processes : whether single processes, hosts and the store have faults.
    silences_every_s : between two times at which hosts that are processes of their own stand still
        for a second, while the configuration changes; ``None`` for none of that.
    notices : whether upstreams ask for rest and say that they leave.
    starts : whether hosts start again under their names.
    limits : whether upstreams name limits.
    restores : whether the store goes back to copies, and upstreams leave by their rows.
    bodies : whether streams end with their connection, and break off.
    crashes : by what requests crash the domains, which are processes of their own, if they do.
    crash_framing : how the ends of streams are marked where requests crash domains.
    failures : whether first tries fail at the plain service, beside bursts of requests.
    stops : whether gateways are stopped as planned.
    segments : whether requests come in segments, and ahead of answers, beside such stops.
    drains : whether hosts announce their ends, and are replaced.
    kills : whether gateways are killed in series.
    host_losses : whether hosts are lost without an announcement, and are replaced.
    releases : whether hosts are replaced as planned each second, beside their groups' work.
    """

    processes: bool = True
    silences_every_s: float | None = None
    notices: bool = False
    starts: bool = False
    limits: bool = False
    restores: bool = False
    bodies: bool = False
    crashes: CrashCause = CrashCause.NONE
    failures: bool = False
    crash_framing: BodyFraming = BodyFraming.CLOSE
    stops: bool = False
    segments: bool = True
    drains: bool = False
    kills: bool = False
    host_losses: bool = False
    releases: bool = False

    def keeps_streams_whole(self) -> bool:
        """Whether hosts and plain upstreams have only faults that cut no stream.

        A single host that ends, announced or not, leaves other groups of its model. Where announced
        ends are checked, streams can't go on there, so a host that is lost cuts them.
        """
        if self.drains and self.host_losses:
            return False
        return self == SoakKinds(
            processes=False,
            stops=self.stops,
            segments=self.segments,
            drains=self.drains,
            kills=self.kills,
            host_losses=self.host_losses,
            releases=self.releases,
        )

    def is_planned(self) -> bool:
        """Whether there is nothing but planned work."""
        return self == SoakKinds(
            processes=False, stops=self.stops, segments=self.segments, releases=self.releases
        )


NO_KINDS = SoakKinds()
