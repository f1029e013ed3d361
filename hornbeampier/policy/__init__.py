"""Request policy: admission, queueing, endpoint choice and retries."""
