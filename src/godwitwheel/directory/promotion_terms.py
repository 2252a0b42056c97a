"""The terms of a service's promotions, a part of the replicated directory."""

import msgspec

from ..wire.numbers import Count


class PromotionTerms(msgspec.Struct, frozen=True, omit_defaults=True):
    """What control knows of the terms in which a service's targets have led.

    :ivar newest: newest term in which a target was seen to lead; 0 if none was.
    :ivar is_current: whether that is the term of the primary that is named now.
    :ivar above: the promotion of the candidate has taken effect once it leads in a term
        above this one; 0 while there is no candidate.
    """

    newest: Count = 0
    is_current: bool = False
    above: Count = 0

    def with_primary(self, term: int) -> "PromotionTerms":
        """Returns the terms once a primary was named.

        :param term: term in which it was seen to lead; 0 if that is not known yet.
        """
        return PromotionTerms(max(self.newest, term), is_current=term > 0)

    def with_term(self, term: int) -> "PromotionTerms":
        """Returns the terms once the primary that is named now was seen to lead."""
        return PromotionTerms(max(self.newest, term), True, self.above)

    def with_candidate(self, above: int) -> "PromotionTerms":
        """Returns the terms once the primary was fenced, or a candidate was chosen.

        :param above: newest term that a target of the service has answered.
        """
        return PromotionTerms(self.newest, self.is_current, max(self.newest, above))
