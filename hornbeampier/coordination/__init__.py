"""The log service and the list of VMs, and claims on the log."""
