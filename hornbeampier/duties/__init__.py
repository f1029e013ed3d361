"""Duties that one VM at a time fulfils for the whole deployment."""
