"""Carries accepted requests to endpoints and their answers back."""
