"""Load hints and configuration catch-up between the VMs of `VmDaemon`."""
