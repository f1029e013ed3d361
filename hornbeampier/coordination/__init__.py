"""The platform: its log service and its list of VMs."""
