"""Keeps what operators and endpoints published in step on every VM."""
