"""Whether a request may have run at an endpoint."""

import enum


class Verdict(enum.StrEnum):
    """What is known about the execution of a request."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"

    @property
    def may_have_run(self) -> bool:
        """Whether an execution cannot be ruled out."""
        return self is not Verdict.NOT_RUN

    def combine(self, other: "Verdict") -> "Verdict":
        """Returns the verdict that covers two attempts at a request."""
        for known in (Verdict.RAN, Verdict.MAY_HAVE_RUN):
            if known in (self, other):
                return known
        return Verdict.NOT_RUN

    def allows_retry(self, retry_safe: bool) -> bool:
        """Returns whether a retry is allowed, as it repeats no effect.

        That is so if this attempt did not run, or if it may have run and the
        request is safe to retry.
        """
        if self is Verdict.NOT_RUN:
            return True
        return retry_safe and self is Verdict.MAY_HAVE_RUN
