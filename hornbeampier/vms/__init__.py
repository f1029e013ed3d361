"""Load hints and configuration catch-up between VMs that run `VmDaemon`."""
