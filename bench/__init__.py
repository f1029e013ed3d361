"""Measurements of the policy with real processes; not part of CI."""
