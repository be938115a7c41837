"""The shares of the log of callers of the SIP front, by the address that they send from."""

from __future__ import annotations

from collections import OrderedDict

from landingdeal.log import LogShare
from landingdeal.sip.transaction import Flow

MAX_SOURCES = 1024  # that are told apart; the longest silent one is forgotten


class SourceLogShares:
    """One share for each source, bounded in number. Used by the thread of the event loop alone."""

    def __init__(self) -> None:
        self._shares: OrderedDict[str, LogShare] = OrderedDict()

    def of(self, flow: Flow) -> LogShare:
        """The share of the source that this flow leads to."""
        share = self._shares.pop(flow.source, None) or LogShare()
        self._shares[flow.source] = share
        while len(self._shares) > MAX_SOURCES:
            self._shares.popitem(last=False)
        return share
